package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// lateWeight is the weight of one late call's end in what is expected of others.
	lateWeight = 0.1
	// lateForget is the time in which what late calls came to is half forgotten: some
	// seconds, as an overload lasts, so that its end is soon tried.
	lateForget = 3 * time.Second
	// lateLeast is the part of the late calls that is always tried, to see whether
	// they are served again.
	lateLeast = 0.1
)

// Late knows which part of the calls that could not be on time was missed of
// late. They yield to all that can be on time, so in a lasting overload they wait
// until their deadline for nothing, and their callers had better know at once.
// It is safe for concurrent use.
type Late struct {
	mu     sync.Mutex
	groups map[LateGroup]lateGroup
}

// LateGroup are calls that fare alike.
type LateGroup struct {
	Service string
	Rank    int
}

// lateGroup is the part of a group's late calls that was not served, as of at.
type lateGroup struct {
	missed float64
	at     time.Time
}

// NewLate makes a Late that expects all to be served.
func NewLate() *Late {
	return &Late{
		groups: make(map[LateGroup]lateGroup),
	}
}

// Ended tells what became of a late call.
func (l *Late) Ended(g LateGroup, served bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	missed := l.groups[g].now(now)
	sample := 1.0
	if served {
		sample = 0
	}
	l.groups[g] = lateGroup{
		missed: missed + lateWeight*(sample-missed),
		at:     now,
	}
}

// Missed is the part of a group's late calls that was not served of late.
func (l *Late) Missed(g LateGroup, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.groups[g].now(now)
}

// now is the part that is missed, as far as it is not forgotten.
func (g lateGroup) now(now time.Time) float64 {
	if g.missed == 0 {
		return 0
	}
	return g.missed * math.Exp2(-float64(now.Sub(g.at))/float64(lateForget))
}
