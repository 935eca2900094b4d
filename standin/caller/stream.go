package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// Errors of an incomplete or invalid stream.
var (
	errTruncated    = errors.New("stream ended without [DONE]")
	errMalformed    = errors.New("malformed stream")
	errForeignChunk = errors.New("stream contains a chunk of another answer")
)

// Buffer sizes for the lines of a stream.
const (
	lineBufferBytes = 4 << 10
	maxLineBytes    = 1 << 20
)

var doneMark = []byte("[DONE]")

var lineBuffers = sync.Pool{
	New: func() any {
		return newLineBuffer()
	},
}

func newLineBuffer() *[]byte {
	buffer := make([]byte, lineBufferBytes)
	return &buffer
}

// streamReader decodes a streamed chat completion.
type streamReader struct {
	text    strings.Builder
	usage   call.Usage
	firstAt time.Time
	// failure is set by an error event, which ends the stream.
	failure  *errorDetail
	id       string
	started  bool
	complete bool
}

// read reads server-sent events until the stream ends. It succeeds only if the
// last event is [DONE] or a well-formed error event.
func (s *streamReader) read(r io.Reader) error {
	buffer, ok := lineBuffers.Get().(*[]byte)
	if !ok {
		buffer = newLineBuffer()
	}
	defer lineBuffers.Put(buffer)
	lines := bufio.NewScanner(r)
	lines.Buffer(*buffer, maxLineBytes)
	var event, data, rest []byte
	lines.Split(func(data []byte, atEOF bool) (int, []byte, error) {
		advance, line, err := bufio.ScanLines(data, atEOF)
		if line != nil && data[advance-1] != '\n' {
			rest, line = line, nil
		}
		return advance, line, err
	})
	for lines.Scan() {
		line := lines.Bytes()
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0:
			if err := s.dispatch(event, data); err != nil {
				return err
			}
			event, data = event[:0], data[:0]
		case len(name) == 0:
		case string(name) == "event":
			event = append(event[:0], value...)
		case string(name) == "data" && len(data) == 0:
			data = append(data, value...)
		default:
			return fmt.Errorf("%w: unexpected line %.40q", errMalformed, line)
		}
	}
	return s.checkEnd(lines.Err(), len(event)+len(data)+len(rest) > 0)
}

// dispatch handles one complete event.
func (s *streamReader) dispatch(event, data []byte) error {
	switch {
	case len(event) == 0 && len(data) == 0:
		return nil
	case s.complete || s.failure != nil:
		return fmt.Errorf("%w: event after the end", errMalformed)
	case len(event) == 0 && bytes.Equal(data, doneMark):
		s.complete = true
		return nil
	case len(event) == 0:
		return s.handleChunk(data)
	case string(event) == "error":
		return s.handleError(data)
	default:
		return fmt.Errorf("%w: unexpected event %.40q", errMalformed, event)
	}
}

func (s *streamReader) handleChunk(data []byte) error {
	var c completion
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	if s.started && c.ID != s.id {
		return errForeignChunk
	}
	s.started = true
	s.id = c.ID
	if c.Usage != nil {
		s.usage = c.Usage.usage()
	}
	if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
		return nil
	}
	if s.firstAt.IsZero() {
		s.firstAt = time.Now()
	}
	s.text.WriteString(c.Choices[0].Delta.Content)
	return nil
}

func (s *streamReader) handleError(data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == 0 {
		return fmt.Errorf("%w: error event without a code", errMalformed)
	}
	s.failure = &body.Error
	return nil
}

// checkEnd returns an error unless the final event arrived and no partial event
// followed it. How the connection ended does not matter then.
func (s *streamReader) checkEnd(err error, open bool) error {
	switch {
	case (s.complete || s.failure != nil) && !open:
		return nil
	case err != nil:
		return fmt.Errorf("%w: %w", errTruncated, err)
	default:
		return errTruncated
	}
}
