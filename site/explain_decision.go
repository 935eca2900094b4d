package site

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/placement"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// drawSteps is the number of values of each random number for which a decision is evaluated.
const drawSteps = 20

// explainedDecision is a decision over all values of the random numbers.
type explainedDecision struct {
	// decision is the most frequent one of those that refuse and those that do not.
	decision placement.Decision
	refused  float64
	// earliest and latest are the retry times of a refusal.
	earliest, latest time.Time
}

// decide evaluates a decision for evenly spaced values of its random numbers.
func (x *routeExplainer) decide(r placement.Request) explainedDecision {
	var served, refused placement.Decision
	refusals := 0
	var out explainedDecision
	for i := range drawSteps {
		for j := range drawSteps {
			r.DeadlineDraw = (float64(i) + 0.5) / drawSteps
			r.ObjectiveDraw = (float64(j) + 0.5) / drawSteps
			d := placement.Decide(r, x.now)
			if d.Refusal == "" {
				served = d
				continue
			}
			refusals++
			refused = d
		}
	}
	out.decision = served
	out.refused = float64(refusals) / (drawSteps * drawSteps)
	if out.refused < 0.5 {
		return out
	}
	out.decision = refused
	if refused.Refusal == placement.ReasonNoRegion {
		out.earliest, out.latest = refused.RetryAt, refused.RetryAt
		return out
	}
	// A call with the lowest random numbers is refused if any is.
	r.DeadlineDraw, r.ObjectiveDraw = 0, 0
	r.RetryDraw = 0
	out.earliest = placement.Decide(r, x.now).RetryAt
	r.RetryDraw = 1
	out.latest = placement.Decide(r, x.now).RetryAt
	return out
}

// waitsBehindOthers reports whether evaluateYielding decides again.
func (x *routeExplainer) waitsBehindOthers(d explainedDecision) bool {
	return d.decision.Late && d.decision.Refusal == "" && d.decision.Region == x.node.deployment.Region && x.node.settings.Enabled(settings.DeadlineRefusal)
}

func (x *routeExplainer) decision(e routing.Explanation, d explainedDecision) operator.RouteDecision {
	out := operator.RouteDecision{
		Region:          d.decision.Region,
		Late:            d.decision.Late,
		RefusedFraction: d.refused,
	}
	if reason := d.decision.Refusal; reason != "" {
		refusal := placementRefusal(d.decision)
		if oversized := x.node.oversizedRefusal(x.call); oversized != nil && reason == placement.ReasonNoRegion {
			refusal = oversized
		}
		if x.closedByLimits(refusal) {
			refusal = result.Refuse(result.LimitEndpoint, "the endpoints of %s have named limits or asked for a rest", x.call.Target()).WithRetryAt(refusal.RetryAt)
		}
		info, _ := result.Lookup(refusal.Code)
		out.Code = refusal.Code
		out.Name = info.Name
		out.Reason = refusal.Message
		if !refusal.RetryAt.IsZero() {
			out.RetryMs = []int64{millisUntil(d.earliest, x.now), millisUntil(d.latest, x.now)}
		}
		return out
	}
	if out.Region == x.node.deployment.Region {
		out.Endpoint = e.Chosen
		out.Probe = e.Probe
		out.RandomCandidates = e.RandomCandidates
	}
	return out
}

// closedByLimits reports whether withReopenTime replaces a refusal. The retry time that callers
// get then follows from the limits and may be later than the one shown.
func (x *routeExplainer) closedByLimits(refusal *result.Refusal) bool {
	if refusal.Code != result.NoEndpoint || !x.call.Routed.Allows(x.node.deployment.Region) {
		return false
	}
	pool, ok := x.node.pools.find(x.call.Target())
	if !ok {
		return false
	}
	ids, _ := pool.Endpoints.Paused(x.now)
	return len(ids) > 0
}
