package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"
)

// Bounds of an event stream's reader.
const (
	readBufferBytes = 4 << 10
	maxLineBytes    = 1 << 20
)

// Errors of a malformed event stream.
var (
	errLineTooLong       = errors.New("a line of the event stream is too long")
	errUnknownField      = errors.New("a line of the event stream has an unknown field")
	errMultipleDataLines = errors.New("an event has several data lines")
	errCarriageReturn    = errors.New("a data line holds a carriage return")
	errEventTooLarge     = errors.New("the event stream is too large")
)

// eventReader reads server-sent eventReader. It is stricter than the standard, because
// callers' readers must see the same eventReader: one data line for each event, no
// unknown field, and no line end inside a line. Comments are dropped.
type eventReader struct {
	reader *bufio.Reader
	line   []byte
	data   []byte
	// remaining is how many bytes may still be read.
	remaining int
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
	eventReaders.Put(e)
}

// next returns the data of the next event and its name, valid until the next
// call. An unfinished event at the end is io.ErrUnexpectedEOF.
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

// readLine returns one line without its end. A line without an end is cut.
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

func trimLineEnd(line []byte) ([]byte, error) {
	line = bytes.TrimSuffix(line, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, errCarriageReturn
	}
	return line, nil
}
