package node

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/serving"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// handlers returns the handlers of peers' requests.
func (n *Node) handlers() peer.Handlers {
	return peer.Handlers{
		Heartbeat:  n.handleHeartbeat,
		Documents:  n.handleDocuments,
		Lease:      n.handleLease,
		HandOver:   n.handleHandOver,
		Events:     n.handleEvents,
		Crashes:    n.crashAgent.Receive,
		Forward:    n.handleForward,
		Stamp:      func() uint64 { return uint64(n.ring.Stamp()) },
		Witness:    n.witness,
		CountBytes: n.countBytes,
		TLS:        n.tls,
	}
}

func (n *Node) witness(stamp uint64) {
	n.ring.Observe(timeline.Stamp(stamp))
}

func (n *Node) handleHeartbeat(ctx context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return ask(ctx, n.control, func(reply chan<- *peerpb.HeartbeatReply) message {
		return heartbeatReceived{
			beat:      peer.HeartbeatFromProto(in.GetBeat()),
			heldLease: in.GetHeldLoan(),
			reply:     reply,
		}
	})
}

// identity returns the sender field of messages.
func (n *Node) identity() *peerpb.Identity {
	return &peerpb.Identity{
		Vm:          n.settings.VM,
		Incarnation: n.incarnation,
		Region:      n.settings.Region,
	}
}

// forwardGrace extends the deadline of a forwarded call, so that the remote VM's outcome
// arrives before the local timeout.
const forwardGrace = 250 * time.Millisecond

// forward runs a call on another VM, and reports a lost VM to the control goroutine.
func (n *Node) forward(ctx context.Context, vm fleet.VM, c *call.Call, sink call.Sink) call.Outcome {
	forwardCtx, cancel := clock.WithDeadline(ctx, n.now(), c.Deadline.Add(forwardGrace))
	defer cancel()
	out := n.peers.Forward(forwardCtx, vm, &peerpb.ForwardRequest{
		From:  n.identity(),
		Stamp: uint64(n.ring.Stamp()),
		Call:  peer.CallToProto(c, n.now()),
	}, sink, n.witness)
	if isPeerLost(ctx, out.Code) {
		n.control.send(ctx, heartbeatMissed{
			vm: vm.ID,
		})
	}
	if c.ChargedRegion != "" {
		n.pools.recordBorrowOutcome(vm, c, out)
	}
	return out
}

// isPeerLost reports whether a code means that the remote VM was lost. A call whose ctx
// was ended by the caller says nothing about the VM.
func isPeerLost(ctx context.Context, code result.Code) bool {
	if ctx.Err() != nil {
		return false
	}
	return code == result.PeerUnreachable || code == result.PeerLost
}

// handleForward runs a call that another VM forwarded. It is not forwarded again,
// because Place never returns PlaceForward for a forwarded call.
func (n *Node) handleForward(ctx context.Context, _ *peerpb.Identity, c *call.Call, sink call.Sink) call.Outcome {
	found, ok := n.snapshot().Contract(c.Workspace)
	if !ok || !n.caughtUp() {
		return call.Refused(result.Refuse(result.NotReady, "VM %s does not know the workspace", n.settings.VM))
	}
	ctx, cancel := clock.WithDeadline(ctx, n.now(), c.Deadline)
	defer cancel()
	place := serving.Place(serving.PlaceRequest{
		Contract:  found,
		Ticket:    c.Ticket,
		Forwarded: true,
		Borrowed:  c.ChargedRegion != "",
	}, n.view())
	return n.serving.Serve(ctx, c, place, sink)
}

// requestLease asks a workspace's owner for a lease on part of its limits.
func (n *Node) requestLease(ctx context.Context, owner fleet.VM, workspace string, want, unused limit.Amounts) (serving.Lease, *result.Refusal) {
	sentAt := n.now()
	n.metrics.ControlMessage(metrics.MessageLease)
	reply, err := n.peers.Lease(ctx, owner, &peerpb.LeaseRequest{
		From:      n.identity(),
		Stamp:     uint64(n.ring.Stamp()),
		Workspace: workspace,
		Want:      amountsToProto(want),
		Unused:    amountsToProto(unused),
	})
	if err != nil {
		return serving.Lease{}, result.Refuse(result.LimitNoShare, "the owner %s of the workspace did not answer", owner.ID).WithCause(err)
	}
	n.witness(reply.GetStamp())
	if code := result.Code(reply.GetCode()); code != result.Done {
		return serving.Lease{}, result.Refuse(code, "the owner %s granted nothing", owner.ID)
	}
	return serving.Lease{
		Granted: amountsFromProto(reply.GetGranted()),
		Until:   sentAt.Add(limit.LeaseTerm),
	}, nil
}

// handleLease grants a lease on the limits of a workspace that this VM owns.
func (n *Node) handleLease(_ context.Context, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	n.witness(in.GetStamp())
	now := n.now()
	reply := &peerpb.LeaseReply{
		Stamp: uint64(n.ring.Stamp()),
		Code:  uint32(result.Done),
	}
	terms, ok := n.regionTerms(in.GetWorkspace())
	if !ok {
		reply.Code = uint32(result.LimitNoShare)
		return reply, nil
	}
	r := serving.LimitRequest(in.GetWorkspace(), terms, n.view(), now)
	r.Borrower = in.GetFrom().GetVm()
	granted, refusal := n.ledger.Grant(r, amountsFromProto(in.GetWant()), amountsFromProto(in.GetUnused()), now)
	fillLease(reply, granted, refusal)
	return reply, nil
}

func fillLease(reply *peerpb.LeaseReply, granted limit.Amounts, refusal *result.Refusal) {
	if refusal != nil {
		reply.Code = uint32(refusal.Code)
		return
	}
	reply.Granted = amountsToProto(granted)
	reply.TermMs = uint32(limit.LeaseTerm.Milliseconds())
}

func (n *Node) regionTerms(workspace string) (contract.RegionLimits, bool) {
	found, ok := n.snapshot().Contract(workspace)
	if !ok {
		return contract.RegionLimits{}, false
	}
	return found.LimitsIn(n.settings.Region)
}

func amountsToProto(a limit.Amounts) *peerpb.Amounts {
	return &peerpb.Amounts{
		Requests:    a.Requests,
		Tokens:      a.Tokens,
		Spend:       a.Spend,
		Concurrency: int64(a.Concurrency),
		Borrowed:    a.Borrowed,
	}
}

func amountsFromProto(m *peerpb.Amounts) limit.Amounts {
	return limit.Amounts{
		Requests:    m.GetRequests(),
		Tokens:      m.GetTokens(),
		Spend:       m.GetSpend(),
		Concurrency: int(m.GetConcurrency()),
		Borrowed:    m.GetBorrowed(),
	}
}

// handleHandOver adopts the tickets of another incarnation once all parts have arrived.
func (n *Node) handleHandOver(ctx context.Context, in *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	n.witness(in.GetStamp())
	whole, ok := n.handOvers.Add(in, n.now())
	if whole == nil {
		return &peerpb.HandOverReply{
			Stamp:    uint64(n.ring.Stamp()),
			Accepted: ok,
		}, nil
	}
	h := peer.HandOverFromProto(whole)
	accepted := n.ticketRegistry.TakeOver(h, n.now())
	if accepted {
		n.publishRights(ctx, n.settings.VM, h)
	}
	n.ring.Add(timeline.Event{
		Kind:   "hand_over_received",
		Peer:   h.From.VM,
		Detail: acceptanceDetail(accepted),
	})
	return &peerpb.HandOverReply{
		Stamp:    uint64(n.ring.Stamp()),
		Accepted: accepted,
	}, nil
}

func acceptanceDetail(accepted bool) string {
	if accepted {
		return "accepted"
	}
	return "refused"
}

// handleEvents returns events of this VM's timeline. Events of workspaces that are
// bound to this region are not sent to other regions.
func (n *Node) handleEvents(_ context.Context, in *peerpb.EventsRequest) (*peerpb.EventsReply, error) {
	n.witness(in.GetStamp())
	found := n.ring.Select(timeline.Query{
		Request:   in.GetRequest(),
		Workspace: in.GetWorkspace(),
		From:      peer.FromUnixMilli(in.GetFromUnixMs()),
		To:        peer.FromUnixMilli(in.GetToUnixMs()),
	})
	if in.GetFrom().GetRegion() != n.settings.Region {
		found = slices.DeleteFunc(slices.Clone(found), n.isRegionBound)
	}
	data, err := json.Marshal(found)
	if err != nil {
		return nil, errors.Join(errEncodeEvents, err)
	}
	return &peerpb.EventsReply{
		Stamp:  uint64(n.ring.Stamp()),
		Events: data,
	}, nil
}

var errEncodeEvents = errors.New("events cannot be written")

func (n *Node) isRegionBound(e timeline.Event) bool {
	if e.Workspace == "" {
		return false
	}
	found, ok := n.snapshot().Contract(e.Workspace)
	return !ok || found.HomeOnly
}
