package site

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// coldTellTo is how many VMs of the region are told at once that an endpoint is
// cold; they tell as many others. Each request that still goes there counts
// against a bound of a few a second.
const coldFanout = 8

// askCold asks an endpoint of a service that has cold ones whether it is cold.
// The store tells it too, but not while it is away.
func (p *pools) probeCold(ctx context.Context, e fleet.Endpoint) {
	table := p.node.control.snapshot().table
	if table == nil {
		return
	}
	service, ok := table.Service(e.Service)
	if !ok || service.ColdFor <= 0 || service.HealthPath == "" {
		return
	}
	if !p.node.mayProbe(ctx, e, throttle.WayHealth) {
		return
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	remaining, err := p.node.endpointClient.ColdFor(timeoutCtx, e, service.HealthPath)
	if err != nil {
		p.node.log.Debug("health_failed", "endpoint", e.ID, "reason", err.Error())
		return
	}
	if remaining > 0 {
		p.node.control.send(ctx, func(c *control, now time.Time) {
			until := now.Add(remaining)
			if c.discovery.Cold(e.ID, until, now) {
				c.markCold(e.ID, until, now)
				c.spread(context.WithoutCancel(ctx), coldFanout, now)
			}
		})
	}
}

func (c *control) markCold(id string, until, now time.Time) {
	c.endpointsChanged = true
	c.node.log.Info("endpoint_cold", "endpoint", id, "left_ms", until.Sub(now).Milliseconds())
}

// takeCold takes what another VM says of cold endpoints, and tells others of
// the region, once, if any of it is new.
func (c *control) applyCold(ctx context.Context, list []*peerpb.ColdEndpoint, sentAt, now time.Time) {
	changed := false
	for _, m := range list {
		until := sentAt.Add(time.Duration(m.GetLeftMs()) * time.Millisecond)
		if c.discovery.HeardCold(m.GetEndpoint(), m.GetNumber(), until, now) {
			c.markCold(m.GetEndpoint(), until, now)
			changed = true
		}
	}
	if changed {
		c.spread(ctx, coldFanout, now)
	}
}

// coldMessage lists those of some endpoints that are cold.
func coldEndpointMessages(endpoints []discovery.Ready, now time.Time) []*peerpb.ColdEndpoint {
	var out []*peerpb.ColdEndpoint
	for _, e := range endpoints {
		if !e.ColdUntil.IsZero() {
			out = append(out, &peerpb.ColdEndpoint{
				Endpoint: e.ID,
				LeftMs:   uint32(e.ColdUntil.Sub(now).Milliseconds()),
				Number:   e.ColdNumber,
			})
		}
	}
	return out
}
