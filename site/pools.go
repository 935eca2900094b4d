package site

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/admission"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/route"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/serving"
	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/survey"
)

// pools holds the endpoints of the region by service. The control goroutine updates them
// with the endpoints that changed; requests read them without its help.
type pools struct {
	node    *Node
	reports loadReports
	index   *endpointIndex
	// pollPlan caches the assignment of engines to pollers.
	pollPlan atomic.Pointer[pollPlan]
	// byService is replaced when a service gets its pool, which it keeps.
	byService atomic.Pointer[map[string]*pool]
	// inUse are the services whose endpoints are in their pools. Only the control
	// goroutine accesses it.
	inUse map[string]bool
	lives *endpointLives

	budgetsMu sync.Mutex
	// budgets holds the retry budgets by service.
	budgets map[string]*retryBudget
}

type pool struct {
	serving.Pool
}

func newPools(n *Node) *pools {
	p := &pools{
		node:  n,
		index: newEndpointIndex(n.deployment.Region),
		inUse: make(map[string]bool),
		lives: newEndpointLives(n.deployment.Region),

		budgets: make(map[string]*retryBudget),
	}
	p.reports.latest = make(map[string]loadReport)
	p.reports.coldProbedAt = make(map[string]time.Time)
	p.reports.lastBroadcast = make(map[string]routing.Load)
	p.reports.progress = make(map[string]*survey.Progress)
	p.byService.Store(&map[string]*pool{})
	return p
}

// all returns the pools by service. The caller must not modify the map.
func (p *pools) all() map[string]*pool {
	return *p.byService.Load()
}

// applyChanges updates the pools with the endpoints that changed, and with all endpoints of
// the services that are used in another way than before.
func (p *pools) applyChanges(changes []discovery.EndpointChange, snap *snapshot, now time.Time) {
	updates := newPoolUpdates(p.node.deployment.Region)
	countsBefore := p.index.serviceCounts()
	changed := make(map[string]bool)
	for _, c := range changes {
		before, known := p.index.apply(c)
		if known {
			updates.replace(before, c.Endpoint)
			changed[before.Service] = true
			if c.Endpoint == nil || isOtherSoftware(before.Endpoint, c.Endpoint.Endpoint) {
				p.node.streams.register.ObserveDeparture(before.Service, before.SoftwareVersion, now)
			}
		}
		if c.Endpoint == nil {
			p.reports.forget(c.ID)
		} else {
			changed[c.Endpoint.Service] = true
		}
	}
	for service := range changed {
		p.node.streams.register.Observe(service, p.index.softwareVersions(service), now)
	}
	counts := p.index.serviceCounts()
	p.reviewServices(updates, snap, countsBefore, counts)
	for _, c := range changes {
		if c.Endpoint != nil && p.inUse[c.Endpoint.Service] {
			updates.put(*c.Endpoint, counts[c.Endpoint.Service])
		}
	}
	for service, u := range updates.byService {
		if pool := p.all()[service]; pool != nil {
			pool.Endpoints.Update(u.local, u.localRemoved, now)
			pool.Endpoints.UpdateRemote(u.remote, u.remoteRemoved)
		}
	}
	p.beginSlowStarts(p.lives.observe(changes, now), now)
	p.logCounts(countsBefore, counts)
}

// isOtherSoftware reports whether an endpoint has started anew as another service or version, or
// in a new incarnation.
func isOtherSoftware(before, after fleet.Endpoint) bool {
	return before.Service != after.Service || before.SoftwareVersion != after.SoftwareVersion || before.Incarnation != after.Incarnation
}

// reviewServices adds all endpoints of services that are configured from now on, removes
// those of services that no longer are, and adds those of services anew whose unreachable
// endpoints are used from now on or no longer are.
func (p *pools) reviewServices(updates *poolUpdates, snap *snapshot, before, after map[string]endpointCounts) {
	for service := range p.inUse {
		if _, configured := snap.service(service); !configured {
			delete(p.inUse, service)
			for _, e := range p.index.ofService(service) {
				updates.remove(e)
			}
		}
	}
	for service, counts := range after {
		if _, configured := snap.service(service); !configured {
			continue
		}
		flipped := counts.mostlyUnreachable() != before[service].mostlyUnreachable()
		if p.inUse[service] && !flipped {
			continue
		}
		p.inUse[service] = true
		p.ensurePool(service, snap)
		for _, e := range p.index.ofService(service) {
			updates.put(e, counts)
		}
	}
}

// updateMembers updates the pools with the members, which change far more often than the
// endpoints while a fleet starts.
func (p *pools) updateMembers(snap *snapshot) {
	for _, pool := range p.all() {
		p.setMembers(pool, snap)
	}
}

func (p *pools) setMembers(pool *pool, snap *snapshot) {
	pool.Endpoints.SetVMs(max(snap.meteringFleet.Known, 1))
	p.setAcceptingVMs(pool, snap)
	pool.Endpoints.SetReachableRegions(slices.Collect(maps.Keys(snap.meteringFleet.Remote)))
}

// service returns a configured service. Endpoints of other services are ignored.
func (snap *snapshot) service(name string) (route.Service, bool) {
	if snap.table == nil {
		return route.Service{}, false
	}
	return snap.table.Service(name)
}

// ensurePool creates the pool of a service unless there is one.
func (p *pools) ensurePool(service string, snap *snapshot) {
	if p.all()[service] != nil {
		return
	}
	endpoints := routing.New(routing.Options{
		Disabled:  p.disabledRouting(),
		SlowStart: p.slowStart(service, snap),
	})
	created := &pool{
		Pool: serving.Pool{
			Endpoints: endpoints,
			Queue: admission.New(admission.Options{
				Policy: admission.PolicyEngine,
				Now:    p.node.now,
			}, endpoints),
		},
	}
	p.setMembers(created, snap)
	pools := maps.Clone(p.all())
	pools[service] = created
	p.byService.Store(&pools)
}

// disabledRouting returns the routing mechanisms that the settings disable.
func (p *pools) disabledRouting() routing.DisabledFeatures {
	s := p.node.settings
	return routing.DisabledFeatures{
		Affinity:          !s.Enabled(settings.Affinity),
		CacheFetch:        !s.Enabled(settings.Fetches),
		RemoteCacheFetch:  !s.Enabled(settings.FarFetches),
		LiveTokenTime:     !s.Enabled(settings.LivePace),
		Backoff:           !s.Enabled(settings.BackOff),
		LatencyCorrection: !s.Enabled(settings.Corrections),
		Memory:            !s.Enabled(settings.EngineMemory),
		PaceGuard:         !s.Enabled(settings.PaceGuard),
		EnginePace:        !s.Enabled(settings.EnginePace),
	}
}

// find returns the pool of a service in this region.
func (p *pools) find(service string) (*serving.Pool, bool) {
	pool, ok := p.all()[service]
	if !ok {
		return nil, false
	}
	return &pool.Pool, true
}
