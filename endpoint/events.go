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
	readerBytes = 4 << 10
	maxLine     = 1 << 20
)

// Errors of a malformed event stream.
var (
	errLineTooLong   = errors.New("a line of the event stream is too long")
	errUnknownField  = errors.New("a line of the event stream has an unknown field")
	errSeveralData   = errors.New("an event has several data lines")
	errCarriage      = errors.New("a data line holds a carriage return")
	errEventTooLarge = errors.New("the event stream is too large")
)

// events reads server-sent events. It is stricter than the standard, because
// callers' readers must see the same events: one data line for each event, no
// unknown field, and no line end inside a line. Comments are dropped.
type events struct {
	reader *bufio.Reader
	line   []byte
	data   []byte
	// left is how many bytes may still be read.
	left int
}

var eventReaders = sync.Pool{
	New: func() any {
		return &events{reader: bufio.NewReaderSize(nil, readerBytes)}
	},
}

func newEvents(body io.Reader, maxBytes int) *events {
	e, _ := eventReaders.Get().(*events)
	e.reader.Reset(body)
	e.left = maxBytes
	return e
}

func (e *events) release() {
	if cap(e.line)+cap(e.data) > keptBytes {
		return
	}
	e.reader.Reset(nil)
	eventReaders.Put(e)
}

// next returns the data of the next event and its name, valid until the next
// call. An unfinished event at the end is io.ErrUnexpectedEOF.
func (e *events) next() (data []byte, named bool, err error) {
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
				return nil, false, errSeveralData
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
func (e *events) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.reader.ReadSlice('\n')
		e.left -= len(part)
		if e.left < 0 {
			return nil, errEventTooLarge
		}
		if len(e.line)+len(part) > maxLine {
			return nil, errLineTooLong
		}
		if err == nil && len(e.line) == 0 {
			return trimLine(part)
		}
		e.line = append(e.line, part...)
		switch {
		case err == nil:
			return trimLine(e.line)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.line) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

func trimLine(line []byte) ([]byte, error) {
	line = bytes.TrimSuffix(line, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, errCarriage
	}
	return line, nil
}
