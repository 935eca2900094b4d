package borrow

import (
	"sync"
	"time"
)

const (
	// reserveFraction is the fraction of the capacity that is never offered.
	reserveFraction = 0.1
	// gateBurstSeconds is the bucket capacity for calls of other regions, in seconds of
	// the offered rate.
	gateBurstSeconds = 1.0
	// minFreeSlots is the minimum number of free slots to accept a call of another region:
	// one for that call and one for the next local call.
	minFreeSlots = 2
)

// RegionCapacity is a VM's view of its region's capacity for one target.
type RegionCapacity struct {
	Region string
	VM     string
	Target string
	// Slots is the number of batch slots in the region, and Free the number of unused
	// ones.
	Slots float64
	Free  float64
	// TokensPerSecond is the throughput of one slot, counting prompt and generated tokens.
	// PrefillPerSecond is the prefill rate for an uncached prompt.
	TokensPerSecond  float64
	PrefillPerSecond float64
	// Demand is the region's recent average demand in slots, without calls of other
	// regions.
	Demand float64
	// Waiting is the number of queued local calls.
	Waiting int
	Wait    time.Duration
	// VMs is the number of VMs of the region that offer parts of the same capacity.
	VMs int
	// Until is when the offer expires.
	Until time.Time
}

// Surplus returns this VM's part of the capacity that average local demand and the reserve
// leave over. It does not consider currently free slots, which change faster than offers
// propagate; Gate checks them. TokensPerSecond is zero if there is no surplus or local
// calls are queued.
func Surplus(s RegionCapacity, now time.Time) Offer {
	o := Offer{
		Region:           s.Region,
		VM:               s.VM,
		Target:           s.Target,
		Wait:             s.Wait,
		ExpiresAt:        s.Until,
		PrefillPerSecond: s.PrefillPerSecond,
	}
	if s.Waiting > 0 || !s.Until.After(now) {
		return o
	}
	free := s.Slots - s.Demand - reserveFraction*s.Slots
	o.TokensPerSecond = max(free, 0) * s.TokensPerSecond / float64(max(s.VMs, 1))
	return o
}

// Gate admits calls of other regions to the local surplus. It is safe for concurrent use.
type Gate struct {
	mu sync.Mutex
	// tokens is the content of the token bucket, which refills at the rate of the surplus.
	tokens     float64
	refilledAt time.Time
}

// Admit reports whether a call of another region with the given number of tokens is
// admitted. It needs the current RegionCapacity, and refuses calls while local calls are queued,
// too few slots are free or the surplus is used up.
func (g *Gate) Admit(s RegionCapacity, tokens float64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	rate := Surplus(s, now).TokensPerSecond
	filled := rate * gateBurstSeconds
	if !g.refilledAt.IsZero() {
		filled = min(g.tokens+rate*now.Sub(g.refilledAt).Seconds(), filled)
	}
	g.tokens = filled
	g.refilledAt = now
	if rate <= 0 || g.tokens <= 0 || s.Free < minFreeSlots {
		return false
	}
	g.tokens -= tokens
	return true
}
