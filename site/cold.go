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
	if !p.node.mayAsk(ctx, e, throttle.WayHealth) {
		return
	}
	trip, cancel := context.WithTimeout(ctx, healthWithin)
	defer cancel()
	left, err := p.node.client.ColdFor(trip, e, service.HealthPath)
	if err != nil {
		p.node.log.Debug("health_failed", "endpoint", e.ID, "reason", err.Error())
		return
	}
	if left > 0 {
		p.node.control.send(ctx, func(c *control, now time.Time) {
			until := now.Add(left)
			if c.discovery.Cold(e.ID, until, now) {
				c.nowCold(e.ID, until, now)
				c.spread(context.WithoutCancel(ctx), coldTellTo, now)
			}
		})
	}
}

func (c *control) nowCold(id string, until, now time.Time) {
	c.changed = true
	c.node.log.Info("endpoint_cold", "endpoint", id, "left_ms", until.Sub(now).Milliseconds())
}

// takeCold takes what another VM says of cold endpoints, and tells others of
// the region, once, if any of it is new.
func (c *control) takeCold(ctx context.Context, list []*peerpb.ColdEndpoint, sentAt, now time.Time) {
	news := false
	for _, m := range list {
		until := sentAt.Add(time.Duration(m.GetLeftMs()) * time.Millisecond)
		if c.discovery.HeardCold(m.GetEndpoint(), m.GetNumber(), until, now) {
			c.nowCold(m.GetEndpoint(), until, now)
			news = true
		}
	}
	if news {
		c.spread(ctx, coldTellTo, now)
	}
}

// coldMessage lists those of some endpoints that are cold.
func coldMessage(held []discovery.Ready, now time.Time) []*peerpb.ColdEndpoint {
	var out []*peerpb.ColdEndpoint
	for _, e := range held {
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
