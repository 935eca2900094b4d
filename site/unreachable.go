package site

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

const (
	// unreachableTTL is how long an engine that did not answer gets no calls. It is shorter
	// than the lapse of a store entry, about 3.6 s, and renewed if the engine fails again.
	unreachableTTL = 2500 * time.Millisecond
	// unreachableFanout is the number of VMs of the region that are notified immediately;
	// each forwards the news to as many. Gossip reaches the rest within about half a second.
	unreachableFanout = 3
)

// reportUnreachable marks an engine that did not answer and notifies the region.
// Otherwise every VM has to detect the failure with calls of its own, each delayed by a
// second or more.
func (p *pools) reportUnreachable(ctx context.Context, e fleet.Endpoint) {
	if ctx.Err() != nil {
		return
	}
	p.node.control.send(ctx, func(c *control, now time.Time) {
		until := now.Add(unreachableTTL)
		if c.discovery.ReportUnreachable(e.ID, until, now) {
			c.markUnreachable(e.ID, until, now)
			c.spread(context.WithoutCancel(ctx), unreachableFanout, now)
		}
	})
}

func (c *control) markUnreachable(id string, until, now time.Time) {
	c.node.log.Info("endpoint_unreached", "endpoint", id, "left_ms", until.Sub(now).Milliseconds())
}

// applyUnreachable merges unreachable endpoints reported by a peer and spreads those
// that were not known yet.
func (c *control) applyUnreachable(ctx context.Context, list []*peerpb.UnreachedEndpoint, sentAt, now time.Time) {
	changed := false
	for _, m := range list {
		until := sentAt.Add(time.Duration(m.GetLeftMs()) * time.Millisecond)
		if c.discovery.ReportUnreachable(m.GetEndpoint(), until, now) {
			c.markUnreachable(m.GetEndpoint(), until, now)
			changed = true
		}
	}
	if changed {
		c.spread(ctx, unreachableFanout, now)
	}
}

func unreachableMessages(endpoints []discovery.AvailableEndpoint, now time.Time) []*peerpb.UnreachedEndpoint {
	var out []*peerpb.UnreachedEndpoint
	for _, e := range endpoints {
		if !e.UnreachableUntil.IsZero() {
			out = append(out, &peerpb.UnreachedEndpoint{
				Endpoint: e.ID,
				LeftMs:   uint32(e.UnreachableUntil.Sub(now).Milliseconds()),
			})
		}
	}
	return out
}
