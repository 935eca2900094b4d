package endpoint

import (
	"strconv"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// eventIDBits is the size of an event id.
const eventIDBits = 64

// maxHeldEvents bounds the events of one answer that are held back, so that streams whose ids
// rise unevenly are not delayed throughout.
const maxHeldEvents = 3

// eventOrder checks that the ids of a stream's events increase, so that the stream can go on
// behind any of them.
type eventOrder struct {
	// ordered is set for streams; resumable for those of which each event needs an id.
	ordered   bool
	resumable bool
	// last is the highest id that the caller has or that is held back, known is false before
	// the first one. step is the difference between the last two ids.
	last  uint64
	step  uint64
	known bool
	// resuming is set until the first event that the caller does not have.
	resuming bool
	// heldEvents counts the events that were held back so far.
	heldEvents int
}

// verdict says what becomes of a block of a stream.
type verdict uint8

const (
	// verdictForward passes the block on, behind what is held back.
	verdictForward verdict = iota + 1
	// verdictHold keeps the block back until the next event or the end of the stream shows that
	// its id is right. A stream that breaks off before that goes on in front of it.
	verdictHold
	// verdictDrop leaves out an event that the caller has, as the endpoint resumed too early.
	verdictDrop
)

// newEventOrder returns the order of a stream whose caller has the event resumeAfter, none if
// it is empty.
func newEventOrder(c *call.Call, resumeAfter string) *eventOrder {
	last, known := parseEventID(resumeAfter)
	return &eventOrder{
		ordered:   c.Stream,
		resumable: c.Stream && c.Routed.Resumable,
		last:      last,
		step:      1,
		known:     known,
		resuming:  known,
	}
}

func parseEventID(id string) (number uint64, ok bool) {
	number, err := strconv.ParseUint(id, 10, eventIDBits)
	return number, err == nil
}

// check returns what becomes of a block, or a refusal if it can't be of this stream.
func (o *eventOrder) check(e rawEvent) (verdict, *result.Refusal) {
	if o.resumable && e.hasCarriageReturn {
		return 0, result.Refuse(result.EndpointFailed, "a block of a stream that can be resumed has a carriage return within a line")
	}
	if !e.isEvent() {
		return verdictForward, nil
	}
	id, ok := parseEventID(e.id)
	switch {
	case o.resumable && (!ok || e.idFields > 1):
		return 0, result.Refuse(result.EndpointFailed, "an event of a stream that can be resumed has no valid id: %.40q", e.id)
	case !ok:
		return verdictForward, nil
	case o.resuming && id <= o.last:
		return verdictDrop, nil
	case o.ordered && o.known && id <= o.last:
		return 0, result.Refuse(result.EndpointFailed, "event %d came after event %d", id, o.last)
	}
	isDoubtful := !e.hasData || !o.isNext(id)
	o.step = id - o.last
	o.last = id
	o.known = true
	o.resuming = false
	if o.resumable && isDoubtful && o.heldEvents < maxHeldEvents {
		o.heldEvents++
		return verdictHold, nil
	}
	return verdictForward, nil
}

// isNext reports whether an id follows the last one by the usual step. Streams begin at 0 or 1.
func (o *eventOrder) isNext(id uint64) bool {
	if !o.known {
		return id <= 1
	}
	return id-o.last == o.step
}
