package site

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

const (
	// foundPeriod is how long after the first endpoint others count as found, not as started. The
	// contents of the store may arrive in several parts.
	foundPeriod = 5 * time.Second
	// livesRetention is how long an endpoint without an entry is remembered. It exceeds an
	// evacuation or an outage after which the same process is listed again.
	livesRetention = 10 * time.Minute
)

// endpointLives tells endpoints that start from those that are listed again. Only the control
// goroutine accesses it.
type endpointLives struct {
	region     string
	foundUntil time.Time
	lives      map[string]endpointLife
	pruneAt    time.Time
}

type endpointLife struct {
	incarnation int64
	cold        bool
	// forgetAt is set while the endpoint has no entry.
	forgetAt time.Time
}

// endpointStart is an endpoint whose calls are limited from now on.
type endpointStart struct {
	service string
	id      string
	reason  routing.PaceReason
}

func newEndpointLives(region string) *endpointLives {
	return &endpointLives{
		region: region,
		lives:  make(map[string]endpointLife),
	}
}

// observe records changes and returns the endpoints of the region that start, become warm, or
// return in a later incarnation. A pool notices by itself that a listed endpoint restarts.
func (l *endpointLives) observe(changes []discovery.EndpointChange, now time.Time) []endpointStart {
	var starts []endpointStart
	for _, c := range changes {
		before, known := l.lives[c.ID]
		if c.Endpoint == nil || c.Endpoint.Region != l.region {
			if known && before.forgetAt.IsZero() {
				before.forgetAt = now.Add(livesRetention)
				l.lives[c.ID] = before
			}
			continue
		}
		if l.foundUntil.IsZero() {
			l.foundUntil = now.Add(foundPeriod)
		}
		after := endpointLife{
			incarnation: max(c.Endpoint.Incarnation, before.incarnation),
			cold:        !c.Endpoint.ColdUntil.IsZero(),
		}
		l.lives[c.ID] = after
		if reason := l.startReason(before, after, known, now); reason != "" {
			starts = append(starts, endpointStart{
				service: c.Endpoint.Service,
				id:      c.ID,
				reason:  reason,
			})
		}
	}
	l.prune(now)
	return starts
}

// startReason returns why an endpoint's calls are limited, or nothing.
func (l *endpointLives) startReason(before, after endpointLife, known bool, now time.Time) routing.PaceReason {
	switch {
	case after.cold:
		return ""
	case known && before.cold:
		return routing.PaceWarm
	case !known && !now.Before(l.foundUntil):
		return routing.PaceStarted
	case known && !before.forgetAt.IsZero() && after.incarnation > before.incarnation:
		return routing.PaceRestarted
	default:
		return ""
	}
}

// prune forgets endpoints that have had no entry for long.
func (l *endpointLives) prune(now time.Time) {
	if now.Before(l.pruneAt) {
		return
	}
	l.pruneAt = now.Add(livesRetention)
	for id, life := range l.lives {
		if !life.forgetAt.IsZero() && !now.Before(life.forgetAt) {
			delete(l.lives, id)
		}
	}
}

// beginSlowStarts limits the calls to endpoints that start, after they are in their pools.
func (p *pools) beginSlowStarts(starts []endpointStart, now time.Time) {
	for _, s := range starts {
		if pool := p.all()[s.service]; pool != nil {
			pool.Endpoints.BeginSlowStart([]string{s.id}, s.reason, now)
		}
	}
}

// slowStart returns the options of slow start. They are empty if the settings disable it, or if
// the service has no cold period: its endpoints then are not said to start slowly.
func (p *pools) slowStart(service string, snap *snapshot) routing.SlowStartOptions {
	configured, _ := snap.service(service)
	if !p.node.settings.Enabled(settings.SlowStart) || configured.ColdFor <= 0 {
		return routing.SlowStartOptions{}
	}
	return routing.SlowStartOptions{
		VM:       p.node.deployment.VM,
		OnChange: p.logPace,
	}
}

// setAcceptingVMs tells a pool which VMs share the limits.
func (p *pools) setAcceptingVMs(pool *pool, snap *snapshot) {
	vms := snap.members.AcceptingVMs(p.node.deployment.Region)
	ids := make([]string, 0, len(vms))
	for _, vm := range vms {
		ids = append(ids, vm.ID)
	}
	pool.Endpoints.SetAcceptingVMs(ids)
}

// advancePaced ends the limits that are due and returns the number of limited endpoints and
// the calls that were counted so far.
func (p *pools) advancePaced(now time.Time) (limited int, calls routing.PacedCalls) {
	for _, pool := range p.all() {
		endpoints, counted := pool.Endpoints.AdvancePaced(now)
		limited += endpoints
		calls.Within += counted.Within
		calls.Over += counted.Over
		calls.PassedOver += counted.PassedOver
	}
	return limited, calls
}

func (p *pools) logPace(c routing.PaceChange) {
	switch c.Event {
	case routing.PaceBegan:
		p.node.log.Info("engine_pace_began", "endpoint", c.Endpoint, "reason", c.Reason, "calls", c.Calls, "part", c.Part)
	case routing.PaceCut:
		p.node.log.Info("engine_pace_cut", "endpoint", c.Endpoint, "reason", c.Reason, "calls", c.Calls, "part", c.Part)
	case routing.PaceEnded:
		p.node.log.Info("engine_pace_ended", "endpoint", c.Endpoint, "reason", c.Reason, "cuts", c.Cuts, "took_ms", p.node.now().Sub(c.BeganAt).Milliseconds())
	}
}
