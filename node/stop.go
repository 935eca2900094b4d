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
	// propagationHeartbeats is the number of heartbeat intervals to wait after announcing
	// a stop, so that peers redirect callers, and after a hand-over, so that they route
	// its tickets to the successor.
	propagationHeartbeats = 2
	// idlePollInterval is how often a stopping VM checks for calls in flight.
	idlePollInterval = 20 * time.Millisecond
	// handOverPartTimeout bounds the sending of one part of an offer.
	handOverPartTimeout = 2 * time.Second
	// maxHandOverOffers bounds the number of offers.
	maxHandOverOffers = 12
)

// stop drains this VM: it tells peers and callers to go elsewhere, waits for the calls
// in flight, and hands over its tickets.
func (n *Node) stop() {
	begunAt := n.now()
	ctx, cancel := clock.WithDeadline(context.Background(), begunAt, begunAt.Add(n.settings.StopTimeout.Duration))
	defer cancel()
	n.reportState("stopping")
	n.stopping.Store(true)
	n.control.send(ctx, leaveRequested{})
	n.sleepUntil(ctx, n.now().Add(propagationHeartbeats*n.heartbeatEvery(n.view().Peers)))
	n.ticketRegistry.Stop()
	n.awaitIdle(ctx, n.ticketRegistry.Idle)
	if n.handOver(ctx) {
		n.sleepUntil(ctx, n.now().Add(propagationHeartbeats*n.heartbeatEvery(n.view().Peers)))
	}
	n.serving.Stop()
	n.awaitIdle(ctx, func() bool { return n.serving.InFlight() == 0 })
	_ = n.caller.Shutdown(ctx)
	n.awaitIdle(ctx, func() bool { return n.serving.InFlight() == 0 && n.peerServer.InFlight() == 0 })
	n.reportState("stopped")
}

func (n *Node) reportState(kind string) {
	n.ring.Add(timeline.Event{
		Kind: kind,
	})
	n.log.Info(kind, "vm", n.settings.VM, "in_flight", n.serving.InFlight())
}

func (n *Node) awaitIdle(ctx context.Context, idle func() bool) {
	for !idle() && ctx.Err() == nil {
		n.sleepUntil(ctx, n.now().Add(idlePollInterval))
	}
}

// handOver gives up the rights on this incarnation's tickets and offers them, with the
// records, to a VM of the region. It reports whether one accepted; calls with these
// tickets are then forwarded to it.
func (n *Node) handOver(ctx context.Context) bool {
	released := n.ticketRegistry.Relinquish(n.now())
	candidates := n.successors()
	var plan ticket.HandOverPlan
	for range maxHandOverOffers {
		offer, ok := plan.Next(candidates)
		if !ok || ctx.Err() != nil {
			break
		}
		plan = plan.After(offer, n.offerHandOver(ctx, released, offer))
	}
	n.ring.Add(timeline.Event{
		Kind:   "hand_over_ended",
		Peer:   plan.Successor.VM,
		Detail: acceptanceDetail(plan.Accepted),
	})
	n.log.Info("hand_over_ended", "successor", plan.Successor.VM, "accepted", plan.Accepted)
	if plan.Accepted {
		n.publishRights(ctx, plan.Successor.VM, released)
	}
	return plan.Accepted
}

// successors returns the reachable, ready VMs of the region that are not leaving.
func (n *Node) successors() []ticket.IncarnationID {
	var out []ticket.IncarnationID
	for _, m := range n.view().Region {
		if m.VM.ID == n.settings.VM || !m.Reachable || m.Leaving || !m.Ready {
			continue
		}
		out = append(out, ticket.IncarnationID{
			VM:          m.VM.ID,
			Incarnation: m.Incarnation,
		})
	}
	return out
}

func (n *Node) offerHandOver(ctx context.Context, released ticket.HandOver, o ticket.Offer) ticket.OfferOutcome {
	vm, ok := findVM(n.view(), o.To.VM)
	if !ok {
		return ticket.OfferNotSent
	}
	h := released.WithReceiver(o.To)
	if !o.Rights {
		h = released.WithoutKeys().WithReceiver(o.To)
	}
	return n.sendHandOver(ctx, vm, h)
}

// sendHandOver sends the parts of one offer. The receiver adopts nothing before the last
// part, so an offer that fails earlier was not accepted.
func (n *Node) sendHandOver(ctx context.Context, vm fleet.VM, h ticket.HandOver) ticket.OfferOutcome {
	parts := peer.SplitHandOver(h, uint64(n.ring.Stamp()))
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

func (n *Node) sendPart(ctx context.Context, vm fleet.VM, in *peerpb.HandOverRequest) ticket.OfferOutcome {
	ctx, cancel := context.WithTimeout(ctx, handOverPartTimeout)
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
