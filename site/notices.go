package site

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// observeNotice applies what an endpoint says about itself in the response to a call.
func (n *Node) observeNotice(e fleet.Endpoint, notice endpoint.Notice, sentAt time.Time) {
	n.observeRate(e, notice.Rate, sentAt)
	n.observeState(e, notice)
}

// observeProbeNotice applies the notice in the response to a load or health request. It may
// name or lower a rate limit, but not lift one, as only responses to calls have to name it.
func (n *Node) observeProbeNotice(e fleet.Endpoint, notice endpoint.Notice) {
	if notice.Rate.Named {
		n.observeRate(e, notice.Rate, time.Time{})
	}
	n.observeState(e, notice)
}

// observeState applies the notice in any response, apart from rate limits.
func (n *Node) observeState(e fleet.Endpoint, notice endpoint.Notice) {
	if notice.Leaving && !n.control.snapshot().saysLeaving(e) {
		n.control.sendSoon(func(c *control, now time.Time) { c.observeLeaving(e, now) })
	}
	if !notice.RestUntil.IsZero() {
		n.observeRest(e, notice.RestUntil)
	}
}

// observeRest records that an endpoint wants no requests from this VM until the given time.
func (n *Node) observeRest(e fleet.Endpoint, until time.Time) {
	now := n.now()
	begins := n.throttle.RestsUntil(e, now).IsZero()
	if !n.throttle.ObserveRest(e, until, now) {
		return
	}
	n.metrics.CountEndpointNotice(metrics.NoticeRest)
	n.pools.pause(e, until)
	if begins {
		n.log.Info("endpoint_rests", "endpoint", e.ID, "incarnation", e.Incarnation, "left_ms", until.Sub(now).Milliseconds())
	}
}

// pause keeps the choice of endpoints from one that takes no requests from this VM.
func (p *pools) pause(e fleet.Endpoint, until time.Time) {
	if pool := p.all()[e.Service]; pool != nil {
		pool.Endpoints.PauseUntil(e.ID, until)
	}
}

// observeLeaving records that an endpoint said to this VM that it leaves.
func (c *control) observeLeaving(e fleet.Endpoint, now time.Time) {
	leaving := discovery.LeavingEndpoint{
		ID:          e.ID,
		Incarnation: e.Incarnation,
	}
	if !c.discovery.ReportLeaving(leaving, now) {
		return
	}
	c.node.metrics.CountEndpointNotice(metrics.NoticeLeaving)
	c.logLeaving(leaving)
	c.spread(context.Background(), leavingFanout, now)
}

// leavingFanout is the number of VMs of the region that are told at once of an endpoint that
// leaves; each passes it on to as many, and the others learn of it in exchanges.
const leavingFanout = 3

// applyLeaving merges leaving endpoints reported by a peer and spreads those that were not
// known yet.
func (c *control) applyLeaving(ctx context.Context, list []*peerpb.LeavingEndpoint, now time.Time) {
	changed := false
	for _, m := range list {
		e := discovery.LeavingEndpoint{
			ID:          m.GetEndpoint(),
			Incarnation: m.GetIncarnation(),
		}
		if c.discovery.ReportLeaving(e, now) {
			c.logLeaving(e)
			changed = true
		}
	}
	if changed {
		c.spread(ctx, leavingFanout, now)
	}
}

func leavingMessages(list []discovery.LeavingEndpoint) []*peerpb.LeavingEndpoint {
	out := make([]*peerpb.LeavingEndpoint, 0, len(list))
	for _, e := range list {
		out = append(out, &peerpb.LeavingEndpoint{
			Endpoint:    e.ID,
			Incarnation: e.Incarnation,
		})
	}
	return out
}

func (c *control) logLeaving(e discovery.LeavingEndpoint) {
	c.node.log.Info("endpoint_leaves", "endpoint", e.ID, "incarnation", e.Incarnation)
}

// saysLeaving reports whether an endpoint said itself that it leaves.
func (snap *snapshot) saysLeaving(e fleet.Endpoint) bool {
	incarnation, ok := snap.leaving[e.ID]
	return ok && incarnation >= e.Incarnation
}

// countSendAfterNotice counts a request to an endpoint that leaves or rests.
func (n *Node) countSendAfterNotice(e fleet.Endpoint, purpose throttle.RequestKind) {
	if n.control.snapshot().saysLeaving(e) {
		n.metrics.CountSendAfterNotice(metrics.NoticeLeaving, purpose)
	}
	if !n.throttle.RestsUntil(e, n.now()).IsZero() {
		n.metrics.CountSendAfterNotice(metrics.NoticeRest, purpose)
	}
}

// leavingByID returns the incarnations of the endpoints that said that they leave. It
// reuses the previous result if nothing changed.
func (c *control) leavingByID(before map[string]int64) map[string]int64 {
	list := c.discovery.Leaving()
	unchanged := len(list) == len(before)
	out := make(map[string]int64, len(list))
	for _, e := range list {
		out[e.ID] = e.Incarnation
		unchanged = unchanged && before[e.ID] == e.Incarnation
	}
	if unchanged {
		return before
	}
	return out
}
