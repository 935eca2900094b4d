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
	// askLimitWithin bounds the question for one call, within the region.
	askLimitWithin = 150 * time.Millisecond
	// tellLimitsWithin bounds one note: a new connection between the most distant regions.
	tellLimitsWithin = time.Second
	// notesPause gathers uses that come together into one note.
	notesPause = 20 * time.Millisecond
)

func newMeter(n *Node) *metering.Meter {
	return metering.New(metering.Options{
		VM:      n.deployment.VM,
		Region:  n.deployment.Region,
		Regions: regionsOf(n.deployment.Regions),
		Tolerance: metering.Tolerance{
			Window: n.deployment.Bounds.LimitWindow,
			Part:   n.deployment.Bounds.LimitOvershoot,
			Amount: n.deployment.Bounds.LimitSlack,
		},
		StartedAt: n.startedAt,
	})
}

// limited returns the workspace of a call that counts against a limit.
func (pic *picture) limited(c *call.Call) (*route.Workspace, bool) {
	if c.Workspace == "" || c.Routed.Cost <= 0 || pic.table == nil {
		return nil, false
	}
	return pic.table.Workspace(c.Workspace)
}

// takeLimit charges a call to the limit of its workspace.
func (n *Node) takeLimit(ctx context.Context, c *call.Call) *result.Refusal {
	pic := n.control.picture()
	w, ok := pic.limited(c)
	if !ok {
		return nil
	}
	verdict := n.meter.Take(w, c.Routed.Cost, pic.fleet, n.now())
	if verdict.Keeper != nil {
		verdict = n.askKeeper(ctx, w, *verdict.Keeper, c.Routed.Cost)
	}
	if verdict.Refusal != nil {
		n.metrics.LimitRefused(w.Name)
	}
	return verdict.Refusal
}

// askKeeper has the VM that keeps a limit decide on a call.
func (n *Node) askKeeper(ctx context.Context, w *route.Workspace, keeper fleet.VM, cost float64) metering.Verdict {
	trip, cancel := context.WithTimeout(context.WithoutCancel(ctx), askLimitWithin)
	defer cancel()
	reply, err := n.peers.Limits(trip, keeper, n.identity(), metering.Note{
		Uses: []metering.Use{{
			Workspace: w.Name,
			Wanted:    cost,
		}},
	})
	if err != nil {
		n.log.Debug("limit_not_asked", "peer", keeper.ID, "reason", err.Error())
	}
	answered := err == nil && len(reply.Answers) == 1 && reply.Answers[0].Kept
	n.metrics.LimitAsked(answered)
	if !answered {
		return n.meter.TakeAlone(w, keeper, cost, n.now())
	}
	return n.meter.Answered(w, cost, reply.Answers[0])
}

// giveBackLimit returns what a call was charged that certainly did not run.
func (n *Node) giveBackLimit(c *call.Call) {
	pic := n.control.picture()
	if w, ok := pic.limited(c); ok {
		n.meter.GiveBack(w, c.Routed.Cost, pic.fleet, n.now())
	}
}

// tellLimits sends notes as they fall due, until ctx ends.
func (n *Node) tellLimits(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.meter.Due:
		case <-timer.C:
		}
		pic := n.control.picture()
		if pic.table != nil && pic.table.Keyed() {
			for _, note := range n.meter.Notes(pic.table, pic.fleet, n.now()) {
				go n.sendLimits(ctx, note)
			}
		}
		now := n.now()
		timer.Reset(max(n.meter.NextNote(now).Sub(now), notesPause))
	}
}

func (n *Node) sendLimits(ctx context.Context, note metering.Outgoing) {
	trip, cancel := context.WithTimeout(ctx, tellLimitsWithin)
	defer cancel()
	reply, err := n.peers.Limits(trip, note.To, n.identity(), note.Note)
	if err != nil {
		n.log.Debug("limits_not_told", "peer", note.To.ID, "reason", err.Error())
		n.meter.Failed(note, n.now())
		return
	}
	n.meter.Sent(note, reply, n.now())
}

// takeLimits answers another VM's note.
func (n *Node) takeLimits(note metering.Note) metering.Reply {
	pic := n.control.picture()
	if pic.table == nil {
		return metering.Reply{}
	}
	return n.meter.Receive(note, pic.table, pic.fleet, n.now())
}

// fleet is what the meter needs to know of the members.
func (c *control) fleet(pic *picture) metering.Fleet {
	own := c.node.deployment.Region
	out := metering.Fleet{
		Near: pic.members.Reached(own),
		Far:  make(map[string][]fleet.VM),
	}
	for _, m := range pic.members.Members {
		if m.VM.Region == own {
			out.Known++
		}
	}
	for _, region := range regionsOf(c.node.deployment.Regions) {
		if vms := pic.members.Reached(region); region != own && len(vms) > 0 {
			out.Far[region] = vms
		}
	}
	return out
}
