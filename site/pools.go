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

// pools are the endpoints of this region by service. The control goroutine
// updates them; traffic reads an immutable table.
type pools struct {
	node    *Node
	reports loadReports
	table   atomic.Pointer[poolTable]
}

type poolTable struct {
	byService map[string]*pool
	// listed are the endpoints that take work; engines are those that report
	// their load, also those that do not answer.
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

// update takes the endpoints and members of a picture.
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
		if e.UnreachedUntil.IsZero() || unreachableServices[e.Service] {
			after.available = append(after.available, endpoint)
		} else {
			// The pool keeps what it knows of it.
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

// silentServices returns the services of a region of which more than half of the
// endpoints do not answer: that says more of the VMs that ask than of the endpoints,
// and they go on being used.
func mostlyUnreachable(endpoints []discovery.Ready, region string) map[string]bool {
	total, unreached := make(map[string]int), make(map[string]int)
	for _, e := range endpoints {
		if e.Region != region {
			continue
		}
		total[e.Service]++
		if !e.UnreachedUntil.IsZero() {
			unreached[e.Service]++
		}
	}
	out := make(map[string]bool)
	for service, count := range unreached {
		out[service] = 2*count > total[service]
	}
	return out
}

// updateMembers takes the members alone. While a fleet starts they change with each
// message, and its endpoints do not.
func (p *pools) updateMembers(snap *snapshot) {
	far := p.remoteEndpoints(snap)
	vms := p.countRegionVMs(snap)
	for service, pool := range p.table.Load().byService {
		pool.Endpoints.SetFar(far[service])
		pool.Endpoints.SetVMs(vms)
	}
}

// farEndpoints are those of the other regions in reach, by service: engines
// fetch parts of prompts from them.
func (p *pools) remoteEndpoints(snap *snapshot) map[string][]fleet.Endpoint {
	out := make(map[string][]fleet.Endpoint)
	for _, e := range snap.endpoints {
		if e.Region != p.node.deployment.Region && len(snap.members.Reached(e.Region)) > 0 {
			out[e.Service] = append(out[e.Service], e.Endpoint)
		}
	}
	return out
}

// service returns a service that the configuration names: an entry in the store of one
// that it does not is no endpoint of ours.
func (snap *snapshot) service(name string) (route.Service, bool) {
	if snap.table == nil {
		return route.Service{}, false
	}
	return snap.table.Service(name)
}

// countVMs counts the VMs of this region, which choose among the same endpoints.
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
		Without: p.disabledRouting(),
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

// without are the mechanisms of routing that the settings switch off.
func (p *pools) disabledRouting() routing.Without {
	s := p.node.settings
	return routing.Without{
		Affinity:    !s.Has(settings.Affinity),
		Fetches:     !s.Has(settings.Fetches),
		FarFetches:  !s.Has(settings.FarFetches),
		LivePace:    !s.Has(settings.LivePace),
		BackOff:     !s.Has(settings.BackOff),
		Corrections: !s.Has(settings.Corrections),
	}
}

func (p *pools) newRetryWindow() *retry.Window {
	bounds := p.node.bounds.Load()
	return retry.NewWindow(retry.WindowOptions{
		Ratio:  bounds.RetryRatio,
		Slack:  bounds.RetrySlack,
		Length: bounds.RetryWindow,
		VMs:    func() int { return p.node.control.snapshot().members.Most },
		Now:    p.node.now,

		SlackFrom: p.node.startedAt.Add(bounds.RetryWindow),
	})
}

// budget bounds the repeats to each service.
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

// find returns the pool of a service of this region.
func (p *pools) find(service string) (*serving.Pool, bool) {
	pool, ok := p.table.Load().byService[service]
	if !ok {
		return nil, false
	}
	return &pool.Pool, true
}
