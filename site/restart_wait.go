package site

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/worker"
)

const (
	// maxRestartWait bounds the time for which a call that the stop of another VM has cut off
	// waits for one that may serve it: the end of that stop, the start of the next process, and
	// the time until it has the configuration and other regions have heard of it.
	maxRestartWait      = 4 * time.Second
	restartPollInterval = 50 * time.Millisecond
)

// restartDeadline returns until when a call that the stop of another VM has cut off may wait for a
// place. It is zero for other calls, and if no other region has endpoints that may serve the call.
func (n *Node) restartDeadline(c *call.Call) time.Time {
	if !c.Routed.CutOff || !n.isServedElsewhere(c) {
		return time.Time{}
	}
	deadline := n.now().Add(maxRestartWait)
	if stop := n.stopState.planned.Load(); stop != nil && stop.Cutoff.Before(deadline) {
		deadline = stop.Cutoff
	}
	if c.Deadline.Before(deadline) {
		deadline = c.Deadline
	}
	return deadline
}

// isServedElsewhere reports whether another region has endpoints that may serve a call, whether it
// has VMs or not.
func (n *Node) isServedElsewhere(c *call.Call) bool {
	for _, region := range n.deployment.Regions {
		if c.Routed.Allows(region) && n.pools.index.regionServes(region, c.Target(), c.Routed.Pin) {
			return true
		}
	}
	return false
}

// waitForRestart waits briefly for a VM that may serve a call. It returns false after the deadline
// or once the call has ended.
func (n *Node) waitForRestart(ctx context.Context, deadline time.Time) bool {
	now := n.now()
	if ctx.Err() != nil || !now.Before(deadline) {
		return false
	}
	worker.SleepUntil(ctx, now, now.Add(restartPollInterval))
	return true
}
