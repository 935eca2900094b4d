package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// missRateWeight is the weight of a new sample in the moving average of the miss
	// rate.
	missRateWeight = 0.1
	// missRateHalfLife is the half-life of the miss rate. It is short, so that late
	// calls are tried again soon after an overload ends.
	missRateHalfLife = 3 * time.Second
	// minProbeShare is the share of late calls that is always admitted, to detect that
	// late calls are served again.
	minProbeShare = 0.1
)

// MissTracker tracks the share of late calls that recently failed, so that callers can be
// refused at once instead of waiting for a deadline that will not be met. It is safe
// for concurrent use.
type MissTracker struct {
	mu    sync.Mutex
	rates map[CallGroup]missRate
}

// CallGroup identifies the calls that share one miss rate.
type CallGroup struct {
	Service string
	Rank    int
	// AboveShare is set for calls above the fair share of their workspace.
	AboveShare bool
}

// missRate is a decaying average of the share of late calls that were not served.
type missRate struct {
	value     float64
	updatedAt time.Time
}

// NewMissTracker creates a MissTracker without samples: all late calls are expected to be served.
func NewMissTracker() *MissTracker {
	return &MissTracker{
		rates: make(map[CallGroup]missRate),
	}
}

// Record records whether a late call was served.
func (l *MissTracker) Record(g CallGroup, served bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := l.rates[g].decayed(now)
	sample := 1.0
	if served {
		sample = 0
	}
	l.rates[g] = missRate{
		value:     rate + missRateWeight*(sample-rate),
		updatedAt: now,
	}
}

// MissRate returns the share of the group's late calls that were not served recently. For
// calls above the fair share it is no lower than for those within, so that they are refused
// first.
func (l *MissTracker) MissRate(g CallGroup, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := l.rates[g].decayed(now)
	if g.AboveShare {
		g.AboveShare = false
		rate = max(rate, l.rates[g].decayed(now))
	}
	return rate
}

// decayed returns the value of the average at the given time.
func (r missRate) decayed(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp2(-float64(now.Sub(r.updatedAt))/float64(missRateHalfLife))
}
