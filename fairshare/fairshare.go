// Package fairshare decides which calls are within the fair share of their workspace while a
// service is short of capacity, so that a workspace with a burst of traffic delays its own
// calls rather than those of others.
//
// The capacity is what was served lately. It is divided max-min fairly: what a workspace
// leaves unused is lent to others. Of a workspace above its share, calls up to the share
// are within it and only the rest is above, so no workspace is starved.
//
// The package has no network or clock dependencies. A Tracker is safe for concurrent use.
package fairshare

import (
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/route"
)

const (
	// shortRatio is the part of recent calls that show a shortage from which a service counts as
	// short of capacity. Single long prompts are slow also without a shortage.
	shortRatio = 0.05
	// minLate is the decayed number of such calls from which the ratio counts: on a VM with
	// few calls a single one is not a shortage.
	minLate = 1.5
	// usableRatio is the part of the capacity that is divided. At a utilization of 1 queues
	// would grow also for the calls within their shares.
	usableRatio = 0.9
	// minExcess is the demand relative to the capacity up to which all calls are within their
	// shares. A VM that has not heard of the workspace that causes the shortage sees only
	// such whose calls are served, and must not restrict them.
	minExcess = 1.1
	// noiseRatio is how far the measured demand of a workspace may exceed its share before its
	// calls are above it. The demand of a workspace with 30 calls in the window varies by a
	// fifth by chance.
	noiseRatio = 1.3
	// leastPart is the part of the demand below which a workspace does not count as one that
	// competes with others, and is not reported.
	leastPart = 0.01
	// levelInterval is how long a level is used. Computing it from a full table takes some 270 µs.
	levelInterval = 50 * time.Millisecond
)

// Arrival is a call that arrives.
type Arrival struct {
	Service string
	// Workspace is empty if the caller has none.
	Workspace string
	// Limit is the published limit of the workspace.
	Limit route.Limit
	// Unit is that of Amount, the call's demand.
	Unit   route.Unit
	Amount float64
	// RegionVMs is the number of VMs of the region that accept calls.
	RegionVMs int
	// Draw is a random number in [0, 1).
	Draw float64
}

// Tracker tracks the demand of workspaces by service on one VM.
type Tracker struct {
	vm string

	mu       sync.Mutex
	services map[string]*service
}

// service is the state of one service.
type service struct {
	unit  route.Unit
	table *table
	peers map[string]peerReport
	// servedSince is when the first call was served since the start or a pause.
	servedSince time.Time
	// division is that of the capacity at dividedAt.
	division  division
	dividedAt time.Time
}

// New returns the Tracker of a VM, which knows no demand yet.
func New(vm string) *Tracker {
	return &Tracker{
		vm:       vm,
		services: make(map[string]*service),
	}
}

// Arrive records a call and returns whether it is within the fair share of its workspace;
// NoShare while the service is not short of capacity or no other workspace competes.
func (t *Tracker) Arrive(a Arrival, now time.Time) call.FairShare {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serviceOf(a.Service, now)
	s.unit = a.Unit
	s.table.add(a.Workspace, a.Limit, a.Amount, now)
	verdict := s.verdict(a, now)
	if verdict != call.AboveShare {
		s.table.addWithin(a.Workspace, a.Amount, now)
	}
	return verdict
}

func (s *service) verdict(a Arrival, now time.Time) call.FairShare {
	if a.Workspace == "" || !s.isShort(now) && !s.peersShort(now) {
		return call.NoShare
	}
	if now.Sub(s.dividedAt) >= levelInterval || now.Before(s.dividedAt) {
		s.division = s.divide(a.RegionVMs, now)
		s.dividedAt = now
	}
	return s.division.verdict(a, s.table.rate(a.Workspace, now), s.table.withinRate(a.Workspace, now), s.resolve(a.Limit))
}

// Late records that a call shows a shortage: its first token is expected after half of the time
// to its objective, or it is refused for its deadline. Calls that are late by all of that time
// come only after a queue has formed that takes seconds to drain.
func (t *Tracker) Late(serviceName string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serviceOf(serviceName, now)
	s.table.late += s.table.weight(now)
}

// Served records a call that was served, with the demand that it had on arrival.
func (t *Tracker) Served(serviceName string, amount float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serviceOf(serviceName, now)
	weight := s.table.weight(now)
	if s.table.served == 0 {
		s.servedSince = now
	}
	s.table.served += amount * weight
	s.table.recentServed += amount * s.table.recent.weight(now)
}

func (t *Tracker) serviceOf(name string, now time.Time) *service {
	s := t.services[name]
	if s == nil {
		s = &service{
			table: newTable(now),
			peers: make(map[string]peerReport),
		}
		t.services[name] = s
	}
	return s
}

// isShort reports whether this VM sees that the service is short of capacity, and has served
// calls for long enough to know the capacity.
func (s *service) isShort(now time.Time) bool {
	return s.table.served > 0 && now.Sub(s.servedSince) >= window && s.table.late > max(shortRatio*s.table.calls, minLate*s.table.decay.weight(now))
}

// meanAmount returns the mean demand of a call.
func (s *service) meanAmount() float64 {
	if s.table.calls == 0 {
		return 0
	}
	return s.table.total / s.table.calls
}

// resolve returns the published rate of a workspace in the unit of the service, or zero if it
// has none.
func (s *service) resolve(l route.Limit) float64 {
	switch {
	case l.IsUnlimited() || s.table.calls == 0:
		return 0
	case l.Unit == s.unit:
		return l.PerSecond
	case l.Unit == route.UnitRequests:
		return l.PerSecond * s.meanAmount()
	case l.DefaultTokens > 0:
		return l.PerSecond / l.DefaultTokens
	default:
		return 0
	}
}
