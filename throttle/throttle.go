// Package throttle keeps the rates at which endpoints take requests, where they name one:
// so many a second from all VMs together, for as long as their answers say so.
//
// The package imports no network and no clock. The methods of a Throttle may be called
// from any goroutine.
package throttle

import (
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Throttle is that of one VM.
type Throttle struct {
	mu        sync.Mutex
	endpoints map[string]*limited
}

// limited is an endpoint that has named a rate.
type limited struct {
	word Word
	// learntAt is when this VM took the word.
	learntAt time.Time
}

// New makes a Throttle that knows of no rate.
func New() *Throttle {
	return &Throttle{
		endpoints: make(map[string]*limited),
	}
}

// Answered takes what an answer of an endpoint says of its rate. The request was sent at
// sentAt: an answer to an earlier one may be from before the word that is held, so that it
// neither ends a limit nor raises it. The word is returned if it is new.
func (t *Throttle) Answered(e fleet.Endpoint, r fleet.Rate, sentAt, now time.Time) (w Word, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.endpoints[e.ID]
	if held == nil {
		held = &limited{}
	}
	if !held.word.mayChange(e.Incarnation, r, sentAt.After(held.learntAt)) {
		return Word{}, false
	}
	t.endpoints[e.ID] = held
	held.take(held.word.next(e, r), now)
	return held.word, true
}

// take replaces the word.
func (l *limited) take(w Word, now time.Time) {
	l.word = w
	l.learntAt = now
}

// IsLimited reports whether a life of an endpoint takes a limited number of requests.
func (t *Throttle) IsLimited(e fleet.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.endpoints[e.ID]
	return held != nil && held.word.binds(e)
}
