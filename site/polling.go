package site

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/relay"
	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/survey"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const (
	// pollRoundTimeout bounds the wait for the answers of one round before they are
	// broadcast. Engines answer within milliseconds.
	pollRoundTimeout = 150 * time.Millisecond
	// reportNoteTimeout bounds one note with load reports.
	reportNoteTimeout = 300 * time.Millisecond
	// requestsPerPoll is the number of requests to an engine per poll: load and health.
	requestsPerPoll = 2
)

// run polls the engines assigned to this VM until ctx ends.
func (p *pools) run(ctx context.Context) error {
	for next := 0; ctx.Err() == nil; next++ {
		p.advancePaced(p.node.now())
		if plan := p.pollers(); plan.Broadcast() {
			p.pollRound(ctx, plan)
		} else {
			p.pollNext(ctx, next)
		}
	}
	return nil
}

// pollNext polls one engine, so that polls are spread evenly over the interval.
func (p *pools) pollNext(ctx context.Context, index int) {
	engines := p.enginesToPoll()
	interval := p.pollInterval()
	if count := len(engines); count > 0 {
		go p.pollEngine(ctx, engines[index%count], count)
		interval /= time.Duration(count)
	}
	worker.SleepUntil(ctx, p.node.now(), p.node.now().Add(interval))
}

// pollRound polls all engines assigned to this VM at once and publishes what changed.
func (p *pools) pollRound(ctx context.Context, plan *survey.Pollers) {
	startedAt := p.node.now()
	interval := p.pollInterval()
	engines := p.enginesToPoll()
	if len(engines) > 0 {
		p.pollAll(ctx, engines)
	}
	if plan.IsCollector(p.node.deployment.VM) {
		// Reports of other pollers date from before this round.
		p.broadcastReports(ctx, p.changedReports(p.collectedEngines(plan), startedAt.Add(-reportMaxAge)))
	}
	p.sendToCollectors(ctx, plan, engines, startedAt)
	worker.SleepUntil(ctx, p.node.now(), startedAt.Add(interval))
}

// collectedEngines returns the engines whose reports this VM broadcasts.
func (p *pools) collectedEngines(plan *survey.Pollers) []fleet.Endpoint {
	return p.index.localEndpoints(func(e discovery.AvailableEndpoint) bool {
		return e.ColdUntil.IsZero() && plan.Collector(e.ID).ID == p.node.deployment.VM
	})
}

// sendToCollectors sends the changed reports of engines to the VMs that broadcast them.
func (p *pools) sendToCollectors(ctx context.Context, plan *survey.Pollers, engines []fleet.Endpoint, since time.Time) {
	byCollector := make(map[string][]fleet.Endpoint)
	collectors := make(map[string]fleet.VM)
	for _, e := range engines {
		if collector := plan.Collector(e.ID); collector.ID != p.node.deployment.VM {
			collectors[collector.ID] = collector
			byCollector[collector.ID] = append(byCollector[collector.ID], e)
		}
	}
	for id, list := range byCollector {
		if changed := p.changedReports(list, since); len(changed) > 0 {
			go p.sendReports(ctx, collectors[id], changed, 0)
		}
	}
}

// pollInterval returns the interval at which each engine is polled.
func (p *pools) pollInterval() time.Duration {
	if p.storeUnreadable() {
		return survey.ColdProbeRound
	}
	now, interval := p.node.now(), reportInterval
	for _, e := range p.enginesToPoll() {
		if pool := p.all()[e.Service]; pool != nil {
			interval = min(interval, survey.CallProbeInterval(pool.Endpoints.CallsPerSecond(e.ID, now)))
		}
	}
	return interval
}

// storeUnreadable reports whether VMs of the region fail to read the store.
func (p *pools) storeUnreadable() bool {
	return p.node.control.snapshot().members.StoreUnreadable()
}

// pollAll polls engines and waits for their answers, at most for pollRoundTimeout.
func (p *pools) pollAll(ctx context.Context, engines []fleet.Endpoint) {
	var polls sync.WaitGroup
	for _, e := range engines {
		polls.Go(func() { p.pollEngine(ctx, e, len(engines)) })
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

// broadcastReports sends load reports to all other VMs of the region through relays.
func (p *pools) broadcastReports(ctx context.Context, list []*peerpb.EngineReport) {
	if len(list) == 0 {
		return
	}
	salt := rand.Uint64() | 1
	for _, vm := range relay.Relays(p.node.deployment.VM, salt, p.reachableVMs()) {
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

// handleReportNote applies load reports of another VM and relays them if required.
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

// enginesToPoll returns the warm engines assigned to this VM.
func (p *pools) enginesToPoll() []fleet.Endpoint {
	return p.assignedEngines(func(e discovery.AvailableEndpoint) bool { return e.ColdUntil.IsZero() })
}

// assignedEngines returns the engines that this VM polls and include selects.
func (p *pools) assignedEngines(include func(discovery.AvailableEndpoint) bool) []fleet.Endpoint {
	plan := p.pollers()
	if !plan.Polls(p.node.deployment.VM) {
		return nil
	}
	snap := p.node.control.snapshot()
	return p.index.localEndpoints(func(e discovery.AvailableEndpoint) bool {
		service, configured := snap.service(e.Service)
		return configured && service.IsEngine && include(e) && plan.Poller(e.ID) == p.node.deployment.VM
	})
}

// pollers returns the current assignment of engines to pollers.
func (p *pools) pollers() *survey.Pollers {
	snap := p.node.control.snapshot()
	engines := 0
	for name, counts := range p.index.serviceCounts() {
		if service, configured := snap.service(name); configured && service.IsEngine {
			engines += counts.warm + counts.cold
		}
	}
	cached := p.pollPlan.Load()
	if cached == nil || cached.generation != snap.members.Generation || cached.engines != engines {
		cached = &pollPlan{
			Pollers:    survey.NewPollers(p.reachableVMs(), engines),
			generation: snap.members.Generation,
			engines:    engines,
		}
		p.pollPlan.Store(cached)
	}
	return cached.Pollers
}

// pollPlan is an assignment of engines to pollers and what it was made from.
type pollPlan struct {
	*survey.Pollers
	generation uint64
	engines    int
}

// reachableVMs returns the reachable VMs of the region. The caller must not modify them.
func (p *pools) reachableVMs() []fleet.VM {
	return p.node.control.snapshot().members.ReachableVMs(p.node.deployment.Region)
}

// pollEngine requests the load of an engine if that is due, and probes whether it is
// cold. polled is the number of engines that this VM polls.
func (p *pools) pollEngine(ctx context.Context, e fleet.Endpoint, polled int) {
	due := p.reportDue(e)
	asksCold := due || p.callProbeDue(e) || p.storeUnreadable() && p.coldProbeDue(e, polled)
	if !asksCold || !p.node.throttle.ProbeDue(e, requestsPerPoll, p.node.now()) {
		return
	}
	// One after the other, so that both use the same connection.
	if due && p.node.settings.Enabled(settings.Reports) && !p.fetchLoad(ctx, e) {
		return
	}
	_ = p.probeCold(ctx, e)
}

// fetchLoad requests the load of an engine. It returns false if the engine did not answer.
func (p *pools) fetchLoad(ctx context.Context, e fleet.Endpoint) bool {
	if !p.node.acquireProbePermit(ctx, e, throttle.KindReport) {
		return true
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	load, notice, err := p.node.endpointClient.FetchLoad(timeoutCtx, e)
	// The report tells which incarnation speaks.
	reporting := e
	reporting.Incarnation = max(e.Incarnation, load.Incarnation)
	notice.Leaving = notice.Leaving || load.Leaving
	p.node.observeProbeNotice(reporting, notice)
	if err != nil {
		p.node.log.Debug("report_failed", "endpoint", e.ID, "reason", err.Error())
		p.reportUnreachable(ctx, e)
		return false
	}
	p.recordPolled(reporting, load)
	return true
}
