// Package slowstart limits the calls in flight at an engine that starts or recovers, over
// all VMs of a region, until the engine answers as fast as its neighbours.
package slowstart

import (
	"math"
	"time"
)

const (
	// stepFraction of the slots is the first limit, and what a round adds. The prompts of more
	// calls would wait for each other at an engine that is three times slower: 8 calls on 64
	// slots took 1.4 s.
	stepFraction = 1.0 / 32
	// RoundDuration is the shortest time between two increases. Within it the first tokens
	// of the calls that an increase admits have arrived, or are late.
	RoundDuration = 250 * time.Millisecond
	// MaxDuration bounds the limitation of an engine. An engine that is slow for longer is
	// not starting; the latency corrections of package routing apply to it.
	MaxDuration = 10 * time.Second
	// LatenessTolerance is how much later than at a neighbour a first token may arrive: a
	// quarter of the shortest objective of callers, 0.5 s.
	LatenessTolerance = 125 * time.Millisecond
	// maxGrowthRatio bounds the limit relative to the calls that the engine has reported,
	// for a VM that sends it none and cannot judge by answers of its own. Reports are some
	// rounds old.
	maxGrowthRatio = 4
)

// Limit is the limit on the calls in flight of one engine. The zero Limit admits all calls.
type Limit struct {
	calls       float64
	slots       float64
	beganAt     time.Time
	roundEndsAt time.Time
	endsAt      time.Time
	// changedAt is when the limit last changed. Answers to calls that were sent before do
	// not count.
	changedAt time.Time
	// confirmed is set by a good answer to a call that was sent since changedAt.
	confirmed bool
	cuts      int
}

// Observation is what a VM knows of an engine at the end of a round.
type Observation struct {
	// OwnCalls is the number of this VM's calls in flight.
	OwnCalls int
	// Reported is the number of calls of all VMs in the engine's last load report; negative
	// without a report of this life of the engine.
	Reported int
}

// Begin returns the limit of an engine that begins to accept calls.
func Begin(slots float64, now time.Time) Limit {
	return Limit{
		calls:       step(slots),
		slots:       slots,
		beganAt:     now,
		roundEndsAt: now.Add(RoundDuration),
		endsAt:      now.Add(MaxDuration),
		changedAt:   now,
	}
}

// step is the first limit and its growth in a round.
func step(slots float64) float64 {
	return max(math.Round(slots*stepFraction), 1)
}

// Active reports whether the engine is limited.
func (l *Limit) Active() bool {
	return l.calls > 0
}

// Calls returns the limit on the calls in flight from all VMs of the region.
func (l *Limit) Calls() float64 {
	return l.calls
}

// Cuts returns how often the limit was cut.
func (l *Limit) Cuts() int {
	return l.cuts
}

// BeganAt returns when the limit began.
func (l *Limit) BeganAt() time.Time {
	return l.beganAt
}

// RoundEndsAt returns when Advance may change the limit next.
func (l *Limit) RoundEndsAt() time.Time {
	return l.roundEndsAt
}

// RoundEnded reports whether Advance may change the limit.
func (l *Limit) RoundEnded(now time.Time) bool {
	return !now.Before(l.roundEndsAt)
}

// Advance ends the current round if it is over: the limit grows by its initial value. It stays
// while calls of this VM are in flight and none that was sent since the last change has been
// answered well. It returns whether the limit ended.
func (l *Limit) Advance(o Observation, now time.Time) (ended bool) {
	if !l.Active() || !l.RoundEnded(now) {
		return false
	}
	if !now.Before(l.endsAt) {
		*l = Limit{}
		return true
	}
	if l.confirmed || o.OwnCalls == 0 {
		l.grow(o, now)
	}
	l.calls = max(l.calls, l.floor(now))
	if l.calls >= l.slots {
		*l = Limit{}
		return true
	}
	l.roundEndsAt = now.Add(RoundDuration)
	return false
}

func (l *Limit) grow(o Observation, now time.Time) {
	next := l.calls + step(l.slots)
	if !l.confirmed && o.Reported >= 0 {
		next = min(next, maxGrowthRatio*max(float64(o.Reported), step(l.slots)))
	}
	if next <= l.calls {
		return
	}
	l.calls = next
	l.changedAt = now
	l.confirmed = false
}

// floor is the least limit. It rises with the square of the time to the engine's slots, so
// that an engine which stays slow has few calls in its first seconds and is not flooded when
// the limitation ends.
func (l *Limit) floor(now time.Time) float64 {
	elapsed := now.Sub(l.beganAt).Seconds() / MaxDuration.Seconds()
	return max(l.slots*elapsed*elapsed, 1)
}

// Good records an answer that began in time.
func (l *Limit) Good(sentAt time.Time) {
	if l.Active() && !sentAt.Before(l.changedAt) {
		l.confirmed = true
	}
}

// Bad records an error, a refusal or a late answer. It halves the limit, once for all calls
// that were sent before, and returns whether it did.
func (l *Limit) Bad(sentAt, now time.Time) (cut bool) {
	if !l.Active() || sentAt.Before(l.changedAt) {
		return false
	}
	l.calls = max(l.calls/2, l.floor(now))
	l.cuts++
	l.changedAt = now
	l.confirmed = false
	l.roundEndsAt = now.Add(RoundDuration)
	return true
}
