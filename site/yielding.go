package site

import (
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/placement"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// evaluateYielding decides again for a call that yields, as it waits for all calls that
// are still on time and so ends later than first was expected.
func (n *Node) evaluateYielding(c *call.Call, tried []fleet.VM, first placementResult) placementResult {
	d := first.decision
	if !d.Late || d.Refusal != "" || d.Region != n.deployment.Region || !n.settings.Enabled(settings.DeadlineRefusal) {
		return first
	}
	c.Routed.MissesObjective = true
	now, second := n.now(), first
	second.local = n.localLoad(c, now)
	second.request.Local = second.local
	second.decision = placement.Decide(second.request, now)
	second.decision.Late = true
	second.vm, _ = pickVM(n.control.snapshot().members.AcceptingVMs(second.decision.Region), tried)
	return second
}

// refusalLabel returns the label of a refusal in the metrics.
func refusalLabel(reason placement.Reason) string {
	switch reason {
	case placement.ReasonNoRegion:
		return "no_region"
	case placement.ReasonDeadline:
		return "deadline"
	default:
		return "objective"
	}
}
