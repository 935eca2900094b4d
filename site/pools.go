package site

import (
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/admission"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/route"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/serving"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// pools holds the endpoints of the region by service. The control goroutine replaces the
// table; requests read it without locks.
type pools struct {
	node    *Node
	reports loadReports
	table   atomic.Pointer[poolTable]
}

type poolTable struct {
	byService map[string]*pool
	// available holds the endpoints that accept work, engines those that report their load,
	// unreachable ones included.
	available []fleet.Endpoint
	engines   []fleet.Endpoint
}

type pool struct {
	serving.Pool
	budget *retry.Window
}

func newPools(n *Node) *pools {
	p := &pools{
		node: n,
	}
	p.reports.latest = make(map[string]loadReport)
	p.reports.lastBroadcast = make(map[string]routing.Load)
	p.table.Store(&poolTable{
		byService: make(map[string]*pool),
	})
	return p
}

// applySnapshot updates the pools with the endpoints and members of a snapshot.
func (p *pools) applySnapshot(snap *snapshot, now time.Time) {
	before := p.table.Load()
	after := &poolTable{
		byService: make(map[string]*pool),
	}
	warm := make(map[string][]fleet.Endpoint)
	unreachableServices := mostlyUnreachable(snap.endpoints, p.node.deployment.Region)
	for _, e := range snap.endpoints {
		service, named := snap.service(e.Service)
		if e.Region != p.node.deployment.Region || !named {
			continue
		}
		if after.byService[e.Service] == nil {
			after.byService[e.Service] = p.poolFor(before, e.Service)
		}
		if !e.ColdUntil.IsZero() {
			continue
		}
		if service.IsEngine {
			after.engines = append(after.engines, e.Endpoint)
		}
		endpoint := e.Endpoint
		if e.UnreachableUntil.IsZero() || unreachableServices[e.Service] {
			after.available = append(after.available, endpoint)
		} else {
			// A leaving endpoint gets no calls, but the pool retains its statistics.
			endpoint.State = fleet.StateLeaving
		}
		warm[e.Service] = append(warm[e.Service], endpoint)
	}
	for service, existing := range before.byService {
		if after.byService[service] == nil {
			after.byService[service] = existing
		}
	}
	for service, pool := range after.byService {
		pool.Endpoints.SetEndpoints(warm[service], now)
	}
	p.table.Store(after)
	p.updateMembers(snap)
}

// mostlyUnreachable returns the services of a region with more than half of their
// endpoints unreachable. The cause is then likely on the side of the VMs, so the
// endpoints stay in use.
func mostlyUnreachable(endpoints []discovery.AvailableEndpoint, region string) map[string]bool {
	total, unreached := make(map[string]int), make(map[string]int)
	for _, e := range endpoints {
		if e.Region != region {
			continue
		}
		total[e.Service]++
		if !e.UnreachableUntil.IsZero() {
			unreached[e.Service]++
		}
	}
	out := make(map[string]bool)
	for service, count := range unreached {
		out[service] = 2*count > total[service]
	}
	return out
}

// updateMembers updates the pools with the members only, which change far more often
// than the endpoints while a fleet starts.
func (p *pools) updateMembers(snap *snapshot) {
	remote := p.remoteEndpoints(snap)
	vms := p.countRegionVMs(snap)
	for service, pool := range p.table.Load().byService {
		pool.Endpoints.SetRemoteEndpoints(remote[service])
		pool.Endpoints.SetVMs(vms)
	}
}

// remoteEndpoints returns the endpoints of other reachable regions by service. Engines
// fetch cached prefixes from them.
func (p *pools) remoteEndpoints(snap *snapshot) map[string][]fleet.Endpoint {
	out := make(map[string][]fleet.Endpoint)
	for _, e := range snap.endpoints {
		if e.Region != p.node.deployment.Region && len(snap.members.ReachableVMs(e.Region)) > 0 {
			out[e.Service] = append(out[e.Service], e.Endpoint)
		}
	}
	return out
}

// service returns a configured service. Endpoints of other services are ignored.
func (snap *snapshot) service(name string) (route.Service, bool) {
	if snap.table == nil {
		return route.Service{}, false
	}
	return snap.table.Service(name)
}

// countRegionVMs counts the VMs of the region, which share its endpoints.
func (p *pools) countRegionVMs(snap *snapshot) int {
	n := 0
	for i := range snap.members.Members {
		m := &snap.members.Members[i]
		if m.VM.Region == p.node.deployment.Region {
			n++
		}
	}
	return max(n, 1)
}

func (p *pools) poolFor(before *poolTable, service string) *pool {
	if existing := before.byService[service]; existing != nil {
		return existing
	}
	endpoints := routing.New(routing.Options{
		Disabled: p.disabledRouting(),
	})
	return &pool{
		Pool: serving.Pool{
			Endpoints: endpoints,
			Queue: admission.New(admission.Options{
				Policy: admission.PolicyEngine,
				Now:    p.node.now,
			}, endpoints),
		},
		budget: p.newRetryWindow(),
	}
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
	}
}

func (p *pools) newRetryWindow() *retry.Window {
	bounds := p.node.bounds.Load()
	return retry.NewWindow(retry.WindowOptions{
		Ratio:  bounds.RetryRatio,
		Slack:  bounds.RetrySlack,
		Length: bounds.RetryWindow,
		VMs:    func() int { return p.node.control.snapshot().members.MaxKnown },
		Now:    p.node.now,

		SlackFrom: p.node.startedAt.Add(bounds.RetryWindow),
	})
}

// retryBudget limits the retries to each service.
func (p *pools) retryBudget() serving.Budget {
	return serving.Budget{
		OnRequest: func(service string) {
			if pool := p.table.Load().byService[service]; pool != nil {
				pool.budget.OnRequest()
			}
		},
		Allow: func(service string) bool {
			pool := p.table.Load().byService[service]
			return pool != nil && pool.budget.Allow()
		},
	}
}

// find returns the pool of a service in this region.
func (p *pools) find(service string) (*serving.Pool, bool) {
	pool, ok := p.table.Load().byService[service]
	if !ok {
		return nil, false
	}
	return &pool.Pool, true
}
