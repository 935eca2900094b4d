package site

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const (
	// askPermitWithin bounds the question for one permit, within the region.
	permitTimeout = 100 * time.Millisecond
	// limitTellTo is how many VMs of the region are told at once of a new limit of an
	// endpoint. They tell as many others.
	endpointLimitFanout = 8
)

// takePermit asks for a permit to send one request to an endpoint. Without one it returns
// when the endpoint takes the next.
func (n *Node) acquirePermit(ctx context.Context, e fleet.Endpoint) (permit *throttle.Permit, opensAt time.Time) {
	v := n.throttle.Take(e, n.control.snapshot().throttleRegion(), n.now())
	if v.Keeper != nil {
		v = n.requestPermit(ctx, v)
	}
	return v.Permit, v.OpensAt
}

// askPermit has the VM decide that keeps an endpoint's rate.
func (n *Node) requestPermit(ctx context.Context, v throttle.Verdict) throttle.Verdict {
	timeoutCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	a, err := n.peers.Permit(timeoutCtx, *v.Keeper, v.Limit)
	if err != nil && ctx.Err() != nil {
		// The caller left, or others were asked for too long: that says nothing of this one.
		return throttle.Verdict{
			OpensAt: n.now(),
		}
	}
	if err != nil {
		n.log.Debug("permit_failed", "peer", v.Keeper.ID, "endpoint", v.Limit.Endpoint, "reason", err.Error())
		n.metrics.PermitAsked(permitUnanswered)
		return n.throttle.Unanswered(v, n.now())
	}
	n.metrics.PermitAsked(permitOutcome(a))
	return n.throttle.Decided(v, a, n.now())
}

// The outcomes of a question for a permit, as the metrics have them.
const (
	permitGranted    = "granted"
	permitRefused    = "refused"
	permitNotKept    = "not_kept"
	permitUnanswered = "unanswered"
)

func permitOutcome(a throttle.Answer) string {
	switch {
	case a.Granted:
		return permitGranted
	case !a.Kept:
		return permitNotKept
	default:
		return permitRefused
	}
}

// decidePermit answers another VM's question for a permit.
func (n *Node) handlePermitRequest(l throttle.Limit) throttle.Answer {
	return n.throttle.Ask(l, n.control.snapshot().throttleRegion(), n.now())
}

// usePermit is asked right before the first byte of a request goes to an endpoint.
func (n *Node) usePermit(e fleet.Endpoint, p *throttle.Permit, way throttle.Way) error {
	if refusal := n.throttle.Sending(e, p, n.now()); refusal != nil {
		return refusal
	}
	if n.throttle.IsLimited(e) {
		n.metrics.ThrottledSend(way)
	}
	return nil
}

// comeBackAt is when a caller may come back for whom all endpoints of a service are closed.
func (n *Node) retryAt(service string, endpointIDs []string, opensAt time.Time) time.Time {
	return n.throttle.ComeBackAt(service, endpointIDs, opensAt, n.control.snapshot().throttleRegion(), n.now())
}

// mayAsk reports whether an endpoint may be asked for its load or health now, by a request
// of its own.
func (n *Node) mayProbe(ctx context.Context, e fleet.Endpoint, way throttle.Way) bool {
	permit, _ := n.acquirePermit(ctx, e)
	return permit != nil && n.usePermit(e, permit, way) == nil
}

// answeredRate takes what an answer says of its endpoint's rate.
func (n *Node) observeRate(e fleet.Endpoint, r fleet.Rate, sentAt time.Time) {
	if r.Unreadable {
		n.log.Warn("endpoint_limit_unreadable", "endpoint", e.ID)
	}
	n.throttle.Answered(e, r, sentAt, n.now())
}

// limitChanged logs a new limit of an endpoint, opens the endpoint if it has no limit
// any more, and tells others of the region.
func (n *Node) endpointLimitChanged(l throttle.Limit) {
	if l.Active {
		n.log.Info("endpoint_limited", "endpoint", l.Endpoint, "incarnation", l.Incarnation, "per_second", l.PerSecond, "version", l.Version)
	} else {
		n.log.Info("endpoint_unlimited", "endpoint", l.Endpoint, "incarnation", l.Incarnation, "version", l.Version)
		n.pools.reopen(l.Endpoint)
	}
	n.spreadEndpointLimits()
}

// tellEndpointLimits tells others of the region what this VM has learnt. It may be called on the
// control goroutine, which nothing may make wait: what is not told at once goes with the
// next exchanges.
func (n *Node) spreadEndpointLimits() {
	if !n.endpointLimitsPending.CompareAndSwap(false, true) {
		return
	}
	queued := n.control.inbox.Offer(func(c *control, now time.Time) {
		n.endpointLimitsPending.Store(false)
		c.spread(context.Background(), endpointLimitFanout, now)
	})
	if !queued {
		n.endpointLimitsPending.Store(false)
	}
}

// endpointLimitsMessage lists limits of endpoints.
func endpointLimitMessages(limits []throttle.Limit) []*peerpb.EndpointLimit {
	out := make([]*peerpb.EndpointLimit, 0, len(limits))
	for _, l := range limits {
		out = append(out, peer.EndpointLimitMessage(l))
	}
	return out
}

// open lets calls go to an endpoint that was closed.
func (p *pools) reopen(endpointID string) {
	for _, pool := range p.table.Load().byService {
		pool.Endpoints.CloseUntil(endpointID, time.Time{})
	}
}

// nearRegion is what the throttle needs to know of the members.
func (snap *snapshot) throttleRegion() throttle.Region {
	return throttle.Region{
		Near:  snap.meteringFleet.Near,
		Known: snap.meteringFleet.Known,
	}
}

// takeEndpointLimits takes what another VM of the region says of endpoints' limits.
func (c *control) applyEndpointLimits(list []*peerpb.EndpointLimit, now time.Time) {
	for _, m := range list {
		c.node.throttle.Learn(peer.EndpointLimitFromMessage(m), now)
	}
}

// forgetEndpointLimits drops the limits of endpoints that are gone.
func (c *control) pruneEndpointLimits(endpoints []discovery.Ready, now time.Time) {
	published := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		published[e.ID] = true
	}
	c.node.throttle.Listed(func(id string) bool { return published[id] }, now)
}
