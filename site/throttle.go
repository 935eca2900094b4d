package site

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const (
	// permitTimeout bounds the request for one permit, within the region.
	permitTimeout = 100 * time.Millisecond
	// endpointLimitFanout is the number of VMs of the region that are notified immediately
	// of a new endpoint rate limit; each forwards it to as many.
	endpointLimitFanout = 8
)

// acquirePermit requests a permit to send one request to an endpoint. Without a permit
// it returns when the endpoint accepts the next request.
func (n *Node) acquirePermit(ctx context.Context, e fleet.Endpoint) (permit *throttle.Permit, opensAt time.Time) {
	v := n.throttle.Acquire(e, n.control.snapshot().throttleRegion(), n.now())
	if v.Coordinator != nil {
		v = n.requestPermit(ctx, v)
	}
	return v.Permit, v.RetryAt
}

// requestPermit asks the VM that keeps the rate limit of an endpoint.
func (n *Node) requestPermit(ctx context.Context, v throttle.Verdict) throttle.Verdict {
	timeoutCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	a, err := n.peers.Permit(timeoutCtx, *v.Coordinator, v.Limit)
	if err != nil && ctx.Err() != nil {
		// The caller left or the deadline has passed, which does not mean that the coordinator
		// failed.
		return throttle.Verdict{
			RetryAt: n.now(),
		}
	}
	if err != nil {
		n.log.Debug("permit_failed", "peer", v.Coordinator.ID, "endpoint", v.Limit.Endpoint, "reason", err.Error())
		n.metrics.CountPermitRequest(permitUnanswered)
		return n.throttle.HandleTimeout(v, n.now())
	}
	n.metrics.CountPermitRequest(permitOutcome(a))
	return n.throttle.HandleAnswer(v, a, n.now())
}

// Outcomes of permit requests, as labels of the metrics.
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
	case !a.IsCoordinator:
		return permitNotKept
	default:
		return permitRefused
	}
}

// handlePermitRequest answers a permit request of another VM.
func (n *Node) handlePermitRequest(l throttle.Limit) throttle.Answer {
	return n.throttle.HandleRequest(l, n.control.snapshot().throttleRegion(), n.now())
}

// usePermit is called immediately before the first byte of a request is sent.
func (n *Node) usePermit(e fleet.Endpoint, p *throttle.Permit, purpose throttle.RequestKind) error {
	if refusal := n.throttle.UsePermit(e, p, n.now()); refusal != nil {
		return refusal
	}
	if n.throttle.IsLimited(e) {
		n.metrics.CountRateLimitedSend(purpose)
	}
	n.countSendAfterNotice(e, purpose)
	return nil
}

// retryAt returns when a caller may retry if all endpoints of a service are closed.
func (n *Node) retryAt(service string, endpointIDs []string, opensAt time.Time) time.Time {
	return n.throttle.CallerRetryAt(service, endpointIDs, opensAt, n.control.snapshot().throttleRegion(), n.now())
}

// acquireProbePermit reports whether a load or health request may be sent to an endpoint
// now, and uses a permit for it.
func (n *Node) acquireProbePermit(ctx context.Context, e fleet.Endpoint, purpose throttle.RequestKind) bool {
	permit, _ := n.acquirePermit(ctx, e)
	return permit != nil && n.usePermit(e, permit, purpose) == nil
}

// observeRate applies the rate limit that an answer of an endpoint announces.
func (n *Node) observeRate(e fleet.Endpoint, r fleet.Rate, sentAt time.Time) {
	if r.Unreadable {
		n.log.Warn("endpoint_limit_unreadable", "endpoint", e.ID)
	}
	n.throttle.ObserveRate(e, r, sentAt, n.now())
}

// endpointLimitChanged logs a changed rate limit, reopens the endpoint if the limit was
// lifted, and notifies the region.
func (n *Node) endpointLimitChanged(l throttle.Limit) {
	if l.Active {
		n.log.Info("endpoint_limited", "endpoint", l.Endpoint, "incarnation", l.Incarnation, "per_second", l.PerSecond, "version", l.Version)
	} else {
		n.log.Info("endpoint_unlimited", "endpoint", l.Endpoint, "incarnation", l.Incarnation, "version", l.Version)
		n.pools.reopen(l.Endpoint)
	}
	n.spreadEndpointLimits()
}

// spreadEndpointLimits notifies the region of new endpoint rate limits. It never blocks,
// as it may be called on the control goroutine; if the inbox is full, the limits travel
// with the next exchange.
func (n *Node) spreadEndpointLimits() {
	if !n.endpointLimitsPending.CompareAndSwap(false, true) {
		return
	}
	queued := n.control.inbox.TrySend(func(c *control, now time.Time) {
		n.endpointLimitsPending.Store(false)
		c.spread(context.Background(), endpointLimitFanout, now)
	})
	if !queued {
		n.endpointLimitsPending.Store(false)
	}
}

func endpointLimitMessages(limits []throttle.Limit) []*peerpb.EndpointLimit {
	out := make([]*peerpb.EndpointLimit, 0, len(limits))
	for _, l := range limits {
		out = append(out, peer.EndpointLimitToProto(l))
	}
	return out
}

// reopen lets calls go to a closed endpoint again.
func (p *pools) reopen(endpointID string) {
	for _, pool := range p.all() {
		pool.Endpoints.PauseUntil(endpointID, time.Time{})
	}
}

// throttleRegion returns the members as the throttle needs them.
func (snap *snapshot) throttleRegion() throttle.RegionView {
	return throttle.RegionView{
		Reachable: snap.meteringFleet.Local,
		Known:     snap.meteringFleet.Known,
	}
}

// applyEndpointLimits merges endpoint rate limits reported by a VM of the region.
func (c *control) applyEndpointLimits(list []*peerpb.EndpointLimit, now time.Time) {
	for _, m := range list {
		c.node.throttle.Learn(peer.EndpointLimitFromProto(m), now)
	}
}
