// Package throttle keeps the rates at which endpoints take requests, where they name one:
// so many a second from all VMs together, for as long as their answers say so.
//
// An endpoint is reached from its own region only. There one VM by rank, the keeper,
// permits each request to it, whichever VM sends it and on whatever way it came. What one
// VM reads from an answer is told to all VMs of the region.
//
// The package imports no network and no clock. The methods of a Throttle may be called
// from any goroutine.
package throttle

import (
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// permitFor is how long a permit is good: a new connection and a lost packet.
	permitFor = time.Second
	// keeperLostFor is how long a keeper that did not answer is not asked again.
	keeperLostFor = 500 * time.Millisecond
	// againAfter is when an endpoint is tried again whose keeper is not agreed on.
	againAfter = 100 * time.Millisecond
	// forgetAfter is how long the limit of an endpoint is kept that is not published: entries
	// may lapse for as long as the store is away.
	forgetAfter = time.Minute
)

// Options set up a Throttle.
type Options struct {
	VM string
	// StartedAt is when the process started: what its earlier life permitted is not known.
	StartedAt time.Time
	// Changed, if set, is told of each new limit.
	Changed func(l Limit)
}

// Region is what this VM knows of the others of its region.
type Region struct {
	// Near are the VMs in reach, this one included.
	Near []fleet.VM
	// Known is how many VMs are not known to be gone.
	Known int
}

// Throttle is that of one VM.
type Throttle struct {
	options Options

	mu        sync.Mutex
	census    fleet.Census
	endpoints map[string]*limited
	// lost are the keepers that did not answer, with the time until which they are not asked.
	lost map[string]time.Time
	// comeBacks are the times that refused callers were told, by target.
	comeBacks map[string]*turns
}

// limited is an endpoint that has named a rate.
type limited struct {
	limit Limit
	// learntAt is when this VM took the limit, listedAt when the endpoint was last published.
	learntAt time.Time
	listedAt time.Time
	// closedUntil is until when the keeper permits this VM nothing.
	closedUntil time.Time
	// bucket and turns are used where this VM is the keeper.
	bucket bucket
	turns  turns
	// questionAt is when it may next be asked for its load and health.
	questionAt time.Time
}

// New makes a Throttle that knows of no rate.
func New(o Options) *Throttle {
	if o.Changed == nil {
		o.Changed = func(Limit) {}
	}
	return &Throttle{
		options: o,
		census: fleet.Census{
			StartedAt: o.StartedAt,
		},
		endpoints: make(map[string]*limited),
		lost:      make(map[string]time.Time),
		comeBacks: make(map[string]*turns),
	}
}

// Verdict says whether a request may be sent to an endpoint.
type Verdict struct {
	// Permit is set where it may.
	Permit *Permit
	// OpensAt is when this VM may send the next one, where it may not.
	OpensAt time.Time
	// Keeper is set where that VM decides, which is to be asked with the limit. AskedAt is
	// from when on its permit counts.
	Keeper  *fleet.VM
	Limit   Limit
	AskedAt time.Time
}

// Take permits a request to an endpoint, refuses it, or names the VM that decides.
func (t *Throttle) Take(e fleet.Endpoint, r Region, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.census.Learn(len(r.Near), r.Known, now)
	held := t.endpoints[e.ID]
	if held == nil || !held.limit.binds(e) {
		return Verdict{
			Permit: &Permit{},
		}
	}
	keeper := t.keeper(e.ID, r)
	opensAt := held.closedUntil
	if lostUntil := t.lost[keeper.ID]; lostUntil.After(opensAt) {
		opensAt = lostUntil
	}
	if now.Before(opensAt) {
		return Verdict{
			OpensAt: opensAt,
		}
	}
	if keeper.ID != t.options.VM {
		return Verdict{
			Keeper:  &keeper,
			Limit:   held.limit,
			AskedAt: now,
		}
	}
	granted, nextAt := t.grant(held, now)
	return held.decided(granted, nextAt, now, now)
}

// decided takes the keeper's decision.
func (l *limited) decided(granted bool, nextAt, askedAt, now time.Time) Verdict {
	if nextAt.After(now) {
		l.closedUntil = nextAt
	}
	if !granted {
		return Verdict{
			OpensAt: l.closedUntil,
		}
	}
	return Verdict{
		Permit: &Permit{
			Until: askedAt.Add(permitFor),
		},
	}
}

// Decided takes the answer of the VM that a verdict named.
func (t *Throttle) Decided(v Verdict, a Answer, now time.Time) Verdict {
	t.Learn(a.Limit, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.lost, v.Keeper.ID)
	held := t.endpoints[v.Limit.Endpoint]
	switch {
	case held == nil || !held.limit.Active:
		return Verdict{
			Permit: &Permit{},
		}
	case !a.Kept:
		return held.decided(false, now.Add(againAfter), v.AskedAt, now)
	}
	return held.decided(a.Granted, a.NextAt, v.AskedAt, now)
}

// Unanswered takes that the VM that a verdict named did not answer. It may have permitted
// the request, so this VM sends none.
func (t *Throttle) Unanswered(v Verdict, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	lostUntil := now.Add(keeperLostFor)
	t.lost[v.Keeper.ID] = lostUntil
	return Verdict{
		OpensAt: lostUntil,
	}
}

// keeper is the VM of the region that permits requests to an endpoint. All VMs that reach
// each other agree on it.
func (t *Throttle) keeper(endpointID string, r Region) fleet.VM {
	if keeper, ok := entry.First(entry.Hash(endpointID), r.Near); ok {
		return keeper
	}
	return fleet.VM{
		ID: t.options.VM,
	}
}

// Answered takes what an answer of an endpoint says of its rate. The request was sent at
// sentAt: an answer to an earlier one may be from before the limit that is held, so that it
// neither ends a limit nor raises it.
func (t *Throttle) Answered(e fleet.Endpoint, r fleet.Rate, sentAt, now time.Time) {
	t.mu.Lock()
	var held Limit
	isLater := true
	if known := t.endpoints[e.ID]; known != nil {
		held = known.limit
		isLater = sentAt.After(known.learntAt)
	}
	if !held.mayChange(e.Incarnation, r, isLater) {
		t.mu.Unlock()
		return
	}
	next := held.next(e, r)
	t.take(next, now)
	t.mu.Unlock()
	t.options.Changed(next)
}

// Learn takes another VM's limit, if it is newer than the one held.
func (t *Throttle) Learn(l Limit, now time.Time) (isNew bool) {
	t.mu.Lock()
	known := t.endpoints[l.Endpoint]
	isNew = l.Version > 0 && (known == nil || l.supersedes(known.limit))
	if isNew {
		t.take(l, now)
	}
	t.mu.Unlock()
	if isNew {
		t.options.Changed(l)
	}
	return isNew
}

// take holds a limit. Its bucket begins empty: what was sent before is not known.
func (t *Throttle) take(l Limit, now time.Time) {
	held := t.endpoints[l.Endpoint]
	if held == nil {
		held = &limited{
			listedAt: now,
		}
		t.endpoints[l.Endpoint] = held
	}
	if l.Incarnation != held.limit.Incarnation || !held.limit.Active || !l.Active {
		held.bucket = bucket{
			at: now,
		}
	}
	held.limit = l
	held.learntAt = now
	if !l.Active {
		held.closedUntil = time.Time{}
	}
}

// IsLimited reports whether a life of an endpoint takes a limited number of requests.
func (t *Throttle) IsLimited(e fleet.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.endpoints[e.ID]
	return held != nil && held.limit.binds(e)
}

// Listed takes which endpoints are published, and forgets others after a while.
func (t *Throttle) Listed(isListed func(endpointID string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, held := range t.endpoints {
		if isListed(id) {
			held.listedAt = now
		} else if now.Sub(held.listedAt) > forgetAfter {
			delete(t.endpoints, id)
		}
	}
}
