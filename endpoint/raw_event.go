package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/fuchsianotch/fuchsianotch/common/bounded"
)

// errPartialEvent marks a stream that ended in the middle of an event.
var errPartialEvent = errors.New("stream ended within an event")

// errNoEvents marks a stream of comments.
var errNoEvents = errors.New("event stream has no events")

// maxIdleBytes bounds the comments and other blocks between two events. Servers send comments of
// some bytes every few seconds while an event takes long.
const maxIdleBytes = 64 << 10

// byteOrderMark may stand before the first line of a stream.
var byteOrderMark = []byte("\ufeff")

// rawEvent is one complete event with its lines unchanged.
type rawEvent struct {
	data []byte
	id   string
	// idFields counts the fields named id, empty or not.
	idFields int
	hasData  bool
	// hasCarriageReturn is set if a line has one before its end, where callers may see two lines.
	hasCarriageReturn bool
}

// isEvent is false for comments and other blocks that callers get no event of.
func (e rawEvent) isEvent() bool {
	return e.idFields > 0 || e.hasData
}

// trimRawLineEnd removes a line feed, and a carriage return before it.
func trimRawLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// readLine reads a line of an event, without its end.
func (e *rawEvent) readLine(line []byte) {
	if bytes.IndexByte(line, '\r') >= 0 {
		e.hasCarriageReturn = true
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		e.id = string(bytes.TrimSpace(value))
		e.idFields++
	case "data":
		e.hasData = true
	}
}

// rawEventReader splits a body into events without changing any byte.
type rawEventReader struct {
	reader *bufio.Reader
	data   []byte
	// begun is set once the first event was read.
	begun bool
	// idleBytes is the size of the blocks since the last event.
	idleBytes int
}

var rawEventReaders = sync.Pool{
	New: func() any {
		return &rawEventReader{reader: bufio.NewReaderSize(nil, readBufferBytes)}
	},
}

func (r *rawEventReader) release() {
	r.reader.Reset(nil)
	r.begun = false
	r.idleBytes = 0
	if cap(r.data) <= maxPooledBytes {
		rawEventReaders.Put(r)
	}
}

// next returns the next event, which is valid until the following call. It makes room for it
// beside the bytes that are held back. The end of the body is io.EOF between two events and
// errPartialEvent within one. A stream without events fails with errNoEvents.
func (r *rawEventReader) next(maxBytes, heldBytes int, room *bounded.Share) (rawEvent, error) {
	r.data = r.data[:0]
	event := rawEvent{}
	start := 0
	for {
		part, err := r.reader.ReadSlice('\n')
		if heldBytes+len(r.data)+len(part) > maxBytes {
			return rawEvent{}, errEventTooLarge
		}
		var full error
		if r.data, full = room.Grow(r.data, len(r.data)+len(part), maxBytes-heldBytes, heldBytes); full != nil {
			return rawEvent{}, full
		}
		r.data = append(r.data, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return rawEvent{}, r.readError(err)
		}
		line := trimRawLineEnd(r.data[start:])
		if start == 0 && !r.begun {
			line = bytes.TrimPrefix(line, byteOrderMark)
		}
		start = len(r.data)
		if len(line) == 0 {
			event.data = r.data
			r.begun = true
			return event, r.countIdle(event)
		}
		event.readLine(line)
	}
}

// countIdle returns an error once there are too many blocks without an event.
func (r *rawEventReader) countIdle(e rawEvent) error {
	r.idleBytes += len(e.data)
	if e.isEvent() {
		r.idleBytes = 0
	}
	if r.idleBytes > maxIdleBytes {
		return errNoEvents
	}
	return nil
}

func (r *rawEventReader) readError(err error) error {
	if errors.Is(err, io.EOF) && len(r.data) > 0 {
		return errPartialEvent
	}
	return err
}

// ScanEvents calls visit with the id of each event in a chunk of a relayed stream; empty if an
// event has none.
func ScanEvents(chunk []byte, visit func(id string)) {
	event := rawEvent{}
	for line := range bytes.Lines(bytes.TrimPrefix(chunk, byteOrderMark)) {
		line = trimRawLineEnd(line)
		if len(line) > 0 {
			event.readLine(line)
			continue
		}
		if event.isEvent() {
			visit(event.id)
		}
		event = rawEvent{}
	}
}
