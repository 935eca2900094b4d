package borrow

import (
	"math"
	"sync"
	"time"
)

const (
	// reserveShare is the part of the capacity that is never offered.
	reserveShare = 0.1
	// acceptBurst is how many seconds of the offered rate strangers may use at once.
	acceptBurst = 1.0
	// usedHalf is the time in which a past stranger counts for half.
	usedHalf = 4 * time.Second
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
	// Demand is the region's recent demand in slots, its peak of some seconds, and
	// Strangers the part of it that came from other regions.
	Demand    float64
	Strangers float64
	// Waiting is how many own calls wait.
	Waiting int
	Wait    time.Duration
	// VMs is how many VMs of the region offer parts of the same capacity.
	VMs int
	// Until ends the offer.
	Until time.Time
}

// Surplus gives what the VM offers to other regions: its part of the capacity
// that is free after the own demand and a reserve. TokensPerSecond is zero when
// there is none or own calls wait.
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
	free := min(s.Free, s.Slots-s.Demand) + s.Strangers - reserveShare*s.Slots
	o.TokensPerSecond = max(free, 0) * s.TokensPerSecond / float64(max(s.VMs, 1))
	return o
}

// Gate admits calls of other regions from the own surplus. It is safe for
// concurrent use.
type Gate struct {
	mu sync.Mutex
	// tokens is the bucket of the surplus, used the smoothed rate taken from it.
	tokens float64
	used   float64
	at     time.Time
}

// Offer gives what the VM offers to other regions now. It fills in Strangers,
// so that what others use already does not make the offer smaller.
func (g *Gate) Offer(s State, now time.Time) Offer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.offer(s, now)
}

func (g *Gate) offer(s State, now time.Time) Offer {
	if s.TokensPerSecond > 0 {
		s.Strangers = g.rate(now) / s.TokensPerSecond * float64(max(s.VMs, 1))
	}
	return Surplus(s, now)
}

// rate is the decayed rate of tokens that strangers use.
func (g *Gate) rate(now time.Time) float64 {
	return g.used * math.Exp2(-float64(now.Sub(g.at))/float64(usedHalf))
}

// Accept says whether a call of another region with so many tokens may enter.
// State must be of now: own calls that wait or a spent surplus refuse it.
func (g *Gate) Accept(s State, tokens float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	rate := g.offer(s, now).TokensPerSecond
	filled := rate * acceptBurst
	if !g.at.IsZero() {
		filled = min(g.tokens+rate*now.Sub(g.at).Seconds(), filled)
	}
	g.tokens = filled
	g.used = g.rate(now)
	g.at = now
	if rate <= 0 || g.tokens <= 0 {
		return false
	}
	g.tokens -= tokens
	g.used += tokens * math.Ln2 / usedHalf.Seconds()
	return true
}
