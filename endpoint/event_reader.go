package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/fuchsianotch/fuchsianotch/common/bounded"
)

// Limits of an event stream's reader.
const (
	readBufferBytes = 4 << 10
	maxLineBytes    = 1 << 20
)

// Errors of a malformed event stream.
var (
	errLineTooLong       = errors.New("event stream line is too long")
	errUnknownField      = errors.New("event stream line has an unknown field")
	errMultipleDataLines = errors.New("event has multiple data lines")
	errCarriageReturn    = errors.New("event stream line contains a carriage return")
	errEventTooLarge     = errors.New("event stream is too large")
)

// eventReader parses server-sent events. It is stricter than the standard, so that
// the caller's parser cannot see different events: one data line per event, no
// unknown fields and no carriage return within a line. Comments are dropped.
type eventReader struct {
	reader *bufio.Reader
	line   []byte
	data   []byte
	// remaining is the number of bytes that may still be read.
	remaining int
	// held are the events that the stream holds back. They share room with the line that is
	// read; nil without a bound.
	held *bytes.Buffer
	room *bounded.Share
}

var eventReaders = sync.Pool{
	New: func() any {
		return &eventReader{reader: bufio.NewReaderSize(nil, readBufferBytes)}
	},
}

func newEventReader(body io.Reader, maxBytes int) *eventReader {
	e, _ := eventReaders.Get().(*eventReader)
	e.reader.Reset(body)
	e.remaining = maxBytes
	return e
}

func (e *eventReader) release() {
	if cap(e.line)+cap(e.data) > maxPooledBytes {
		return
	}
	e.reader.Reset(nil)
	e.held = nil
	e.room = nil
	eventReaders.Put(e)
}

// next returns the data of the next event and whether it has a name. The data is
// valid until the following call. A stream that ends within an event fails with
// io.ErrUnexpectedEOF.
func (e *eventReader) next() (data []byte, named bool, err error) {
	e.data = e.data[:0]
	hasData := false
	for {
		line, err := e.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && (hasData || named) {
				err = io.ErrUnexpectedEOF
			}
			return nil, false, err
		}
		if len(line) == 0 {
			if hasData {
				return e.data, named, nil
			}
			named = false
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			if hasData {
				return nil, false, errMultipleDataLines
			}
			hasData = true
			e.data = append(e.data, value...)
		case "event":
			named = len(value) > 0 && string(value) != "message"
		case "", "id", "retry":
		default:
			return nil, false, errUnknownField
		}
	}
}

// readLine returns one line without its line ending. A final line without one
// fails with io.ErrUnexpectedEOF.
func (e *eventReader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.reader.ReadSlice('\n')
		e.remaining -= len(part)
		if e.remaining < 0 {
			return nil, errEventTooLarge
		}
		if len(e.line)+len(part) > maxLineBytes {
			return nil, errLineTooLong
		}
		if err := e.reserve(len(e.line) + len(part)); err != nil {
			return nil, err
		}
		if err == nil && len(e.line) == 0 {
			return trimLineEnd(part)
		}
		e.line = append(e.line, part...)
		switch {
		case err == nil:
			return trimLineEnd(e.line)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.line) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// reserve makes room for a line, its copy in data and in the events that are held back.
func (e *eventReader) reserve(line int) error {
	if e.room == nil {
		return nil
	}
	return e.room.Reserve(e.held.Len()+3*line, e.held.Len()+3*maxLineBytes)
}

func trimLineEnd(line []byte) ([]byte, error) {
	line = bytes.TrimSuffix(line, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, errCarriageReturn
	}
	return line, nil
}
