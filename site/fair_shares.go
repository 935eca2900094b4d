package site

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fairshare"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/placement"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/route"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// classifyShare records the demand of a call that arrives from a caller or another VM. A call
// above the fair share of its workspace yields from the start.
func (n *Node) classifyShare(c *call.Call, now time.Time) {
	if !n.settings.Enabled(settings.FairShares) {
		return
	}
	snap := n.control.snapshot()
	arrival := fairshare.Arrival{
		Service:   c.Target(),
		Workspace: c.Workspace,
		Limit:     snap.limitOf(c.Workspace),
		Unit:      route.UnitRequests,
		Amount:    1,
		RegionVMs: len(snap.members.AcceptingVMs(n.deployment.Region)),
		Draw:      rand.Float64(),
	}
	if tokens := expectedTokens(c); tokens > 0 {
		arrival.Unit = route.UnitTokens
		arrival.Amount = tokens
	}
	c.Routed.Demand = arrival.Amount
	c.Routed.FairShare = n.fairShares.Arrive(arrival, now)
	c.Routed.MissesObjective = n.yieldsShare(c)
}

// yieldsShare reports whether a call yields as it is above the fair share of its workspace.
func (n *Node) yieldsShare(c *call.Call) bool {
	return c.Routed.FairShare == call.AboveShare && n.settings.Enabled(settings.Yielding)
}

// expectedTokens returns the tokens that a call is expected to use, or zero if it is not for
// a model.
func expectedTokens(c *call.Call) float64 {
	if c.Routed.AnswerTokens > 0 {
		return float64(c.PromptTokens + c.Routed.AnswerTokens)
	}
	return float64(c.PromptTokens) + minAnswerRatio*float64(c.MaxTokens)
}

// limitOf returns the published limit of a workspace.
func (snap *snapshot) limitOf(workspace string) route.Limit {
	if workspace == "" || snap.table == nil {
		return route.Limit{}
	}
	if w, ok := snap.table.Workspace(workspace); ok {
		return w.Limit
	}
	return route.Limit{}
}

// recordPlacement records whether a placement shows a shortage of capacity, and counts the
// verdict on the call.
func (n *Node) recordPlacement(c *call.Call, d placement.Decision, first bool) {
	if d.Tight || d.Refusal == placement.ReasonDeadline {
		n.recordShortage(c)
	}
	if !first || c.Routed.FairShare == call.NoShare {
		return
	}
	outcome := string(c.Routed.FairShare)
	if c.Routed.FairShare == call.AboveShare && d.Refusal != "" {
		outcome = "refused"
	}
	n.metrics.CountFairShare(outcome)
}

// recordShortage records that a call, if its demand is known, shows a shortage of capacity.
func (n *Node) recordShortage(c *call.Call) {
	if c.Routed.Demand > 0 {
		n.fairShares.Late(c.Target(), n.now())
	}
}

// recordServed records the outcome of a call whose demand was recorded.
func (n *Node) recordServed(c *call.Call, out call.Outcome) {
	if c.Routed.Demand > 0 && out.Code.Class() == result.ClassDone {
		n.fairShares.Served(c.Target(), c.Routed.Demand, n.now())
	}
}

// serviceDemandMessages lists the demand for the services that are short of capacity.
func (n *Node) serviceDemandMessages(now time.Time) []*peerpb.ServiceDemand {
	var out []*peerpb.ServiceDemand
	for _, r := range n.fairShares.Reports(now) {
		m := &peerpb.ServiceDemand{
			Service:               r.Service,
			ServedPerSecond:       float32(r.Served),
			RecentServedPerSecond: float32(r.RecentServed),
			RestPerSecond:         float32(r.Rest),
			Vm:                    r.VM,
			AgeMs:                 ageMs(r.At, now),
		}
		for _, d := range r.Demands {
			m.Demands = append(m.Demands, &peerpb.WorkspaceDemand{
				Workspace:       d.Workspace,
				PerSecond:       float32(d.PerSecond),
				RecentPerSecond: float32(d.Recent),
			})
		}
		out = append(out, m)
	}
	return out
}

// applyServiceDemands applies the demands in a full message of another VM.
func (c *control) applyServiceDemands(m *peerpb.GossipMessage, sentAt, now time.Time) {
	if m.GetFrom().GetRegion() != c.node.deployment.Region || len(m.GetServiceDemands()) == 0 {
		return
	}
	snap := c.snapshot()
	reports := make([]fairshare.Report, 0, len(m.GetServiceDemands()))
	for _, s := range m.GetServiceDemands() {
		r := fairshare.Report{
			Service:      s.GetService(),
			VM:           s.GetVm(),
			At:           sentAt.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond),
			Served:       amountOf(s.GetServedPerSecond()),
			RecentServed: amountOf(s.GetRecentServedPerSecond()),
			Rest:         amountOf(s.GetRestPerSecond()),
		}
		for _, d := range s.GetDemands() {
			r.Demands = append(r.Demands, fairshare.WorkspaceDemand{
				Workspace: d.GetWorkspace(),
				Limit:     snap.limitOf(d.GetWorkspace()),
				PerSecond: amountOf(d.GetPerSecond()),
				Recent:    amountOf(d.GetRecentPerSecond()),
			})
		}
		reports = append(reports, r)
	}
	c.node.fairShares.Receive(m.GetFrom().GetVm(), reports, now)
}

// maxAmount bounds what another VM reports per second.
const maxAmount = 1e12

// amountOf converts a reported amount; one that is not a number counts as none.
func amountOf(v float32) float64 {
	if v > 0 {
		return min(float64(v), maxAmount)
	}
	return 0
}
