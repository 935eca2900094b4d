package borrow

import (
	"sync"
	"time"
)

const (
	// reserveShare is the part of the capacity that is never offered.
	reserveShare = 0.1
	// acceptBurst is how many seconds of the offered rate strangers may use at once.
	acceptBurst = 1.0
	// leastFree is how many slots must be empty for a stranger to enter: its own
	// and one that is left for the next own call.
	leastFree = 2
)

// State is what a VM knows of its region's capacity for one target.
type State struct {
	Region string
	VM     string
	Target string
	// Slots and Free are the region's batch slots and the empty ones.
	Slots float64
	Free  float64
	// TokensPerSecond is the speed of one slot, prompt and generated tokens
	// together. PrefillPerSecond is that of a cold prompt.
	TokensPerSecond  float64
	PrefillPerSecond float64
	// Demand is the region's own recent demand in slots, its mean of some seconds,
	// without calls of other regions.
	Demand float64
	// Waiting is how many own calls wait.
	Waiting int
	Wait    time.Duration
	// VMs is how many VMs of the region offer parts of the same capacity.
	VMs int
	// Until ends the offer.
	Until time.Time
}

// Surplus returns what the VM offers to other regions: its part of the capacity
// that the own mean demand and a reserve leave. What is free at one moment is
// left to Gate, as it changes faster than an offer travels. TokensPerSecond is
// zero when there is none or own calls wait.
func Surplus(s State, now time.Time) Offer {
	o := Offer{
		Region:           s.Region,
		VM:               s.VM,
		Target:           s.Target,
		Wait:             s.Wait,
		Until:            s.Until,
		PrefillPerSecond: s.PrefillPerSecond,
	}
	if s.Waiting > 0 || !s.Until.After(now) {
		return o
	}
	free := s.Slots - s.Demand - reserveShare*s.Slots
	o.TokensPerSecond = max(free, 0) * s.TokensPerSecond / float64(max(s.VMs, 1))
	return o
}

// Gate admits calls of other regions from the own surplus. It is safe for
// concurrent use.
type Gate struct {
	mu sync.Mutex
	// tokens is the bucket of the surplus.
	tokens float64
	at     time.Time
}

// Accept reports whether a call of another region with so many tokens may enter.
// State must be of now: own calls that wait, too few empty slots or a spent
// surplus refuse it.
func (g *Gate) Accept(s State, tokens float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	rate := Surplus(s, now).TokensPerSecond
	filled := rate * acceptBurst
	if !g.at.IsZero() {
		filled = min(g.tokens+rate*now.Sub(g.at).Seconds(), filled)
	}
	g.tokens = filled
	g.at = now
	if rate <= 0 || g.tokens <= 0 || s.Free < leastFree {
		return false
	}
	g.tokens -= tokens
	return true
}
