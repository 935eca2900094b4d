package site

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// coldTellTo is how many VMs of the region are told at once that an endpoint is
// cold; they tell as many others. Each request that still goes there counts
// against a bound of a few a second.
const coldTellTo = 8

// askCold asks an endpoint of a service that has cold ones whether it is cold.
// The store tells it too, but not while it is away.
func (p *pools) askCold(ctx context.Context, e fleet.Endpoint) {
	table := p.node.control.picture().table
	if table == nil {
		return
	}
	service, ok := table.Service(e.Service)
	if !ok || service.ColdFor <= 0 || service.HealthPath == "" {
		return
	}
	left, err := p.node.client.ColdFor(ctx, e, service.HealthPath)
	if err != nil {
		p.node.log.Debug("health_failed", "endpoint", e.ID, "reason", err.Error())
		return
	}
	if left > 0 {
		p.node.control.send(ctx, func(c *control, now time.Time) {
			c.cold(context.WithoutCancel(ctx), e.ID, now.Add(left), now)
		})
	}
}

// cold takes that an endpoint is cold, and tells others of the region if it is new.
func (c *control) cold(ctx context.Context, id string, until, now time.Time) {
	if !c.discovery.Cold(id, until, now) {
		return
	}
	c.changed = true
	c.node.log.Info("endpoint_cold", "endpoint", id, "left_ms", until.Sub(now).Milliseconds())
	for _, target := range c.roster.Spread(coldTellTo) {
		go c.node.exchange(ctx, target, c.message(target.VM.Region, target.Full, now))
	}
}

func (c *control) takeCold(ctx context.Context, list []*peerpb.ColdEndpoint, now time.Time) {
	for _, m := range list {
		c.cold(ctx, m.GetEndpoint(), now.Add(time.Duration(m.GetLeftMs())*time.Millisecond), now)
	}
}

// coldMessage gives the cold endpoints of the own region.
func (c *control) coldMessage(now time.Time) []*peerpb.ColdEndpoint {
	var out []*peerpb.ColdEndpoint
	for _, e := range c.discovery.Endpoints(now) {
		if e.Region == c.node.deployment.Region && !e.ColdUntil.IsZero() {
			out = append(out, &peerpb.ColdEndpoint{
				Endpoint: e.ID,
				LeftMs:   uint32(e.ColdUntil.Sub(now).Milliseconds()),
			})
		}
	}
	return out
}
