package site

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

const (
	// unreachedFor is how long an engine that did not answer gets no calls, unless it
	// does not answer again: an entry in the store lapses after some 3.6 s.
	unreachableTTL = 2500 * time.Millisecond
	// unreachedTellTo is how many VMs of the region are told of it at once. They tell as
	// many others, and those that are not told hear within some half a second.
	unreachableFanout = 3
)

// tellUnreached tells the region that an engine does not answer. One that has fallen
// silent holds up each call by a second or more, and of 100 VMs each would have to
// find out by calls of its own.
func (p *pools) reportUnreachable(ctx context.Context, e fleet.Endpoint) {
	if ctx.Err() != nil {
		return
	}
	p.node.control.send(ctx, func(c *control, now time.Time) {
		until := now.Add(unreachableTTL)
		if c.discovery.Unreached(e.ID, until, now) {
			c.markUnreachable(e.ID, until, now)
			c.spread(context.WithoutCancel(ctx), unreachableFanout, now)
		}
	})
}

func (c *control) markUnreachable(id string, until, now time.Time) {
	c.endpointsChanged = true
	c.node.log.Info("endpoint_unreached", "endpoint", id, "left_ms", until.Sub(now).Milliseconds())
}

// takeUnreached takes what another VM says of endpoints that do not answer, and tells
// others of the region, once, if any of it is new.
func (c *control) applyUnreachable(ctx context.Context, list []*peerpb.UnreachedEndpoint, sentAt, now time.Time) {
	changed := false
	for _, m := range list {
		until := sentAt.Add(time.Duration(m.GetLeftMs()) * time.Millisecond)
		if c.discovery.Unreached(m.GetEndpoint(), until, now) {
			c.markUnreachable(m.GetEndpoint(), until, now)
			changed = true
		}
	}
	if changed {
		c.spread(ctx, unreachableFanout, now)
	}
}

// unreachedMessage lists those of some endpoints that do not answer.
func unreachableMessages(endpoints []discovery.Ready, now time.Time) []*peerpb.UnreachedEndpoint {
	var out []*peerpb.UnreachedEndpoint
	for _, e := range endpoints {
		if !e.UnreachedUntil.IsZero() {
			out = append(out, &peerpb.UnreachedEndpoint{
				Endpoint: e.ID,
				LeftMs:   uint32(e.UnreachedUntil.Sub(now).Milliseconds()),
			})
		}
	}
	return out
}
