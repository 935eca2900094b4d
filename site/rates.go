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
	askPermitWithin = 100 * time.Millisecond
	// rateTellTo is how many VMs of the region are told at once of a new word on an
	// endpoint's rate. They tell as many others.
	rateTellTo = 8
)

// takePermit asks for a permit to send one request to an endpoint. Without one it returns
// when the endpoint takes the next.
func (n *Node) takePermit(ctx context.Context, e fleet.Endpoint) (permit *throttle.Permit, opensAt time.Time) {
	v := n.rates.Take(e, n.control.picture().nearRegion(), n.now())
	if v.Keeper != nil {
		v = n.askPermit(ctx, v)
	}
	return v.Permit, v.OpensAt
}

// askPermit has the VM decide that keeps an endpoint's rate.
func (n *Node) askPermit(ctx context.Context, v throttle.Verdict) throttle.Verdict {
	trip, cancel := context.WithTimeout(ctx, askPermitWithin)
	defer cancel()
	a, err := n.peers.Permit(trip, *v.Keeper, v.Word)
	if err != nil && ctx.Err() != nil {
		// The caller left, or others were asked for too long: that says nothing of this one.
		return throttle.Verdict{
			OpensAt: n.now(),
		}
	}
	if err != nil {
		n.log.Debug("permit_failed", "peer", v.Keeper.ID, "endpoint", v.Word.Endpoint, "reason", err.Error())
		n.metrics.PermitAsked(permitUnanswered)
		return n.rates.Unanswered(v, n.now())
	}
	n.metrics.PermitAsked(permitOutcome(a))
	return n.rates.Decided(v, a, n.now())
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
func (n *Node) decidePermit(w throttle.Word) throttle.Answer {
	return n.rates.Ask(w, n.control.picture().nearRegion(), n.now())
}

// usePermit is asked right before the first byte of a request goes to an endpoint.
func (n *Node) usePermit(e fleet.Endpoint, p *throttle.Permit, way throttle.Way) error {
	if refusal := n.rates.Sending(e, p, n.now()); refusal != nil {
		return refusal
	}
	if n.rates.IsLimited(e) {
		n.metrics.ThrottledSend(way)
	}
	return nil
}

// comeBackAt is when a caller may come back for whom all endpoints of a service are closed.
func (n *Node) comeBackAt(service string, endpointIDs []string, opensAt time.Time) time.Time {
	return n.rates.ComeBackAt(service, endpointIDs, opensAt, n.control.picture().nearRegion(), n.now())
}

// mayAsk reports whether an endpoint may be asked for its load or health now, by a request
// of its own.
func (n *Node) mayAsk(ctx context.Context, e fleet.Endpoint, way throttle.Way) bool {
	permit, _ := n.takePermit(ctx, e)
	return permit != nil && n.usePermit(e, permit, way) == nil
}

// answeredRate takes what an answer says of its endpoint's rate.
func (n *Node) answeredRate(e fleet.Endpoint, r fleet.Rate, sentAt time.Time) {
	if r.Unreadable {
		n.log.Warn("endpoint_limit_unreadable", "endpoint", e.ID)
	}
	n.rates.Answered(e, r, sentAt, n.now())
}

// rateChanged logs a new word on an endpoint's rate, opens the endpoint if it has no limit
// any more, and tells others of the region.
func (n *Node) rateChanged(w throttle.Word) {
	if w.Limited {
		n.log.Info("endpoint_limited", "endpoint", w.Endpoint, "incarnation", w.Incarnation, "per_second", w.PerSecond, "number", w.Number)
	} else {
		n.log.Info("endpoint_unlimited", "endpoint", w.Endpoint, "incarnation", w.Incarnation, "number", w.Number)
		n.pools.open(w.Endpoint)
	}
	n.tellRates()
}

// tellRates tells others of the region what this VM has learnt. It may be called on the
// control goroutine, which nothing may make wait: what is not told at once goes with the
// next exchanges.
func (n *Node) tellRates() {
	if !n.ratesDue.CompareAndSwap(false, true) {
		return
	}
	told := n.control.inbox.Offer(func(c *control, now time.Time) {
		n.ratesDue.Store(false)
		c.spread(context.Background(), rateTellTo, now)
	})
	if !told {
		n.ratesDue.Store(false)
	}
}

// ratesMessage lists words on endpoints' rates.
func ratesMessage(words []throttle.Word) []*peerpb.RateWord {
	out := make([]*peerpb.RateWord, 0, len(words))
	for _, w := range words {
		out = append(out, peer.RateWordMessage(w))
	}
	return out
}

// open lets calls go to an endpoint that was closed.
func (p *pools) open(endpointID string) {
	for _, pool := range p.table.Load().byService {
		pool.Endpoints.CloseUntil(endpointID, time.Time{})
	}
}

// nearRegion is what the throttle needs to know of the members.
func (pic *picture) nearRegion() throttle.Region {
	return throttle.Region{
		Near:  pic.fleet.Near,
		Known: pic.fleet.Known,
	}
}

// takeRates takes what another VM of the region says of endpoints' rates.
func (c *control) takeRates(list []*peerpb.RateWord, now time.Time) {
	for _, m := range list {
		c.node.rates.Learn(peer.RateWordFromMessage(m), now)
	}
}

// forgetRates drops the words on endpoints that are gone.
func (c *control) forgetRates(endpoints []discovery.Ready, now time.Time) {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = true
	}
	c.node.rates.Listed(func(id string) bool { return listed[id] }, now)
}
