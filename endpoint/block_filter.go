package endpoint

import (
	"bytes"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// relayedBlocks are consecutive blocks of a stream, as the endpoint sent them.
type relayedBlocks struct {
	data []byte
	// events counts those of the blocks that are events; lastEvent is the id of the last one
	// that has one.
	events    int
	lastEvent string
}

func (b *relayedBlocks) count(e rawEvent) {
	if !e.isEvent() {
		return
	}
	b.events++
	if e.id != "" {
		b.lastEvent = e.id
	}
}

// blockFilter decides which blocks of a stream go to the caller, and when.
type blockFilter struct {
	order *eventOrder
	// continues is set if the caller has the beginning of the stream.
	continues bool
	// held are blocks that wait for the next event.
	held relayedBlocks
}

func newBlockFilter(c *call.Call, resumeAfter string) *blockFilter {
	return &blockFilter{
		order:     newEventOrder(c, resumeAfter),
		continues: c.Stream && resumeAfter != "",
	}
}

// add takes the next block and returns what goes to the caller now, in two parts of which each may
// be empty. They are valid until the following call.
func (f *blockFilter) add(e rawEvent) ([2]relayedBlocks, *result.Refusal) {
	if f.continues {
		// A byte order mark may only stand at the beginning of a stream.
		e.data = bytes.TrimPrefix(e.data, byteOrderMark)
	}
	v, refusal := f.order.check(e)
	switch {
	case refusal != nil || v == verdictDrop:
		return [2]relayedBlocks{}, refusal
	case v == verdictHold:
		confirmed := f.takeHeld()
		f.hold(e)
		return [2]relayedBlocks{confirmed}, nil
	case len(f.held.data) > 0 && !e.isEvent():
		f.hold(e)
		return [2]relayedBlocks{}, nil
	}
	block := relayedBlocks{
		data: e.data,
	}
	block.count(e)
	return [2]relayedBlocks{f.takeHeld(), block}, nil
}

func (f *blockFilter) hold(e rawEvent) {
	f.held.data = append(f.held.data, e.data...)
	f.held.count(e)
}

// takeHeld returns what is held back and holds nothing any more.
func (f *blockFilter) takeHeld() relayedBlocks {
	held := f.held
	f.held = relayedBlocks{}
	return held
}
