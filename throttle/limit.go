package throttle

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Limit is what is known of the requests that one life of an endpoint takes.
type Limit struct {
	Endpoint    string
	Incarnation int64
	// Version orders the limits of one life: each change has the next one. Zero stands for
	// one that has named none yet.
	Version uint32
	// Active is false once an answer has named no limit any more.
	Active    bool
	PerSecond float64
}

// binds reports whether the limit holds for a life of its endpoint. One of a later life than
// the published one does too: the store tells of that late.
func (l Limit) binds(e fleet.Endpoint) bool {
	return l.Active && l.Incarnation >= e.Incarnation
}

// mayChange reports whether an answer of a life says something else than the limit. A
// lower rate counts whenever it comes, a higher one or none only if the answer is later
// than the limit.
func (l Limit) mayChange(incarnation int64, r fleet.Rate, isLater bool) bool {
	switch {
	case !r.Named && r.Unreadable:
		return false
	case l.Version == 0:
		return r.Named
	case incarnation != l.Incarnation:
		return incarnation > l.Incarnation
	case r.Named && (!l.Active || r.PerSecond < l.PerSecond):
		return true
	case r.Named == l.Active && r.PerSecond == l.PerSecond:
		return false
	default:
		return isLater
	}
}

// next is the limit that takes the place of this one.
func (l Limit) next(e fleet.Endpoint, r fleet.Rate) Limit {
	version := uint32(1)
	if e.Incarnation == l.Incarnation {
		version = l.Version + 1
	}
	return Limit{
		Endpoint:    e.ID,
		Incarnation: e.Incarnation,
		Version:     version,
		Active:      r.Named,
		PerSecond:   r.PerSecond,
	}
}

// supersedes reports whether a limit takes the place of another one. Of two with one version,
// which two VMs have read at the same time, the stricter one counts.
func (l Limit) supersedes(other Limit) bool {
	switch {
	case l.Incarnation != other.Incarnation:
		return l.Incarnation > other.Incarnation
	case l.Version != other.Version:
		return l.Version > other.Version
	case l.Active != other.Active:
		return l.Active
	default:
		return l.Active && l.PerSecond < other.PerSecond
	}
}

// recentFor is how long a limit is told unasked.
const recentFor = 2 * time.Second

// Recent returns the limits that this VM has learnt of late.
func (t *Throttle) Recent(now time.Time) []Limit {
	return t.limits(func(l *limited) bool { return now.Sub(l.learntAt) < recentFor })
}

// Limits returns all limits.
func (t *Throttle) Limits() []Limit {
	return t.limits(func(*limited) bool { return true })
}

func (t *Throttle) limits(wanted func(*limited) bool) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Limit
	for _, held := range t.endpoints {
		if wanted(held) {
			out = append(out, held.limit)
		}
	}
	return out
}

// Digest is the same at two VMs that hold the same limits; zero without any.
func (t *Throttle) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for _, held := range t.endpoints {
		sum ^= held.limit.hash()
	}
	return sum
}

func (l Limit) hash() uint64 {
	text := fmt.Sprintf("%s %d %d %t %g", l.Endpoint, l.Incarnation, l.Version, l.Active, l.PerSecond)
	return xxhash.Sum64String(text)
}
