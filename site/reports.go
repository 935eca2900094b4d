package site

import (
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/serving"
	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/survey"
)

const (
	// reportInterval is the interval at which one VM of the region polls the load of an
	// engine.
	reportInterval = survey.BusyPollInterval
	// reportTimeout bounds one load request; it covers one retransmission after 0.3 s.
	reportTimeout = 600 * time.Millisecond
	// healthTimeout bounds a health check, which waits for a slot like a call.
	healthTimeout = time.Second
	// reportMaxAge is the age up to which a report is sent to other VMs.
	reportMaxAge = 1200 * time.Millisecond
	// newerMargin is how much newer a report must be to replace the current one. Ages
	// exclude network latency, so an echoed report looks newer by some milliseconds.
	newerMargin = 50 * time.Millisecond
)

// loadReports holds the latest load of each engine, polled by this VM or received from
// others of the region, so that each engine is polled by one VM only.
type loadReports struct {
	mu     sync.Mutex
	latest map[string]loadReport
	// coldProbedAt is when this VM last probed each engine for being cold.
	coldProbedAt map[string]time.Time
	// lastBroadcast is the load of each engine that this VM broadcast last.
	lastBroadcast map[string]routing.Load
	// progress holds the runs of each engine that this VM polls.
	progress map[string]*survey.Progress
}

type loadReport struct {
	service string
	load    routing.Load
}

// reportDue reports whether the load of an engine has to be requested.
func (p *pools) reportDue(e fleet.Endpoint) bool {
	inFlight := false
	if pool := p.all()[e.Service]; pool != nil {
		inFlight = pool.Endpoints.InFlight(e.ID) > 0
	}
	p.reports.mu.Lock()
	defer p.reports.mu.Unlock()
	return survey.IsPollDue(p.reports.latest[e.ID].load, inFlight, p.node.now())
}

// callProbeDue reports whether an engine has to be probed for being cold because of the calls
// that it gets, and records the probe.
func (p *pools) callProbeDue(e fleet.Endpoint) bool {
	pool := p.all()[e.Service]
	if pool == nil {
		return false
	}
	now := p.node.now()
	perSecond := pool.Endpoints.CallsPerSecond(e.ID, now)
	p.reports.mu.Lock()
	defer p.reports.mu.Unlock()
	if !survey.IsCallProbeDue(perSecond, p.reports.coldProbedAt[e.ID], now) {
		return false
	}
	p.reports.coldProbedAt[e.ID] = now
	return true
}

// coldProbeDue reports whether an engine has to be probed for being cold while the store
// cannot be read, and records the probe. polled is the number of engines that this VM polls.
func (p *pools) coldProbeDue(e fleet.Endpoint, polled int) bool {
	inFlight := 0
	if pool := p.all()[e.Service]; pool != nil {
		inFlight = pool.Endpoints.InFlight(e.ID)
	}
	p.reports.mu.Lock()
	defer p.reports.mu.Unlock()
	now := p.node.now()
	if !survey.IsColdProbeDue(polled, p.reports.latest[e.ID].load, inFlight, p.reports.coldProbedAt[e.ID], now) {
		return false
	}
	p.reports.coldProbedAt[e.ID] = now
	return true
}

// forget drops what is known of an endpoint that is gone.
func (r *loadReports) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.latest, id)
	delete(r.coldProbedAt, id)
	delete(r.lastBroadcast, id)
	delete(r.progress, id)
}

// recordPolled stores a report that this VM requested, with the time per token since the last
// one.
func (p *pools) recordPolled(e fleet.Endpoint, l endpoint.Load) {
	load := serving.PoolLoad(l)
	service, configured := p.node.control.snapshot().service(e.Service)
	switch {
	case !p.node.settings.Enabled(settings.EnginePace):
		load.NextTokens = 0
	case configured:
		p.reports.mu.Lock()
		progress := p.reports.progress[e.ID]
		if progress == nil {
			progress = &survey.Progress{}
			p.reports.progress[e.ID] = progress
		}
		load.TokenTime = progress.Update(e.Incarnation, l.Runs, service.TokensPerEvent, l.At)
		p.reports.mu.Unlock()
	}
	p.recordReport(e.ID, loadReport{
		service: e.Service,
		load:    load,
	})
}

// recordReport stores a report if it is newer than the current one.
func (p *pools) recordReport(id string, r loadReport) {
	p.reports.mu.Lock()
	existing, ok := p.reports.latest[id]
	newer := !ok || r.load.At.Sub(existing.load.At) > newerMargin
	if newer {
		p.reports.latest[id] = r
	}
	p.reports.mu.Unlock()
	if pool := p.all()[r.service]; newer && pool != nil {
		pool.Endpoints.Report(id, r.load, p.node.now())
	}
}

// recentReports returns recent reports for gossip, or none if pollers broadcast them.
func (p *pools) recentReports(now time.Time) []*peerpb.EngineReport {
	if p.pollers().Broadcast() {
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

// changedReports returns the reports received since a time that differ enough from the
// last broadcast.
func (p *pools) changedReports(engines []fleet.Endpoint, since time.Time) []*peerpb.EngineReport {
	p.reports.mu.Lock()
	defer p.reports.mu.Unlock()
	now := p.node.now()
	var out []*peerpb.EngineReport
	for _, e := range engines {
		r, ok := p.reports.latest[e.ID]
		if ok && !r.load.At.Before(since) && survey.ShouldPublish(p.reports.lastBroadcast[e.ID], r.load) {
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
		TokenUs:     uint32(r.load.TokenTime.Microseconds()),
		NextTokens:  uint32(r.load.NextTokens),
	}
}

// applyReports records load reports of another VM of the region.
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
				TokenTime:   time.Duration(m.GetTokenUs()) * time.Microsecond,
				NextTokens:  int(m.GetNextTokens()),
			},
		})
	}
}
