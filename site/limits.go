package site

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/metering"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/route"
)

const (
	// limitRequestTimeout bounds the request to charge one call, within the region.
	limitRequestTimeout = 150 * time.Millisecond
	// limitNoteTimeout bounds one note, including a new connection between the most distant
	// regions.
	limitNoteTimeout = time.Second
	// minLimitNoteInterval is the least time between two rounds of notes, to batch uses.
	minLimitNoteInterval = 20 * time.Millisecond
)

func newMeter(n *Node) *metering.Meter {
	return metering.New(metering.Options{
		VM:      n.deployment.VM,
		Region:  n.deployment.Region,
		Regions: regionsOf(n.deployment.Regions),
		Tolerance: metering.Tolerance{
			Window:   n.deployment.Bounds.LimitWindow,
			Fraction: n.deployment.Bounds.LimitOvershoot,
			Amount:   n.deployment.Bounds.LimitSlack,
		},
		StartedAt: n.startedAt,
	})
}

// limitedWorkspace returns the workspace of a call if the call counts against a limit.
func (snap *snapshot) limitedWorkspace(c *call.Call) (*route.Workspace, bool) {
	if c.Workspace == "" || c.Routed.Cost <= 0 || snap.table == nil {
		return nil, false
	}
	return snap.table.Workspace(c.Workspace)
}

// chargeLimit charges a call to the limit of its workspace.
func (n *Node) chargeLimit(ctx context.Context, c *call.Call) *result.Refusal {
	snap := n.control.snapshot()
	w, ok := snap.limitedWorkspace(c)
	if !ok {
		return nil
	}
	verdict := n.meter.Take(w, c.Routed.Cost, snap.meteringFleet, n.now())
	if verdict.Coordinator != nil {
		verdict = n.requestCharge(ctx, w, *verdict.Coordinator, c.Routed.Cost)
	}
	if verdict.Refusal != nil {
		n.metrics.CountLimitRejection(w.Name)
	}
	return verdict.Refusal
}

// requestCharge asks the coordinator of a limit to charge a call. Without an answer the
// charge is decided locally.
func (n *Node) requestCharge(ctx context.Context, w *route.Workspace, coordinator fleet.VM, cost float64) metering.Verdict {
	timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limitRequestTimeout)
	defer cancel()
	reply, err := n.peers.Limits(timeoutCtx, coordinator, n.identity(), metering.Note{
		Usage: []metering.Usage{{
			Workspace: w.Name,
			Requested: cost,
		}},
	})
	if err != nil {
		n.log.Debug("limit_not_asked", "peer", coordinator.ID, "reason", err.Error())
	}
	answered := err == nil && len(reply.Answers) == 1 && reply.Answers[0].IsCoordinator
	n.metrics.CountLimitRequest(answered)
	if !answered {
		return n.meter.TakeFallback(w, coordinator, cost, n.control.snapshot().meteringFleet, n.now())
	}
	return n.meter.ApplyAnswer(w, cost, reply.Answers[0])
}

// refundLimit returns the charge of a call that did not run.
func (n *Node) refundLimit(c *call.Call) {
	snap := n.control.snapshot()
	if w, ok := snap.limitedWorkspace(c); ok {
		n.meter.Refund(w, c.Routed.Cost, snap.meteringFleet, n.now())
	}
}

// sendLimitNotes sends usage notes to other VMs as they fall due, until ctx ends.
func (n *Node) sendLimitNotes(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.meter.Due:
		case <-timer.C:
		}
		snap := n.control.snapshot()
		if snap.table != nil && snap.table.RequiresKey() {
			for _, note := range n.meter.DueNotes(snap.table, snap.meteringFleet, n.now()) {
				go n.sendLimitNote(ctx, note)
			}
		}
		now := n.now()
		timer.Reset(max(n.meter.NextNote(now).Sub(now), minLimitNoteInterval))
	}
}

func (n *Node) sendLimitNote(ctx context.Context, note metering.Outgoing) {
	timeoutCtx, cancel := context.WithTimeout(ctx, limitNoteTimeout)
	defer cancel()
	reply, err := n.peers.Limits(timeoutCtx, note.To, n.identity(), note.Note)
	if err != nil {
		n.log.Debug("limits_not_told", "peer", note.To.ID, "reason", err.Error())
		n.meter.HandleFailure(note, n.now())
		return
	}
	n.meter.HandleReply(note, reply, n.now())
}

// handleLimitNote answers a usage note of another VM.
func (n *Node) handleLimitNote(note metering.Note) metering.Reply {
	snap := n.control.snapshot()
	if snap.table == nil {
		return metering.Reply{}
	}
	return n.meter.Receive(note, snap.table, snap.meteringFleet, n.now())
}

// buildMeteringFleet derives the members as the limit meter needs them.
func (c *control) buildMeteringFleet(snap *snapshot) metering.Fleet {
	own := c.node.deployment.Region
	out := metering.Fleet{
		Local:  snap.members.ReachableVMs(own),
		Remote: make(map[string][]fleet.VM),
	}
	for _, m := range snap.members.Members {
		if m.VM.Region == own {
			out.Known++
		}
	}
	for _, region := range regionsOf(c.node.deployment.Regions) {
		if vms := snap.members.ReachableVMs(region); region != own && len(vms) > 0 {
			out.Remote[region] = vms
		}
	}
	return out
}
