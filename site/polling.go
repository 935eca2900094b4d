package site

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/relay"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const (
	// askersMost is how many VMs of a region ask its engines for their load. Up to so
	// many VMs each asks its part, and what it hears travels with the exchanges. Of
	// more, so many ask and tell all others at once: with exchanges alone the report of
	// the engine chosen was 2.8 s old in the middle of 218 choices among 100 VMs, and
	// 5.2 s in one of ten; told to all it was 0.5 s and 0.9 s old (402 choices of
	// another day with faults, calls that failed in both).
	maxPollers = 9
	// roundFor is how long a round of questions is waited for before its answers are
	// told: engines answer in some milliseconds.
	pollRoundTimeout = 150 * time.Millisecond
	// tellReportsWithin bounds one note with loads.
	reportNoteTimeout = 300 * time.Millisecond
	// questionsTogether is how many requests an engine is asked by: for its load, and for
	// its health.
	requestsPerPoll = 2
	// askersRank is what the VMs of a region are ranked for.
	pollerRankKey = "askers"
)

// run asks the engines that are this VM's to ask, until ctx ends.
func (p *pools) run(ctx context.Context) error {
	for next := 0; ctx.Err() == nil; next++ {
		if p.broadcastsReports() {
			p.pollRound(ctx)
			continue
		}
		p.pollNext(ctx, next)
	}
	return nil
}

// tellsAll reports whether the region has so many VMs that those that ask tell all others.
func (p *pools) broadcastsReports() bool {
	return len(p.reachableVMs()) > maxPollers
}

// askNext asks one engine, so that all are asked evenly over the interval.
func (p *pools) pollNext(ctx context.Context, number int) {
	engines := p.enginesToPoll()
	every := p.pollInterval()
	if count := len(engines); count > 0 {
		go p.pollEngine(ctx, engines[number%count])
		every /= time.Duration(count)
	}
	worker.SleepUntil(ctx, p.node.now(), p.node.now().Add(every))
}

// askRound asks all engines that are this VM's to ask at once, and tells the other VMs
// of the region what they said.
func (p *pools) pollRound(ctx context.Context) {
	startedAt := p.node.now()
	endsAt := startedAt.Add(p.pollInterval())
	if engines := p.enginesToPoll(); len(engines) > 0 {
		p.pollAll(ctx, engines)
		p.broadcastReports(ctx, p.changedReports(engines, startedAt))
	}
	worker.SleepUntil(ctx, p.node.now(), endsAt)
}

// askEvery is the interval in which each engine is asked.
func (p *pools) pollInterval() time.Duration {
	if p.node.control.snapshot().members.StoreAway() {
		return storeLostReportInterval
	}
	return reportInterval
}

// askTogether asks engines and waits for the answers, but not for slow ones.
func (p *pools) pollAll(ctx context.Context, engines []fleet.Endpoint) {
	var polls sync.WaitGroup
	for _, e := range engines {
		polls.Go(func() { p.pollEngine(ctx, e) })
	}
	done := make(chan struct{})
	go func() {
		polls.Wait()
		close(done)
	}()
	timer := time.NewTimer(pollRoundTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// tellReports sends loads to all other VMs of the region, by way of relays.
func (p *pools) broadcastReports(ctx context.Context, list []*peerpb.EngineReport) {
	if len(list) == 0 {
		return
	}
	salt := rand.Uint64() | 1
	for _, vm := range relay.Heads(p.node.deployment.VM, salt, p.reachableVMs()) {
		go p.sendReports(ctx, vm, list, salt)
	}
}

func (p *pools) sendReports(ctx context.Context, vm fleet.VM, list []*peerpb.EngineReport, salt uint64) {
	timeoutCtx, cancel := context.WithTimeout(ctx, reportNoteTimeout)
	defer cancel()
	err := p.node.peers.Reports(timeoutCtx, vm, &peerpb.ReportNote{
		From:      p.node.identity(),
		Reports:   list,
		RelaySalt: salt,
	})
	if err != nil {
		p.node.log.Debug("reports_failed", "peer", vm.ID, "reason", err.Error())
	}
}

// takeReportNote takes what another VM of the region has asked, and passes it on if
// this VM is to.
func (p *pools) handleReportNote(m *peerpb.ReportNote, sentAt time.Time) {
	if m.GetFrom().GetRegion() != p.node.deployment.Region {
		return
	}
	p.applyReports(m.GetReports(), sentAt)
	if m.GetRelaySalt() == 0 {
		return
	}
	delay := uint32(max(p.node.now().Sub(sentAt).Milliseconds(), 0))
	for _, r := range m.GetReports() {
		r.AgeMs += delay
	}
	for _, vm := range relay.Children(p.node.deployment.VM, m.GetFrom().GetVm(), m.GetRelaySalt(), p.reachableVMs()) {
		go p.sendReports(context.Background(), vm, m.GetReports(), 0)
	}
}

// ownEngines are those that this VM asks.
func (p *pools) enginesToPoll() []fleet.Endpoint {
	pollers := p.pollers()
	var out []fleet.Endpoint
	for _, e := range p.table.Load().engines {
		if owner := entry.Owner(e.ID, pollers); owner == "" || owner == p.node.deployment.VM {
			out = append(out, e)
		}
	}
	return out
}

// askers are the VMs of the region that ask engines, by rank.
func (p *pools) pollers() []string {
	vms := p.reachableVMs()
	if len(vms) > maxPollers {
		vms = entry.Rank(pollerRankKey, vms)[:maxPollers]
	}
	var ids []string
	for _, vm := range vms {
		ids = append(ids, vm.ID)
	}
	return ids
}

// regionVMs are the VMs of this region that are in reach. They must not be changed.
func (p *pools) reachableVMs() []fleet.VM {
	return p.node.control.snapshot().members.Reached(p.node.deployment.Region)
}

// askReport asks an engine for its load when that is due, and whether it is cold.
func (p *pools) pollEngine(ctx context.Context, e fleet.Endpoint) {
	due := p.reportDue(e)
	asksCold := due || p.node.control.snapshot().members.StoreAway()
	if !asksCold || !p.node.throttle.QuestionDue(e, requestsPerPoll, p.node.now()) {
		return
	}
	go p.probeCold(ctx, e)
	if !due || !p.node.settings.Has(settings.Reports) || !p.node.mayProbe(ctx, e, throttle.WayReport) {
		return
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	load, err := p.node.endpointClient.Report(timeoutCtx, e)
	if err != nil {
		p.node.log.Debug("report_failed", "endpoint", e.ID, "reason", err.Error())
		p.reportUnreachable(ctx, e)
		return
	}
	p.recordReport(e.ID, loadReport{
		service: e.Service,
		load:    routing.Load(load),
	})
}
