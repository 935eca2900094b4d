package site

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/callerwait"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/route"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// callerWaited returns how long the caller of a request has waited before it, from how long it
// says that it will wait.
func (n *Node) callerWaited(r *route.Route, stated time.Duration) callerwait.Wait {
	if !n.settings.Enabled(settings.CallerWait) {
		return callerwait.Wait{}
	}
	return n.callerWaits.Arrive(callerwait.Attempt{
		Route:     r.Name,
		Objective: r.Objective,
		Timeout:   r.Timeout,
		Stated:    stated,
	})
}

// shed refuses a fraction of calls while this VM is saturated.
func (n *Node) shed(a route.Admission, waited callerwait.Wait) *result.Refusal {
	refusal := n.saturation.shed(a, waited.Time)
	if refusal != nil && waited.Time > 0 {
		n.metrics.CountReturnedCall(metrics.ReturnedRefused)
	}
	return refusal
}

// countFromFirstAttempt moves the objective of a call to that of the caller's first attempt.
// The first token of a stream that is resumed has come already.
func countFromFirstAttempt(c *call.Call) {
	if c.Forwarded || c.Routed.ResumeAfter != "" {
		c.Routed.CallerWait = callerwait.Wait{}
	}
	countObjectiveFrom(c, -c.Routed.CallerWait.Time)
}

// countObjectiveFrom moves the time from which the objective of a call counts.
func countObjectiveFrom(c *call.Call, by time.Duration) {
	if !c.FirstTokenDeadline.IsZero() {
		c.FirstTokenDeadline = c.FirstTokenDeadline.Add(by)
	}
	if !c.Routed.ObjectiveFrom.IsZero() {
		c.Routed.ObjectiveFrom = c.Routed.ObjectiveFrom.Add(by)
	}
}

// countReturned counts the outcome of a call whose caller has waited before.
func (n *Node) countReturned(c *call.Call, out call.Outcome) {
	if c.Routed.CallerWait.Time == 0 {
		return
	}
	outcome := metrics.ReturnedInTime
	switch {
	case out.Code.Class() == result.ClassNotRun:
		outcome = metrics.ReturnedRefused
	case out.Code.Class() != result.ClassDone || out.Code == result.FailurePassed:
		outcome = metrics.ReturnedFailed
	case !c.FirstTokenDeadline.IsZero() && out.FirstChunkAt.After(c.FirstTokenDeadline):
		outcome = metrics.ReturnedLate
	}
	n.metrics.CountReturnedCall(outcome)
}
