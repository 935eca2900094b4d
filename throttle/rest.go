package throttle

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// rest is the time in which an endpoint wants no requests from this VM. The time that an
// endpoint names to another VM does not bind this one.
type rest struct {
	incarnation int64
	until       time.Time
}

// appliesTo reports whether the rest holds for an endpoint as published, which may lag
// behind the incarnation that asked for it.
func (r rest) appliesTo(e fleet.Endpoint, now time.Time) bool {
	return r.incarnation >= e.Incarnation && now.Before(r.until)
}

// ObserveRest records that a refusing endpoint wants no requests from this VM until the
// given time, and reports whether that extends its rest. Answers arrive in any order, so
// an earlier time never shortens it.
func (t *Throttle) ObserveRest(e fleet.Endpoint, until, now time.Time) (extended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.rests[e.ID]
	if !now.Before(until) || e.Incarnation < held.incarnation || held.appliesTo(e, now) && !until.After(held.until) {
		return false
	}
	t.forgetRests(now)
	t.rests[e.ID] = rest{
		incarnation: e.Incarnation,
		until:       until,
	}
	return true
}

// forgetRests drops the rests that are over.
func (t *Throttle) forgetRests(now time.Time) {
	for id, r := range t.rests {
		if !now.Before(r.until) {
			delete(t.rests, id)
		}
	}
}

// RestsUntil returns until when an endpoint wants no requests from this VM; zero if it
// takes them now.
func (t *Throttle) RestsUntil(e fleet.Endpoint, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.restsUntil(e, now)
}

// restsUntil must be called with the lock held.
func (t *Throttle) restsUntil(e fleet.Endpoint, now time.Time) time.Time {
	if r := t.rests[e.ID]; r.appliesTo(e, now) {
		return r.until
	}
	return time.Time{}
}
