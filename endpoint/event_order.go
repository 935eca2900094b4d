package endpoint

import (
	"strconv"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// eventIDBits is the size of an event id.
const eventIDBits = 64

// eventOrder checks that the ids of a stream's events increase, so that the stream can go on
// behind any of them.
type eventOrder struct {
	// ordered is set for streams; resumable for those of which each event needs an id.
	ordered   bool
	resumable bool
	// last is the highest id that the caller has, known is false before the first one.
	last  uint64
	known bool
	// resuming is set until the first event that the caller does not have.
	resuming bool
}

// newEventOrder returns the order of a stream whose caller has the event resumeAfter, none if
// it is empty.
func newEventOrder(c *call.Call, resumeAfter string) *eventOrder {
	last, known := parseEventID(resumeAfter)
	return &eventOrder{
		ordered:   c.Stream,
		resumable: c.Stream && c.Routed.Resumable,
		last:      last,
		known:     known,
		resuming:  known,
	}
}

func parseEventID(id string) (number uint64, ok bool) {
	number, err := strconv.ParseUint(id, 10, eventIDBits)
	return number, err == nil
}

// check reports whether an event is to be forwarded. It is not if the caller has it, as the
// endpoint resumed too early.
func (o *eventOrder) check(e rawEvent) (pass bool, refusal *result.Refusal) {
	if !e.isEvent() {
		return true, nil
	}
	id, ok := parseEventID(e.id)
	switch {
	case o.resumable && (!ok || e.idFields > 1):
		return false, result.Refuse(result.EndpointFailed, "an event of a stream that can be resumed has no valid id: %.40q", e.id)
	case !ok:
		return true, nil
	case o.resuming && id <= o.last:
		return false, nil
	case o.ordered && o.known && id <= o.last:
		return false, result.Refuse(result.EndpointFailed, "event %d came after event %d", id, o.last)
	}
	o.last = id
	o.known = true
	o.resuming = false
	return true, nil
}
