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
	// reportWithin bounds one question for a load report.
	reportWithin = 2 * time.Second
	// reportsPerSecond bounds the questions of one VM, so that the interval
	// grows with the endpoints and the bytes do not.
	reportsPerSecond = 10
)

// pools are the pools of all targets that this region serves. The control
// goroutine sets the list; traffic reads an immutable table.
type pools struct {
	node   *Node
	client *endpoint.Client
	table  atomic.Pointer[poolTable]
	damper *borrow.Damper
}

// poolTable is the pools as of one list.
type poolTable struct {
	byTarget map[string]*targetPool
	// endpoints are those of this region, live and leaving.
	endpoints []fleet.Endpoint
}

// targetPool is one target's pool with what borrowing needs to know.
type targetPool struct {
	serving.Pool
	target string
	demand *demand
	gate   *borrow.Gate
}

func newPools(n *Node, client *endpoint.Client) *pools {
	p := &pools{
		node:   n,
		client: client,
		damper: borrow.NewDamper(1),
	}
	p.table.Store(&poolTable{})
	return p
}

// setList makes pools for new targets and tells the others of their endpoints.
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
	vms := p.countVMs(list)
	for target := range endpoints {
		if after.byTarget[target] == nil {
			after.byTarget[target] = p.newPool(target)
		}
	}
	for target, pool := range after.byTarget {
		pool.Endpoints.SetEndpoints(endpoints[target], now)
		pool.Endpoints.SetVMs(vms)
		pool.Queue.Poke(now)
	}
	p.damper.SetAsking(len(list.VMs) - vms)
	p.table.Store(after)
}

func (p *pools) countVMs(list *fleet.List) int {
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

// find returns the pool of a target of this region.
func (p *pools) find(target string) (*serving.Pool, bool) {
	pool, ok := p.table.Load().byTarget[target]
	if !ok {
		return nil, false
	}
	return &pool.Pool, true
}

// waiting is the number of calls that wait in all queues.
func (p *pools) waiting() int {
	n := 0
	for _, pool := range p.table.Load().byTarget {
		n += pool.waiting()
	}
	return n
}

func (t *targetPool) waiting() int {
	n := 0
	for _, waiting := range t.Queue.Waiting() {
		n += waiting
	}
	return n
}

// run asks the region's endpoints for load reports, one after the other.
func (p *pools) run(ctx context.Context) error {
	next := 0
	for ctx.Err() == nil {
		table := p.table.Load()
		p.sample(table)
		if len(table.endpoints) == 0 {
			p.node.sleepUntil(ctx, p.node.now().Add(p.node.settings.EndpointReportEvery.Duration))
			continue
		}
		go p.report(ctx, table, table.endpoints[next%len(table.endpoints)])
		next++
		p.node.sleepUntil(ctx, p.node.now().Add(p.pause(len(table.endpoints))))
	}
	return nil
}

// pause spreads the reports of all endpoints over the interval of the settings.
func (p *pools) pause(endpoints int) time.Duration {
	every := p.node.settings.EndpointReportEvery.Duration / time.Duration(endpoints)
	return max(every, time.Second/reportsPerSecond)
}

func (p *pools) report(ctx context.Context, table *poolTable, e fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, reportWithin)
	defer cancel()
	load, err := p.client.Report(ctx, e)
	if err != nil {
		return
	}
	now := p.node.now()
	pool := table.byTarget[e.Serves()]
	pool.Endpoints.Report(e.ID, routing.Load(load), now)
	pool.Queue.Poke(now)
}

func (p *pools) sample(table *poolTable) {
	now := p.node.now()
	for _, pool := range table.byTarget {
		supply := pool.Endpoints.Supply(now)
		pool.demand.add(supply.Slots-supply.Free, now)
	}
	p.node.metrics.SetQueue(p.waiting())
}
