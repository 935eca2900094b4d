package site

import (
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/survey"
)

const (
	// reportEvery is the interval at which one VM of the region asks an engine
	// for its load, which it tells some 100 ms late. Twice as often gained nothing,
	// as VMs know what waits for their own calls: the mean worth of five days with
	// faults was 0.7204, with this 0.7218 (eight plays each), with 90 VMs 0.655 and 0.656.
	reportInterval = survey.BusyEvery
	// coldEvery is the same while the store is away, which else tells at once that an
	// endpoint is cold: one that bears five requests a second may get ten.
	storeLostReportInterval = 150 * time.Millisecond
	// reportWithin bounds one question: an engine answers it beside its work in some
	// milliseconds, and a lost packet is sent again after 0.3 s.
	reportTimeout = 600 * time.Millisecond
	// healthWithin bounds a health check, which waits for a slot like a call.
	healthTimeout = time.Second
	// reportGoodFor is how long a report is passed on to other VMs.
	reportMaxAge = 1200 * time.Millisecond
	// newerBy is by how much another VM's word must be newer to replace one that
	// is held: a word's age does not count the way between the two, so that one
	// which comes back to its teller looks newer by some milliseconds.
	newerMargin = 50 * time.Millisecond
)

// reports are the engines' latest loads, asked by this VM or heard from others
// of the region. So each engine is asked by one VM, however many there are.
type loadReports struct {
	mu     sync.Mutex
	latest map[string]loadReport
	// told is what the other VMs were told last, by this VM.
	lastBroadcast map[string]routing.Load
}

type loadReport struct {
	service string
	load    routing.Load
}

// isDue reports whether an engine is to be asked for its load.
func (p *pools) reportDue(e fleet.Endpoint) bool {
	inFlight := false
	if pool := p.table.Load().byService[e.Service]; pool != nil {
		inFlight = pool.Endpoints.InFlight(e.ID) > 0
	}
	p.reports.mu.Lock()
	defer p.reports.mu.Unlock()
	return survey.IsDue(p.reports.latest[e.ID].load, inFlight, p.node.now())
}

// takeReport keeps a report if it is newer than the one held.
func (p *pools) recordReport(id string, r loadReport) {
	p.reports.mu.Lock()
	existing, ok := p.reports.latest[id]
	newer := !ok || r.load.At.Sub(existing.load.At) > newerMargin
	if newer {
		p.reports.latest[id] = r
	}
	p.reports.mu.Unlock()
	if pool := p.table.Load().byService[r.service]; newer && pool != nil {
		pool.Endpoints.Report(id, r.load, p.node.now())
	}
}

// heldReports are the recent ones, for another VM of the region, where those that ask
// do not tell all others themselves.
func (p *pools) recentReports(now time.Time) []*peerpb.EngineReport {
	if p.broadcastsReports() {
		return nil
	}
	p.reports.mu.Lock()
	defer p.reports.mu.Unlock()
	var out []*peerpb.EngineReport
	for id, r := range p.reports.latest {
		if now.Sub(r.load.At) > reportMaxAge {
			delete(p.reports.latest, id)
			continue
		}
		out = append(out, r.message(id, now))
	}
	return out
}

// newsSince are the reports of some engines that were asked since a moment and of
// which others are to hear.
func (p *pools) changedReports(engines []fleet.Endpoint, since time.Time) []*peerpb.EngineReport {
	p.reports.mu.Lock()
	defer p.reports.mu.Unlock()
	now := p.node.now()
	var out []*peerpb.EngineReport
	for _, e := range engines {
		r, ok := p.reports.latest[e.ID]
		if ok && !r.load.At.Before(since) && survey.IsNews(p.reports.lastBroadcast[e.ID], r.load) {
			p.reports.lastBroadcast[e.ID] = r.load
			out = append(out, r.message(e.ID, now))
		}
	}
	return out
}

func (r loadReport) message(id string, now time.Time) *peerpb.EngineReport {
	return &peerpb.EngineReport{
		Endpoint:    id,
		Service:     r.service,
		AgeMs:       uint32(max(now.Sub(r.load.At).Milliseconds(), 0)),
		Running:     uint32(r.load.Running),
		Waiting:     uint32(r.load.Waiting),
		CacheUsed:   uint32(r.load.CacheUsed),
		CacheTokens: uint32(r.load.CacheTokens),
	}
}

// takeReports takes what another VM of the region has heard.
func (p *pools) applyReports(list []*peerpb.EngineReport, sentAt time.Time) {
	for _, m := range list {
		p.recordReport(m.GetEndpoint(), loadReport{
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
