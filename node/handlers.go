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

// handlers are this VM's answers to its peers.
func (n *Node) handlers() peer.Handlers {
	return peer.Handlers{
		Heartbeat:  n.answerHeartbeat,
		Documents:  n.documents,
		Lease:      n.grant,
		HandOver:   n.adopt,
		Events:     n.events,
		Crashes:    n.crashes.Take,
		Forward:    n.serveForwarded,
		Stamp:      func() uint64 { return uint64(n.ring.Stamp()) },
		Witness:    n.witness,
		CountBytes: n.countBytes,
		TLS:        n.tls,
	}
}

func (n *Node) witness(stamp uint64) {
	n.ring.Witness(timeline.Stamp(stamp))
}

func (n *Node) answerHeartbeat(ctx context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return ask(ctx, n.control, func(reply chan<- *peerpb.HeartbeatReply) message {
		return beatAsked{
			beat:     peer.BeatFromMessage(in.GetBeat()),
			heldLoan: in.GetHeldLoan(),
			reply:    reply,
		}
	})
}

// identity names this incarnation on messages.
func (n *Node) identity() *peerpb.Identity {
	return &peerpb.Identity{
		Vm:          n.settings.VM,
		Incarnation: n.incarnation,
		Region:      n.settings.Region,
	}
}

// forwardGrace is how much longer than the call's own deadline a forward is
// waited for, so that the far VM's outcome arrives rather than a timeout.
const forwardGrace = 250 * time.Millisecond

// forward runs a call on another VM and tells the control goroutine of a lost one.
func (n *Node) forward(ctx context.Context, vm fleet.VM, c *call.Call, sink call.Sink) call.Outcome {
	trip, cancel := clock.WithDeadline(ctx, n.now(), c.WholeBy.Add(forwardGrace))
	defer cancel()
	out := n.peers.Forward(trip, vm, &peerpb.ForwardRequest{
		From:  n.identity(),
		Stamp: uint64(n.ring.Stamp()),
		Call:  peer.CallMessage(c, n.now()),
	}, sink, n.witness)
	if isPeerLost(ctx, out.Code) {
		n.control.send(ctx, beatMissed{
			vm: vm.ID,
		})
	}
	if c.Origin != "" {
		n.pools.learnAway(vm, c, out)
	}
	return out
}

// isPeerLost reports whether a forward's code speaks of the VM asked. Once the
// caller has left and ended its ctx, the call ends whatever the VM does.
func isPeerLost(ctx context.Context, code result.Code) bool {
	if ctx.Err() != nil {
		return false
	}
	return code == result.PeerUnreachable || code == result.PeerLost
}

// serveForwarded runs a call that another VM sent. It cannot forward again:
// Place never gives PlaceForward to a forwarded call.
func (n *Node) serveForwarded(ctx context.Context, _ *peerpb.Identity, c *call.Call, sink call.Sink) call.Outcome {
	found, ok := n.snapshot().Contract(c.Workspace)
	if !ok || !n.caughtUp() {
		return call.Refused(result.Refuse(result.NotReady, "VM %s does not know the workspace", n.settings.VM))
	}
	ctx, cancel := clock.WithDeadline(ctx, n.now(), c.WholeBy)
	defer cancel()
	place := serving.Place(serving.PlaceRequest{
		Contract:  found,
		Ticket:    c.Ticket,
		Forwarded: true,
		Borrowed:  c.Origin != "",
	}, n.view())
	return n.serving.Serve(ctx, c, place, sink)
}

// lease asks a workspace's owner for a part of its limits.
func (n *Node) lease(ctx context.Context, owner fleet.VM, workspace string, want, unused limit.Amounts) (serving.Lease, *result.Refusal) {
	sentAt := n.now()
	n.metrics.ControlMessage(metrics.MessageLease)
	reply, err := n.peers.Lease(ctx, owner, &peerpb.LeaseRequest{
		From:      n.identity(),
		Stamp:     uint64(n.ring.Stamp()),
		Workspace: workspace,
		Want:      amountsMessage(want),
		Unused:    amountsMessage(unused),
	})
	if err != nil {
		return serving.Lease{}, result.Refuse(result.LimitNoShare, "the owner %s of the workspace did not answer", owner.ID).Because(err)
	}
	n.witness(reply.GetStamp())
	if code := result.Code(reply.GetCode()); code != result.Done {
		return serving.Lease{}, result.Refuse(code, "the owner %s granted nothing", owner.ID)
	}
	return serving.Lease{
		Granted: amountsFromMessage(reply.GetGranted()),
		Until:   sentAt.Add(limit.LeaseTerm),
	}, nil
}

// grant gives another VM a lease on a workspace that this one owns.
func (n *Node) grant(_ context.Context, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	n.witness(in.GetStamp())
	now := n.now()
	reply := &peerpb.LeaseReply{
		Stamp: uint64(n.ring.Stamp()),
		Code:  uint32(result.Done),
	}
	terms, ok := n.termsOf(in.GetWorkspace())
	if !ok {
		reply.Code = uint32(result.LimitNoShare)
		return reply, nil
	}
	r := serving.LimitRequest(in.GetWorkspace(), terms, n.view(), now)
	r.From = in.GetFrom().GetVm()
	granted, refusal := n.ledger.Grant(r, amountsFromMessage(in.GetWant()), amountsFromMessage(in.GetUnused()), now)
	fillLease(reply, granted, refusal)
	return reply, nil
}

func fillLease(reply *peerpb.LeaseReply, granted limit.Amounts, refusal *result.Refusal) {
	if refusal != nil {
		reply.Code = uint32(refusal.Code)
		return
	}
	reply.Granted = amountsMessage(granted)
	reply.TermMs = uint32(limit.LeaseTerm.Milliseconds())
}

func (n *Node) termsOf(workspace string) (contract.RegionTerms, bool) {
	found, ok := n.snapshot().Contract(workspace)
	if !ok {
		return contract.RegionTerms{}, false
	}
	return found.Terms(n.settings.Region)
}

func amountsMessage(a limit.Amounts) *peerpb.Amounts {
	return &peerpb.Amounts{
		Requests:    a.Requests,
		Tokens:      a.Tokens,
		Spend:       a.Spend,
		Concurrency: int64(a.Concurrency),
		Borrowed:    a.Borrowed,
	}
}

func amountsFromMessage(m *peerpb.Amounts) limit.Amounts {
	return limit.Amounts{
		Requests:    m.GetRequests(),
		Tokens:      m.GetTokens(),
		Spend:       m.GetSpend(),
		Concurrency: int(m.GetConcurrency()),
		Borrowed:    m.GetBorrowed(),
	}
}

// adopt takes over what another incarnation gave up, once all parts are there.
func (n *Node) adopt(ctx context.Context, in *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	n.witness(in.GetStamp())
	whole, ok := n.parts.Add(in, n.now())
	if whole == nil {
		return &peerpb.HandOverReply{
			Stamp:    uint64(n.ring.Stamp()),
			Accepted: ok,
		}, nil
	}
	h := peer.HandOverFromMessage(whole)
	accepted := n.desk.Adopt(h, n.now())
	if accepted {
		n.publishRights(ctx, n.settings.VM, h)
	}
	n.ring.Add(timeline.Event{
		Kind:   "hand_over_received",
		Peer:   h.From.VM,
		Detail: acceptance(accepted),
	})
	return &peerpb.HandOverReply{
		Stamp:    uint64(n.ring.Stamp()),
		Accepted: accepted,
	}, nil
}

func acceptance(accepted bool) string {
	if accepted {
		return "accepted"
	}
	return "refused"
}

// events answers with a part of this VM's time line. Events about a workspace
// that its contract binds to this region stay in it.
func (n *Node) events(_ context.Context, in *peerpb.EventsRequest) (*peerpb.EventsReply, error) {
	n.witness(in.GetStamp())
	found := n.ring.Select(timeline.Query{
		Request:   in.GetRequest(),
		Workspace: in.GetWorkspace(),
		From:      peer.FromUnixMilli(in.GetFromUnixMs()),
		To:        peer.FromUnixMilli(in.GetToUnixMs()),
	})
	if in.GetFrom().GetRegion() != n.settings.Region {
		found = slices.DeleteFunc(slices.Clone(found), n.isBound)
	}
	data, err := json.Marshal(found)
	if err != nil {
		return nil, errors.Join(errEvents, err)
	}
	return &peerpb.EventsReply{
		Stamp:  uint64(n.ring.Stamp()),
		Events: data,
	}, nil
}

var errEvents = errors.New("events cannot be written")

func (n *Node) isBound(e timeline.Event) bool {
	if e.Workspace == "" {
		return false
	}
	found, ok := n.snapshot().Contract(e.Workspace)
	return !ok || found.Bound
}
