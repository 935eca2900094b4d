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

// unreachedTellTo is the same for endpoints that do not answer, of which the VMs that
// are not told hear within some half a second.
const unreachedTellTo = 3

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

// tellUnreached tells the region that an engine does not answer. One that has fallen
// silent holds up each call by a second or more, and of 100 VMs each would have to
// find out by calls of its own.
func (p *pools) tellUnreached(ctx context.Context, e fleet.Endpoint) {
	if ctx.Err() != nil {
		return
	}
	p.node.control.send(ctx, func(c *control, now time.Time) {
		until := now.Add(unreachedFor)
		if c.discovery.Unreached(e.ID, until, now) {
			c.nowUnreached(e.ID, until, now)
			c.spread(context.WithoutCancel(ctx), unreachedTellTo, now)
		}
	})
}

func (c *control) nowUnreached(id string, until, now time.Time) {
	c.changed = true
	c.node.log.Info("endpoint_unreached", "endpoint", id, "left_ms", until.Sub(now).Milliseconds())
}

// takeUnreached takes what another VM says of endpoints that do not answer, and tells
// others of the region, once, if any of it is new.
func (c *control) takeUnreached(ctx context.Context, list []*peerpb.UnreachedEndpoint, sentAt, now time.Time) {
	news := false
	for _, m := range list {
		until := sentAt.Add(time.Duration(m.GetLeftMs()) * time.Millisecond)
		if c.discovery.Unreached(m.GetEndpoint(), until, now) {
			c.nowUnreached(m.GetEndpoint(), until, now)
			news = true
		}
	}
	if news {
		c.spread(ctx, unreachedTellTo, now)
	}
}

// unreachedMessage gives the endpoints of the own region that do not answer.
func (c *control) unreachedMessage(now time.Time) []*peerpb.UnreachedEndpoint {
	var out []*peerpb.UnreachedEndpoint
	for _, e := range c.discovery.Held(now) {
		if e.Region == c.node.deployment.Region && !e.UnreachedUntil.IsZero() {
			out = append(out, &peerpb.UnreachedEndpoint{
				Endpoint: e.ID,
				LeftMs:   uint32(e.UnreachedUntil.Sub(now).Milliseconds()),
			})
		}
	}
	return out
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

// coldMessage gives the cold endpoints of the own region.
func (c *control) coldMessage(now time.Time) []*peerpb.ColdEndpoint {
	var out []*peerpb.ColdEndpoint
	for _, e := range c.discovery.Held(now) {
		if e.Region == c.node.deployment.Region && !e.ColdUntil.IsZero() {
			out = append(out, &peerpb.ColdEndpoint{
				Endpoint: e.ID,
				LeftMs:   uint32(e.ColdUntil.Sub(now).Milliseconds()),
				Number:   e.ColdNumber,
			})
		}
	}
	return out
}
