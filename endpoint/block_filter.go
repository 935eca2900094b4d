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

// add takes the next block and returns those that go to the caller now, which are valid until
// the following call.
func (f *blockFilter) add(e rawEvent) (relayedBlocks, *result.Refusal) {
	if f.continues {
		// Only a whole stream may begin with it.
		e.data = bytes.TrimPrefix(e.data, byteOrderMark)
	}
	v, refusal := f.order.check(e)
	switch {
	case refusal != nil || v == verdictDrop:
		return relayedBlocks{}, refusal
	case v == verdictHold:
		ready := f.takeHeld()
		f.hold(e)
		return ready, nil
	case len(f.held.data) > 0 && !e.isEvent():
		f.hold(e)
		return relayedBlocks{}, nil
	}
	ready := f.takeHeld()
	ready.count(e)
	if len(ready.data) == 0 {
		ready.data = e.data
	} else {
		ready.data = append(ready.data, e.data...)
	}
	return ready, nil
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
