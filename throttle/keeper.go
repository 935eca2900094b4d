package throttle

import (
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// settlesFor is how long a keeper permits nothing after its start: hundreds of VMs may
	// start together, and each takes itself for the keeper until it knows the others.
	settlesFor = 2 * fleet.StartsFor
	// leastPerSecond is the rate at which an endpoint is sent requests that names less, as
	// only an answer tells that the limit has ended.
	leastPerSecond = 0.1
	// savedFor is how long a keeper saves up what nobody asks for.
	savedFor = 250 * time.Millisecond
	// turnsWithin bounds how far ahead another VM is told when to ask again.
	turnsWithin = 2 * time.Second
)

// Answer is what a VM says when it is asked for a permit.
type Answer struct {
	// Kept is false where the VM is not the keeper.
	Kept    bool
	Granted bool
	// NextAt is when the asker may ask for the next one.
	NextAt time.Time
	// Limit is the one that the VM holds, where it is another one than the asker's.
	Limit Limit
}

// Ask decides for another VM, which knows of the limit.
func (t *Throttle) Ask(l Limit, r Region, now time.Time) Answer {
	t.Learn(l, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.census.Learn(len(r.Near), r.Known, now)
	held := t.endpoints[l.Endpoint]
	if held == nil || t.keeper(l.Endpoint, r).ID != t.options.VM {
		return Answer{}
	}
	a := Answer{
		Kept:    true,
		Granted: true,
	}
	if held.limit != l {
		a.Limit = held.limit
	}
	if !held.limit.Active {
		return a
	}
	a.Granted, a.NextAt = t.grant(held, now)
	if !a.Granted {
		a.NextAt = held.turns.next(a.NextAt, interval(t.rate(held.limit, now)), now.Add(turnsWithin))
	}
	return a
}

// grant permits one request if the rate allows it, and says when it allows the next one.
func (t *Throttle) grant(held *limited, now time.Time) (granted bool, nextAt time.Time) {
	if settledAt := t.options.StartedAt.Add(settlesFor); now.Before(settledAt) {
		held.bucket.at = now
		return false, settledAt
	}
	rate := t.rate(held.limit, now)
	held.bucket.fill(rate, now)
	granted = held.bucket.take()
	return granted, held.bucket.nextAt(rate, now)
}

// rate is the part of an endpoint's rate that this VM permits: that of the VMs of the
// region which it reaches. The others may have a keeper of their own.
func (t *Throttle) rate(l Limit, now time.Time) float64 {
	return max(l.PerSecond, leastPerSecond) * t.census.Part(now)
}

// bucket holds the requests that may be sent now.
type bucket struct {
	level float64
	at    time.Time
}

// fill adds what a rate has allowed since the last time.
func (b *bucket) fill(rate float64, now time.Time) {
	if past := now.Sub(b.at); past > 0 {
		b.level += rate * past.Seconds()
		b.at = now
	}
	b.level = min(b.level, max(1, rate*savedFor.Seconds()))
}

func (b *bucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// nextAt is when the bucket holds a request.
func (b *bucket) nextAt(rate float64, now time.Time) time.Time {
	if b.level >= 1 {
		return now
	}
	return now.Add(time.Duration((1 - b.level) * float64(interval(rate))))
}

// interval is the time between two requests.
func interval(rate float64) time.Duration {
	return time.Duration(math.Round(float64(time.Second) / rate))
}

// turns are the times at which those who were turned away are to come again, one after the
// other: what comes together is turned away together.
type turns struct {
	last time.Time
}

// next returns the next turn, from a moment on and up to another one.
func (t *turns) next(from time.Time, every time.Duration, most time.Time) time.Time {
	at := t.last.Add(every)
	if at.Before(from) {
		at = from
	}
	if at.After(most) {
		at = most
	}
	t.last = at
	if at.Before(from) {
		return from
	}
	return at
}
