package site

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

const (
	// reportEvery is the interval at which one VM of the region asks an engine
	// for its load, which it tells some 100 ms late. Twice as often gained nothing,
	// as VMs know what waits for their own calls: the mean worth of five days with
	// faults was 0.7204, with this 0.7218 (eight plays each), with 90 VMs 0.655 and 0.656.
	reportEvery = time.Second
	// coldEvery is the same while the store is away, which else tells at once that an
	// endpoint is cold: one that bears five requests a second may get ten.
	coldEvery = 150 * time.Millisecond
	// reportFresh is how old a report is at least when it is asked for again.
	reportFresh = reportEvery - coldEvery
	// reportWithin bounds one question: an engine answers it beside its work in some
	// milliseconds, and a lost packet is sent again after 0.3 s.
	reportWithin = 600 * time.Millisecond
	// healthWithin bounds a health check, which waits for a slot like a call.
	healthWithin = time.Second
	// unreachedFor is how long an engine that did not answer gets no calls, unless it
	// does not answer again: an entry in the store lapses after some 3.6 s.
	unreachedFor = 2500 * time.Millisecond
	// reportGoodFor is how long a report is passed on to other VMs.
	reportGoodFor = 1200 * time.Millisecond
	// newerBy is by how much another VM's word must be newer to replace one that
	// is held: a word's age does not count the way between the two, so that one
	// which comes back to its teller looks newer by some milliseconds.
	newerBy = 50 * time.Millisecond
)

// reports are the engines' latest loads, asked by this VM or heard from others
// of the region. So each engine is asked by one VM, however many there are.
type reports struct {
	mu   sync.Mutex
	held map[string]heldReport
}

type heldReport struct {
	service string
	load    routing.Load
}

// run asks the engines for which this VM ranks first, one after the other.
func (p *pools) run(ctx context.Context) error {
	for next := 0; ctx.Err() == nil; next++ {
		engines := p.ownEngines()
		every := reportEvery
		if p.node.control.picture().members.StoreAway() {
			every = coldEvery
		}
		if count := len(engines); count > 0 {
			go p.askReport(ctx, engines[next%count])
			every /= time.Duration(count)
		}
		worker.SleepUntil(ctx, p.node.now(), p.node.now().Add(every))
	}
	return nil
}

// ownEngines are those that this VM asks.
func (p *pools) ownEngines() []fleet.Endpoint {
	ids := p.regionVMIDs()
	var out []fleet.Endpoint
	for _, e := range p.table.Load().engines {
		if owner := entry.Owner(e.ID, ids); owner == "" || owner == p.node.deployment.VM {
			out = append(out, e)
		}
	}
	return out
}

func (p *pools) regionVMIDs() []string {
	var ids []string
	for _, vm := range p.regionVMs() {
		ids = append(ids, vm.ID)
	}
	return ids
}

func (p *pools) regionVMs() []fleet.VM {
	var vms []fleet.VM
	for _, m := range p.node.control.picture().members.Members {
		if m.VM.Region == p.node.deployment.Region && m.Reachable {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

func (p *pools) askReport(ctx context.Context, e fleet.Endpoint) {
	go p.askCold(ctx, e)
	if !p.node.settings.Has(settings.Reports) || p.hasReport(e.ID, p.node.now().Add(-reportFresh)) {
		return
	}
	trip, cancel := context.WithTimeout(ctx, reportWithin)
	defer cancel()
	load, err := p.node.client.Report(trip, e)
	if err != nil {
		p.node.log.Debug("report_failed", "endpoint", e.ID, "reason", err.Error())
		p.tellUnreached(ctx, e)
		return
	}
	p.takeReport(e.ID, heldReport{
		service: e.Service,
		load:    routing.Load(load),
	})
}

// hasReport says whether an engine's load as of a moment or later is known.
func (p *pools) hasReport(id string, since time.Time) bool {
	p.reports.mu.Lock()
	defer p.reports.mu.Unlock()
	held, ok := p.reports.held[id]
	return ok && held.load.At.After(since)
}

// takeReport keeps a report if it is newer than the one held.
func (p *pools) takeReport(id string, r heldReport) {
	p.reports.mu.Lock()
	old, ok := p.reports.held[id]
	fresh := !ok || r.load.At.Sub(old.load.At) > newerBy
	if fresh {
		p.reports.held[id] = r
	}
	p.reports.mu.Unlock()
	if pool := p.table.Load().byService[r.service]; fresh && pool != nil {
		pool.Endpoints.Report(id, r.load, p.node.now())
	}
}

// heldReports are the recent ones, for another VM of the region.
func (p *pools) heldReports(now time.Time) []*peerpb.EngineReport {
	p.reports.mu.Lock()
	defer p.reports.mu.Unlock()
	var out []*peerpb.EngineReport
	for id, r := range p.reports.held {
		age := now.Sub(r.load.At)
		if age > reportGoodFor {
			delete(p.reports.held, id)
			continue
		}
		out = append(out, &peerpb.EngineReport{
			Endpoint:    id,
			Service:     r.service,
			AgeMs:       uint32(max(age.Milliseconds(), 0)),
			Running:     uint32(r.load.Running),
			Waiting:     uint32(r.load.Waiting),
			CacheUsed:   uint32(r.load.CacheUsed),
			CacheTokens: uint32(r.load.CacheTokens),
		})
	}
	return out
}

// takeReports takes what another VM of the region has heard.
func (p *pools) takeReports(list []*peerpb.EngineReport, sentAt time.Time) {
	for _, m := range list {
		p.takeReport(m.GetEndpoint(), heldReport{
			service: m.GetService(),
			load: routing.Load{
				At:          sentAt.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
				Running:     int(m.GetRunning()),
				Waiting:     int(m.GetWaiting()),
				CacheUsed:   int(m.GetCacheUsed()),
				CacheTokens: int(m.GetCacheTokens()),
			},
		})
	}
}
