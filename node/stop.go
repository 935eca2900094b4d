package node

import (
	"context"
	"errors"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/ticket"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

const (
	// tellBeats is how many heartbeats are waited for after the VM said that
	// it leaves, so that its peers tell callers of others, and again after a
	// hand-over, so that they send its tickets to the successor.
	tellBeats = 2
	// idleEvery is how often a stopping VM looks whether its calls have ended.
	idleEvery = 20 * time.Millisecond
	// handOverWithin bounds one part of an offer.
	handOverWithin = 2 * time.Second
	// handOverOffers bounds the offers in all.
	handOverOffers = 12
)

// stop ends the process gracefully: it tells peers and callers to go
// elsewhere, lets the calls in flight end, and hands over its tickets.
func (n *Node) stop() {
	begunAt := n.now()
	ctx, cancel := clock.WithDeadline(context.Background(), begunAt, begunAt.Add(n.settings.StopWithin.Duration))
	defer cancel()
	n.changeState("stopping")
	n.stopping.Store(true)
	n.control.send(ctx, left{})
	n.sleepUntil(ctx, n.now().Add(tellBeats*n.heartbeatEvery(n.view().Peers)))
	n.desk.Stop()
	n.awaitIdle(ctx, n.desk.Idle)
	if n.handOver(ctx) {
		n.sleepUntil(ctx, n.now().Add(tellBeats*n.heartbeatEvery(n.view().Peers)))
	}
	n.serving.Stop()
	n.awaitIdle(ctx, func() bool { return n.serving.InFlight() == 0 })
	_ = n.caller.Shutdown(ctx)
	n.awaitIdle(ctx, func() bool { return n.serving.InFlight() == 0 })
	n.changeState("stopped")
}

func (n *Node) changeState(kind string) {
	n.ring.Add(timeline.Event{
		Kind: kind,
	})
	n.log.Info(kind, "vm", n.settings.VM, "in_flight", n.serving.InFlight())
}

func (n *Node) awaitIdle(ctx context.Context, idle func() bool) {
	for !idle() && ctx.Err() == nil {
		n.sleepUntil(ctx, n.now().Add(idleEvery))
	}
}

// handOver returns the rights on this incarnation's tickets up for good and
// offers them, with the records, to one successor of the region. It reports
// whether one accepted; calls with the tickets are then sent on to that one.
func (n *Node) handOver(ctx context.Context) bool {
	given := n.desk.GiveUp(n.now())
	candidates := n.successors()
	var plan ticket.HandOverPlan
	for range handOverOffers {
		offer, ok := plan.Next(candidates)
		if !ok || ctx.Err() != nil {
			break
		}
		plan = plan.After(offer, n.offerHandOver(ctx, given, offer))
	}
	n.ring.Add(timeline.Event{
		Kind:   "hand_over_ended",
		Peer:   plan.Bound.VM,
		Detail: acceptance(plan.Accepted),
	})
	n.log.Info("hand_over_ended", "successor", plan.Bound.VM, "accepted", plan.Accepted)
	if plan.Accepted {
		n.publishRights(ctx, plan.Bound.VM, given)
	}
	return plan.Accepted
}

// successors are the reachable VMs of the region that stay.
func (n *Node) successors() []ticket.Holder {
	var out []ticket.Holder
	for _, m := range n.view().Region {
		if m.VM.ID == n.settings.VM || !m.Reachable || m.Leaving || !m.Ready {
			continue
		}
		out = append(out, ticket.Holder{
			VM:          m.VM.ID,
			Incarnation: m.Incarnation,
		})
	}
	return out
}

func (n *Node) offerHandOver(ctx context.Context, given ticket.HandOver, o ticket.Offer) ticket.Outcome {
	vm, ok := findVM(n.view(), o.To.VM)
	if !ok {
		return ticket.OfferNotSent
	}
	h := given.Addressed(o.To)
	if !o.Rights {
		h = given.Copy().Addressed(o.To)
	}
	return n.sendHandOver(ctx, vm, h)
}

// sendHandOver sends the parts of one offer. The receiver adopts nothing before
// the last one, so that an offer that broke off earlier was certainly not taken.
func (n *Node) sendHandOver(ctx context.Context, vm fleet.VM, h ticket.HandOver) ticket.Outcome {
	parts := peer.HandOverParts(h, uint64(n.ring.Stamp()))
	last := len(parts) - 1
	for _, part := range parts[:last] {
		outcome := n.sendPart(ctx, vm, part)
		if outcome == ticket.OfferLost {
			return ticket.OfferNotSent
		}
		if outcome != ticket.OfferAccepted {
			return outcome
		}
	}
	return n.sendPart(ctx, vm, parts[last])
}

func (n *Node) sendPart(ctx context.Context, vm fleet.VM, in *peerpb.HandOverRequest) ticket.Outcome {
	ctx, cancel := context.WithTimeout(ctx, handOverWithin)
	defer cancel()
	in.Stamp = uint64(n.ring.Stamp())
	n.metrics.ControlMessage(metrics.MessageHandOver)
	reply, err := n.peers.HandOver(ctx, vm, in)
	switch {
	case errors.Is(err, peer.ErrDial):
		return ticket.OfferNotSent
	case err != nil:
		return ticket.OfferLost
	case reply.GetAccepted():
		return ticket.OfferAccepted
	default:
		return ticket.OfferRefused
	}
}
