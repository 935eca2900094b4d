package site

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/survey"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// coldFanout is the number of VMs of the region that are notified immediately of a cold
// endpoint; each forwards the news to as many. A cold endpoint accepts only a few
// requests per second, so stale VMs overload it.
const coldFanout = 8

// probeCold queries the health path of an endpoint to learn whether it is cold. The
// store publishes this as well, except during a store outage. The error says that the
// endpoint did not answer.
func (p *pools) probeCold(ctx context.Context, e fleet.Endpoint) error {
	table := p.node.control.snapshot().table
	if table == nil {
		return nil
	}
	service, ok := table.Service(e.Service)
	if !ok || service.ColdFor <= 0 || service.HealthPath == "" {
		return nil
	}
	if !p.node.acquireProbePermit(ctx, e, throttle.KindHealth) {
		return nil
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	remaining, notice, err := p.node.endpointClient.FetchColdStart(timeoutCtx, e, service.HealthPath)
	p.node.observeProbeNotice(e, notice)
	if err != nil {
		p.node.log.Debug("health_failed", "endpoint", e.ID, "reason", err.Error())
		return err
	}
	if remaining > 0 {
		p.reportCold(context.WithoutCancel(ctx), e, remaining)
	}
	return nil
}

// reportCold records that an endpoint is cold. A new report is spread, and its neighbours are
// probed; after a known one, cold neighbours would lead to each other without end.
func (p *pools) reportCold(ctx context.Context, e fleet.Endpoint, remaining time.Duration) {
	neighbours := p.neighbours(e)
	p.node.control.send(ctx, func(c *control, now time.Time) {
		until := now.Add(remaining)
		if !c.discovery.ReportCold(e.ID, until, now, p.storeUnreadable()) {
			return
		}
		c.markCold(e.ID, until, now)
		c.spread(ctx, coldFanout, now)
		for _, e := range neighbours {
			go func() { _ = p.probeCold(ctx, e) }()
		}
	})
}

// neighbours returns engines that may have become cold with one that counted as warm.
func (p *pools) neighbours(cold fleet.Endpoint) []fleet.Endpoint {
	countedAsWarm := false
	warm := p.index.localEndpoints(func(e discovery.AvailableEndpoint) bool {
		if !e.ColdUntil.IsZero() {
			return false
		}
		countedAsWarm = countedAsWarm || e.ID == cold.ID
		return e.ID != cold.ID && e.Service == cold.Service && e.DataCentre == cold.DataCentre
	})
	if !countedAsWarm {
		return nil
	}
	return survey.Neighbours(warm, rand.IntN)
}

const (
	// warmingPeriod is the end of an engine's cold period in which it is probed again, and
	// warmingProbeInterval how often. An engine that has restarted stays cold for longer than
	// its entry says, and the store may not tell.
	warmingPeriod        = 700 * time.Millisecond
	warmingProbeInterval = 300 * time.Millisecond
	// coldCheckInterval is the interval at which to look for cold engines while there are
	// none.
	coldCheckInterval = time.Second
)

// probeWarming probes the engines that warmingEngines returns. One that does not answer counts as
// unreachable, as it may be restarting.
func (p *pools) probeWarming(ctx context.Context) error {
	for ctx.Err() == nil {
		now := p.node.now()
		for _, e := range p.warmingEngines(now) {
			go func() {
				if err := p.probeCold(ctx, e); err != nil {
					p.reportUnreachable(ctx, e)
				}
			}()
		}
		interval := coldCheckInterval
		if p.index.anyCold() {
			interval = warmingProbeInterval
		}
		worker.SleepUntil(ctx, now, now.Add(interval))
	}
	return nil
}

// warmingEngines returns the assigned engines that count as warm within warmingPeriod, and while
// the store cannot be read those that are cold by their entries only. Another VM may know that
// such an engine is warm, and depends on this one to learn that it becomes cold again.
func (p *pools) warmingEngines(now time.Time) []fleet.Endpoint {
	if !p.index.anyCold() {
		return nil
	}
	unpublished := p.storeUnreadable()
	return p.assignedEngines(func(e discovery.AvailableEndpoint) bool {
		isWarming := e.ColdUntil.Sub(now) <= warmingPeriod || unpublished && e.IsColdByEntry
		return !e.ColdUntil.IsZero() && isWarming
	})
}

func (c *control) markCold(id string, until, now time.Time) {
	c.node.log.Info("endpoint_cold", "endpoint", id, "left_ms", until.Sub(now).Milliseconds())
}

// applyCold merges cold endpoints reported by a peer and spreads those that were not
// known yet.
func (c *control) applyCold(ctx context.Context, list []*peerpb.ColdEndpoint, sentAt, now time.Time) {
	changed := false
	for _, m := range list {
		until := sentAt.Add(time.Duration(m.GetLeftMs()) * time.Millisecond)
		if c.discovery.ReportColdFromPeer(m.GetEndpoint(), m.GetNumber(), until, now) {
			c.markCold(m.GetEndpoint(), until, now)
			changed = true
		}
	}
	if changed {
		c.spread(ctx, coldFanout, now)
	}
}

func coldEndpointMessages(endpoints []discovery.AvailableEndpoint, now time.Time) []*peerpb.ColdEndpoint {
	var out []*peerpb.ColdEndpoint
	for _, e := range endpoints {
		if !e.ColdUntil.IsZero() {
			out = append(out, &peerpb.ColdEndpoint{
				Endpoint: e.ID,
				LeftMs:   uint32(e.ColdUntil.Sub(now).Milliseconds()),
				Number:   e.ColdReportNumber,
			})
		}
	}
	return out
}
