// Package timeline records the events of one process in a bounded ring buffer.
// A hybrid logical clock stamps them, so that the rings of several processes can
// be merged in causal order. Events never hold payloads.
package timeline

import (
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// Stamp is a hybrid logical clock reading: milliseconds since the Unix epoch
// in the upper 48 bits and a logical counter in the lower 16.
type Stamp uint64

const logicalBits = 16

// maxSkew is how far ahead of the local clock a received stamp may be. Stamps
// beyond it are ignored, so that one broken clock does not advance the clocks of
// all VMs; causal order is then lost for that VM only.
const maxSkew = time.Hour

// Time returns the physical part of the stamp.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> logicalBits))
}

// Event is a state change, a decision or an outcome.
type Event struct {
	Stamp Stamp  `json:"stamp"`
	VM    string `json:"vm"`
	// Kind is a snake case name such as "call_admitted" or "vm_suspected".
	Kind      string      `json:"kind"`
	Request   string      `json:"request,omitempty"`
	Workspace string      `json:"workspace,omitempty"`
	Peer      string      `json:"peer,omitempty"`
	Endpoint  string      `json:"endpoint,omitempty"`
	Code      result.Code `json:"code,omitempty"`
	// Detail is a short explanation, never taken from a payload.
	Detail string `json:"detail,omitempty"`
}

// Options configure a Ring.
type Options struct {
	VM string
	// Capacity is the number of events kept, at least one. When the ring is
	// full, the oldest event is overwritten.
	Capacity int
	Now      func() time.Time
}

// Ring is a ring buffer of events with a hybrid logical clock. It is safe for
// concurrent use.
type Ring struct {
	mu     sync.Mutex
	vm     string
	now    func() time.Time
	last   Stamp
	events []Event
	next   int
	full   bool
}

// New returns an empty ring.
func New(o Options) *Ring {
	return &Ring{
		vm:     o.VM,
		now:    o.Now,
		events: make([]Event, max(o.Capacity, 1)),
	}
}

// Add sets the event's Stamp and VM and records it.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Stamp = r.tick()
	e.VM = r.vm
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Stamp advances the clock and returns the stamp for an outgoing message.
func (r *Ring) Stamp() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// Observe advances the clock to the stamp of a received message, unless the
// stamp is more than maxSkew ahead of the local clock.
func (r *Ring) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s > stampAt(r.now().Add(maxSkew)) {
		return
	}
	r.last = max(r.last, s)
}

func (r *Ring) tick() Stamp {
	r.last = max(r.last+1, stampAt(r.now()))
	return r.last
}

// stampAt returns the first stamp of a millisecond.
func stampAt(t time.Time) Stamp {
	return Stamp(t.UnixMilli()) << logicalBits
}

// Query filters events. Zero fields match every event; From and To are inclusive.
type Query struct {
	Request   string
	Workspace string
	From      time.Time
	To        time.Time
}

// Select returns the matching events, oldest first.
func (r *Ring) Select(q Query) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for _, e := range r.oldestFirst() {
		if q.matches(e) {
			out = append(out, e)
		}
	}
	return out
}

func (r *Ring) oldestFirst() []Event {
	if !r.full {
		return r.events[:r.next]
	}
	return append(append([]Event(nil), r.events[r.next:]...), r.events[:r.next]...)
}

func (q Query) matches(e Event) bool {
	if q.Request != "" && q.Request != e.Request {
		return false
	}
	if q.Workspace != "" && q.Workspace != e.Workspace {
		return false
	}
	at := e.Stamp.Time()
	if !q.From.IsZero() && at.Before(q.From) {
		return false
	}
	return q.To.IsZero() || !at.After(q.To)
}
