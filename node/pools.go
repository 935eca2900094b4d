package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/admission"
	"github.com/fuchsianotch/fuchsianotch/borrow"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/serving"
)

const (
	// loadReportTimeout bounds one request for a load report.
	loadReportTimeout = 2 * time.Second
	// maxLoadReportsPerSecond bounds polling, so that the interval grows with the number
	// of endpoints while the traffic does not.
	maxLoadReportsPerSecond = 10
)

// pools holds the endpoint pools of the region's targets. The control goroutine replaces
// the table; request goroutines read it.
type pools struct {
	node        *Node
	client      *endpoint.Client
	table       atomic.Pointer[poolTable]
	rateLimiter *borrow.RateLimiter
}

// poolTable is an immutable set of pools, built from one fleet list.
type poolTable struct {
	byTarget map[string]*targetPool
	// endpoints are this region's endpoints, live and leaving.
	endpoints []fleet.Endpoint
}

// targetPool is a target's pool with its state for borrowing.
type targetPool struct {
	serving.Pool
	target string
	demand *demand
	gate   *borrow.Gate
}

func newPools(n *Node, client *endpoint.Client) *pools {
	p := &pools{
		node:        n,
		client:      client,
		rateLimiter: borrow.NewRateLimiter(1),
	}
	p.table.Store(&poolTable{})
	return p
}

// setList creates pools for new targets and updates the endpoints of all pools.
func (p *pools) setList(list *fleet.List, now time.Time) {
	before := p.table.Load()
	after := &poolTable{
		byTarget: make(map[string]*targetPool),
	}
	endpoints := make(map[string][]fleet.Endpoint)
	for _, e := range list.Endpoints {
		if e.Region != p.node.settings.Region {
			continue
		}
		endpoints[e.Serves()] = append(endpoints[e.Serves()], e)
		after.endpoints = append(after.endpoints, e)
	}
	for target, pool := range before.byTarget {
		after.byTarget[target] = pool
	}
	vms := p.countLiveVMs(list)
	for target := range endpoints {
		if after.byTarget[target] == nil {
			after.byTarget[target] = p.newPool(target)
		}
	}
	for target, pool := range after.byTarget {
		pool.Endpoints.SetEndpoints(endpoints[target], now)
		pool.Endpoints.SetVMs(vms)
		pool.Queue.Reevaluate(now)
	}
	p.rateLimiter.SetBorrowers(len(list.VMs) - vms)
	p.table.Store(after)
}

func (p *pools) countLiveVMs(list *fleet.List) int {
	n := 0
	for _, vm := range list.VMs {
		if vm.Region == p.node.settings.Region && vm.State == fleet.StateLive {
			n++
		}
	}
	return max(n, 1)
}

func (p *pools) newPool(target string) *targetPool {
	s := p.node.settings
	endpoints := routing.New(routing.Options{
		Policy: s.Policies.Routing,
	})
	return &targetPool{
		Pool: serving.Pool{
			Endpoints: endpoints,
			Queue: admission.New(admission.Options{
				Policy:      s.Policies.Admission,
				Length:      s.Queue.Length,
				ReportShare: s.Queue.ReportShare,
				Now:         p.node.now,
			}, endpoints),
		},
		target: target,
		demand: newDemand(),
		gate:   &borrow.Gate{},
	}
}

// find returns the pool of a target in this region.
func (p *pools) find(target string) (*serving.Pool, bool) {
	pool, ok := p.table.Load().byTarget[target]
	if !ok {
		return nil, false
	}
	return &pool.Pool, true
}

// queuedCalls returns the number of calls in all queues.
func (p *pools) queuedCalls() int {
	n := 0
	for _, pool := range p.table.Load().byTarget {
		n += pool.queuedCalls()
	}
	return n
}

func (t *targetPool) queuedCalls() int {
	n := 0
	for _, waiting := range t.Queue.Waiting() {
		n += waiting
	}
	return n
}

// pollLoadReports requests load reports from the region's endpoints in turn.
func (p *pools) pollLoadReports(ctx context.Context) error {
	next := 0
	for ctx.Err() == nil {
		table := p.table.Load()
		p.sampleDemand(table)
		if len(table.endpoints) == 0 {
			p.node.sleepUntil(ctx, p.node.now().Add(p.node.settings.EndpointReportEvery.Duration))
			continue
		}
		go p.fetchLoadReport(ctx, table, table.endpoints[next%len(table.endpoints)])
		next++
		p.node.sleepUntil(ctx, p.node.now().Add(p.pollInterval(len(table.endpoints))))
	}
	return nil
}

// pollInterval spreads the polls of all endpoints over the configured interval.
func (p *pools) pollInterval(endpoints int) time.Duration {
	every := p.node.settings.EndpointReportEvery.Duration / time.Duration(endpoints)
	return max(every, time.Second/maxLoadReportsPerSecond)
}

func (p *pools) fetchLoadReport(ctx context.Context, table *poolTable, e fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	load, _, err := p.client.FetchLoad(ctx, e)
	if err != nil {
		return
	}
	now := p.node.now()
	pool := table.byTarget[e.Serves()]
	pool.Endpoints.Report(e.ID, serving.PoolLoad(load), now)
	pool.Queue.Reevaluate(now)
}

func (p *pools) sampleDemand(table *poolTable) {
	now := p.node.now()
	for _, pool := range table.byTarget {
		supply := pool.Endpoints.Capacity(now)
		pool.demand.addSample(supply.Slots-supply.Free, now)
	}
	p.node.metrics.SetQueue(p.queuedCalls())
}
