package throttle

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Limit is the rate limit of one incarnation of an endpoint.
type Limit struct {
	Endpoint    string
	Incarnation int64
	// Version orders the limits of one incarnation and increases with each change. Zero
	// means that the endpoint has named no limit yet.
	Version uint32
	// Active is false once an answer no longer names a limit.
	Active    bool
	PerSecond float64
}

// appliesTo reports whether the limit holds for an endpoint as published. A limit of a
// later incarnation holds too, since the store publishes that late.
func (l Limit) appliesTo(e fleet.Endpoint) bool {
	return l.Active && l.Incarnation >= e.Incarnation
}

// isChangedBy reports whether an answer replaces the limit. A lower rate is accepted at
// any time, a higher rate or none only if the request was sent after the limit was
// learned.
func (l Limit) isChangedBy(incarnation int64, r fleet.Rate, isLater bool) bool {
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

// updated returns the limit that replaces this one.
func (l Limit) updated(e fleet.Endpoint, r fleet.Rate) Limit {
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

// supersedes reports whether a limit replaces another. If two VMs have read different
// limits at the same time, these have the same version and the stricter one wins.
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

// recentWindow is how long a new limit is sent to other VMs unasked.
const recentWindow = 2 * time.Second

// Recent returns the limits learned within the last two seconds.
func (t *Throttle) Recent(now time.Time) []Limit {
	return t.limits(func(l *limitedEndpoint) bool { return now.Sub(l.learnedAt) < recentWindow })
}

// Limits returns all limits.
func (t *Throttle) Limits() []Limit {
	return t.limits(func(*limitedEndpoint) bool { return true })
}

func (t *Throttle) limits(include func(*limitedEndpoint) bool) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Limit
	for _, endpoint := range t.endpoints {
		if include(endpoint) {
			out = append(out, endpoint.limit)
		}
	}
	return out
}

// Digest returns a hash that is equal on VMs with the same limits; zero if there are
// none.
func (t *Throttle) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for _, endpoint := range t.endpoints {
		sum ^= endpoint.limit.hash()
	}
	return sum
}

func (l Limit) hash() uint64 {
	text := fmt.Sprintf("%s %d %d %t %g", l.Endpoint, l.Incarnation, l.Version, l.Active, l.PerSecond)
	return xxhash.Sum64String(text)
}
