package site

import (
	"context"
	"errors"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/placement"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// forwardGrace extends the timeout of a forward beyond the deadline of the call, so that
// the outcome of the remote VM arrives rather than a local timeout.
const forwardGrace = 250 * time.Millisecond

// forward runs a call on another VM and reports an unreachable VM to the control
// goroutine.
func (n *Node) forward(ctx context.Context, vm fleet.VM, c *call.Call, sink call.Sink) call.Outcome {
	timeoutCtx, cancel := clock.WithDeadline(ctx, n.now(), c.Deadline.Add(forwardGrace))
	defer cancel()
	runGrant := n.runGrants.Open(c.Routed.MaxAttempts)
	outcome := n.peers.Forward(timeoutCtx, vm, &peerpb.ForwardRequest{
		From:     n.identity(),
		Call:     peer.CallToProto(n.withRemoteObjective(c, vm), n.now()),
		RunGrant: runGrant,

		RetryGranted: c.Routed.RetryGranted,
	}, sink, func(uint64) {})
	granted := n.runGrants.Close(runGrant)
	outcome.RunsOnce = granted.Once
	if outcome.Code == result.PeerLost && outcome.EndpointsRun == 0 {
		outcome.EndpointsRun = granted.Runs
	}
	if cause := context.Cause(ctx); errors.Is(cause, call.ErrStopping) && outcome.Code == result.PeerLost {
		return call.Refused(result.Refuse(result.VMStopped, "VM %s stopped while VM %s had the call", n.deployment.VM, vm.ID).WithCause(cause))
	}
	if ctx.Err() != nil && outcome.Code == result.PeerLost {
		return call.Refused(result.Refuse(result.EndpointTimeout, "VM %s had the call as its time ended or the caller left", vm.ID).WithCause(ctx.Err()))
	}
	if ctx.Err() == nil && outcome.Code == result.PeerUnreachable {
		n.control.send(ctx, func(c *control, now time.Time) {
			c.recordFailure(vm, outcome.Refusal, now)
		})
	}
	return outcome
}

// withRemoteObjective returns a copy of the call with the round-trip time deducted from
// its time to first token, as the remote VM measures deadlines without network latency.
// Otherwise calls that are expected to be on time there are late here.
func (n *Node) withRemoteObjective(c *call.Call, vm fleet.VM) *call.Call {
	remote, routed := *c, *c.Routed
	remote.Routed = &routed
	countObjectiveFrom(&remote, -n.control.snapshot().rttTo(c.Target(), vm.Region))
	return &remote
}

func (n *Node) identity() *peerpb.Identity {
	return &peerpb.Identity{
		Vm:          n.deployment.VM,
		Incarnation: n.incarnation,
		Region:      n.deployment.Region,
	}
}

// peerHandlers returns the handlers for requests of other VMs.
func (n *Node) peerHandlers() peer.Handlers {
	return peer.Handlers{
		Gossip:    n.handleGossip,
		Published: n.puller.handlePublished,
		Reports:   n.pools.handleReportNote,
		Unread:    n.pools.handlePendingNote,
		Crashes:   n.quarantine.Receive,
		Limits:    n.handleLimitNote,
		Permit:    n.handlePermitRequest,
		Origins:   n.streams.receive,
		Origin:    n.streams.answer,
		Evidence:  n.evidence.answer,
		Run:       n.runGrants.Grant,
		RunOnce:   n.runGrants.Restrict,
		Forward:   n.serveForwarded,
		Stamp:     func() uint64 { return 0 },
		Witness:   func(uint64) {},

		BodyShare:  n.bodies.requestShare,
		CountBytes: n.countPeerBytes,
		Now:        n.now,
		Delays:     n.delays,
	}
}

// serveForwarded runs a call that another VM sent. If this VM has a newer routing table
// than the sender, the call is admitted again under that table.
func (n *Node) serveForwarded(ctx context.Context, from *peerpb.Identity, c *call.Call, sink call.Sink) call.Outcome {
	if c.Kind != call.KindRouted || n.control.snapshot().table == nil {
		return call.Refused(n.notServed())
	}
	c.Log = n.newCallLog(c)
	c.Routed.RequestRun = func(ctx context.Context) bool { return n.requestRun(ctx, from.GetVm(), c) }
	c.Routed.RequestOnce = func(ctx context.Context) bool { return n.requestOnce(ctx, from.GetVm(), c) }
	if refusal := n.updateTerms(ctx, c); refusal != nil {
		return call.Refused(refusal)
	}
	ctx, cancel := clock.WithDeadline(ctx, n.now(), c.Deadline)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	callsCtx := n.stopState.contextOf(c)
	defer context.AfterFunc(callsCtx, func() { cancelCause(context.Cause(callsCtx)) })()
	c.Routed.MissesObjective = n.isLate(c)
	return n.asLostIfStopped(ctx, n.serve(ctx, c, sink))
}

// asLostIfStopped returns the outcome that the sender of a call gets. If the stop has cut the call
// off, whatever had failed before might have been tried again, and the sender can do so elsewhere.
// To the sender a VM that stops is one that is lost, also in builds without VMStopped.
func (n *Node) asLostIfStopped(ctx context.Context, o call.Outcome) call.Outcome {
	if o.Code.Class() != result.ClassUnknown || !errors.Is(context.Cause(ctx), call.ErrStopping) {
		return o
	}
	lost := result.Refuse(result.PeerLost, "VM %s stopped before the call had ended", n.deployment.VM)
	if o.Refusal != nil {
		lost = lost.WithCause(o.Refusal)
	}
	o.Code, o.Refusal = lost.Code, lost
	return o
}

// runRequestTimeout bounds a question about the runs of a call: a round trip between the most
// distant regions and one lost packet.
const runRequestTimeout = 400 * time.Millisecond

// requestRun asks the VM that sent a call whether one more endpoint may run it.
func (n *Node) requestRun(ctx context.Context, vmID string, c *call.Call) bool {
	return c.Routed.RunGrant == 0 || n.askSender(ctx, vmID, c, n.peers.Run)
}

// requestOnce asks the VM that sent a call not to send it to another VM once it may have run.
func (n *Node) requestOnce(ctx context.Context, vmID string, c *call.Call) bool {
	return n.askSender(ctx, vmID, c, n.peers.RunOnce)
}

func (n *Node) askSender(ctx context.Context, vmID string, c *call.Call, ask func(context.Context, fleet.VM, uint64) (bool, error)) bool {
	vm, known := n.control.snapshot().members.Find(vmID)
	if !known {
		return false
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, runRequestTimeout)
	defer cancel()
	granted, err := ask(timeoutCtx, vm, c.Routed.RunGrant)
	if err != nil {
		n.log.Debug("run_not_asked", "peer", vmID, "reason", err.Error())
	}
	return granted
}

func (n *Node) notServed() *result.Refusal {
	return result.Refuse(result.NotReady, "VM %s does not serve the call", n.deployment.VM)
}

// isLate reports whether a forwarded call can no longer meet its deadline here. The
// receiver decides because its view of the local engines is newer than the sender's. A call
// whose objective passed before it came shows no shortage here.
func (n *Node) isLate(c *call.Call) bool {
	now := n.now()
	n.classifyShare(c, now)
	late := n.settings.Enabled(settings.Yielding) && placement.MissesObjective(n.localLoad(c, now), c.FirstTokenDeadline, now)
	if late && c.FirstTokenDeadline.After(now) {
		n.recordShortage(c)
	}
	return late || n.yieldsShare(c)
}
