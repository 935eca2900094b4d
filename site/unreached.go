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
	unreachedFor = 2500 * time.Millisecond
	// unreachedTellTo is how many VMs of the region are told of it at once. They tell as
	// many others, and those that are not told hear within some half a second.
	unreachedTellTo = 3
)

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

// unreachedMessage lists those of some endpoints that do not answer.
func unreachedMessage(held []discovery.Ready, now time.Time) []*peerpb.UnreachedEndpoint {
	var out []*peerpb.UnreachedEndpoint
	for _, e := range held {
		if !e.UnreachedUntil.IsZero() {
			out = append(out, &peerpb.UnreachedEndpoint{
				Endpoint: e.ID,
				LeftMs:   uint32(e.UnreachedUntil.Sub(now).Milliseconds()),
			})
		}
	}
	return out
}
