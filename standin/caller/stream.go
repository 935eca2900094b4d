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

// Errors of a stream that is not whole.
var (
	errCut       = errors.New("the stream ended without [DONE]")
	errMalformed = errors.New("the stream is malformed")
	errMixed     = errors.New("the stream holds chunks of another answer")
)

// Sizes of one line of a stream, in bytes.
const (
	lineSize    = 4 << 10
	maxLineSize = 1 << 20
)

var doneMark = []byte("[DONE]")

var lineBuffers = sync.Pool{
	New: func() any {
		return newLineBuffer()
	},
}

func newLineBuffer() *[]byte {
	buffer := make([]byte, lineSize)
	return &buffer
}

// stream collects a streamed chat completion.
type stream struct {
	text    strings.Builder
	usage   call.Usage
	firstAt time.Time
	// failure is set by an error event, which ends the stream.
	failure *failure
	id      string
	started bool
	whole   bool
}

// read takes server-sent events until the stream ends. It succeeds only if
// [DONE] came last, or a well-formed error event.
func (s *stream) read(r io.Reader) error {
	buffer, ok := lineBuffers.Get().(*[]byte)
	if !ok {
		buffer = newLineBuffer()
	}
	defer lineBuffers.Put(buffer)
	lines := bufio.NewScanner(r)
	lines.Buffer(*buffer, maxLineSize)
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
	return s.end(lines.Err(), len(event)+len(data)+len(rest) > 0)
}

// dispatch takes one whole event.
func (s *stream) dispatch(event, data []byte) error {
	switch {
	case len(event) == 0 && len(data) == 0:
		return nil
	case s.whole || s.failure != nil:
		return fmt.Errorf("%w: an event after the end", errMalformed)
	case len(event) == 0 && bytes.Equal(data, doneMark):
		s.whole = true
		return nil
	case len(event) == 0:
		return s.chunk(data)
	case string(event) == "error":
		return s.fail(data)
	default:
		return fmt.Errorf("%w: unexpected event %.40q", errMalformed, event)
	}
}

func (s *stream) chunk(data []byte) error {
	var c completion
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	if s.started && c.ID != s.id {
		return errMixed
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

func (s *stream) fail(data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == 0 {
		return fmt.Errorf("%w: an error event without a code", errMalformed)
	}
	s.failure = &body.Error
	return nil
}

// end judges the end of the bytes. Once the last event came, it does not
// matter how the connection ended.
func (s *stream) end(err error, open bool) error {
	switch {
	case (s.whole || s.failure != nil) && !open:
		return nil
	case err != nil:
		return fmt.Errorf("%w: %w", errCut, err)
	default:
		return errCut
	}
}
