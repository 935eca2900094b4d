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
	reports reports
	table   atomic.Pointer[poolTable]
}

type poolTable struct {
	byService map[string]*pool
	// listed are the endpoints that take work; engines are those that report
	// their load, also those that do not answer.
	listed  []fleet.Endpoint
	engines []fleet.Endpoint
}

type pool struct {
	serving.Pool
	budget *retry.Window
}

func newPools(n *Node) *pools {
	p := &pools{
		node: n,
	}
	p.reports.held = make(map[string]heldReport)
	p.reports.told = make(map[string]routing.Load)
	p.table.Store(&poolTable{
		byService: make(map[string]*pool),
	})
	return p
}

// update takes the endpoints and members of a picture.
func (p *pools) update(pic *picture, now time.Time) {
	before := p.table.Load()
	after := &poolTable{
		byService: make(map[string]*pool),
	}
	warm := make(map[string][]fleet.Endpoint)
	silent := silentServices(pic.endpoints, p.node.deployment.Region)
	for _, e := range pic.endpoints {
		service, named := pic.service(e.Service)
		if e.Region != p.node.deployment.Region || !named {
			continue
		}
		if after.byService[e.Service] == nil {
			after.byService[e.Service] = p.poolOf(before, e.Service)
		}
		if !e.ColdUntil.IsZero() {
			continue
		}
		if service.IsEngine {
			after.engines = append(after.engines, e.Endpoint)
		}
		listed := e.Endpoint
		if e.UnreachedUntil.IsZero() || silent[e.Service] {
			after.listed = append(after.listed, listed)
		} else {
			// The pool keeps what it knows of it.
			listed.State = fleet.StateLeaving
		}
		warm[e.Service] = append(warm[e.Service], listed)
	}
	for service, old := range before.byService {
		if after.byService[service] == nil {
			after.byService[service] = old
		}
	}
	for service, pool := range after.byService {
		pool.Endpoints.SetEndpoints(warm[service], now)
	}
	p.table.Store(after)
	p.updateMembers(pic)
}

// silentServices returns the services of a region of which more than half of the
// endpoints do not answer: that says more of the VMs that ask than of the endpoints,
// and they go on being used.
func silentServices(endpoints []discovery.Ready, region string) map[string]bool {
	all, unreached := make(map[string]int), make(map[string]int)
	for _, e := range endpoints {
		if e.Region != region {
			continue
		}
		all[e.Service]++
		if !e.UnreachedUntil.IsZero() {
			unreached[e.Service]++
		}
	}
	out := make(map[string]bool)
	for service, count := range unreached {
		out[service] = 2*count > all[service]
	}
	return out
}

// updateMembers takes the members alone. While a fleet starts they change with each
// message, and its endpoints do not.
func (p *pools) updateMembers(pic *picture) {
	far := p.farEndpoints(pic)
	vms := p.countVMs(pic)
	for service, pool := range p.table.Load().byService {
		pool.Endpoints.SetFar(far[service])
		pool.Endpoints.SetVMs(vms)
	}
}

// farEndpoints are those of the other regions in reach, by service: engines
// fetch parts of prompts from them.
func (p *pools) farEndpoints(pic *picture) map[string][]fleet.Endpoint {
	out := make(map[string][]fleet.Endpoint)
	for _, e := range pic.endpoints {
		if e.Region != p.node.deployment.Region && len(pic.members.Reached(e.Region)) > 0 {
			out[e.Service] = append(out[e.Service], e.Endpoint)
		}
	}
	return out
}

// service returns a service that the configuration names: an entry in the store of one
// that it does not is no endpoint of ours.
func (pic *picture) service(name string) (route.Service, bool) {
	if pic.table == nil {
		return route.Service{}, false
	}
	return pic.table.Service(name)
}

// countVMs counts the VMs of this region, which choose among the same endpoints.
func (p *pools) countVMs(pic *picture) int {
	n := 0
	for i := range pic.members.Members {
		m := &pic.members.Members[i]
		if m.VM.Region == p.node.deployment.Region {
			n++
		}
	}
	return max(n, 1)
}

func (p *pools) poolOf(before *poolTable, service string) *pool {
	if old := before.byService[service]; old != nil {
		return old
	}
	endpoints := routing.New(routing.Options{
		Without: p.without(),
	})
	return &pool{
		Pool: serving.Pool{
			Endpoints: endpoints,
			Queue: admission.New(admission.Options{
				Policy: admission.PolicyEngine,
				Now:    p.node.now,
			}, endpoints),
		},
		budget: p.newWindow(),
	}
}

// without are the mechanisms of routing that the settings switch off.
func (p *pools) without() routing.Without {
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

func (p *pools) newWindow() *retry.Window {
	bounds := p.node.bounds.Load()
	return retry.NewWindow(retry.WindowOptions{
		Ratio:  bounds.RetryRatio,
		Slack:  bounds.RetrySlack,
		Length: bounds.RetryWindow,
		VMs:    func() int { return p.node.control.picture().members.Most },
		Now:    p.node.now,

		SlackFrom: p.node.startedAt.Add(bounds.RetryWindow),
	})
}

// budget bounds the repeats to each service.
func (p *pools) budget() serving.Budget {
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
