package site

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/placement"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/route"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// handleRoute explains a route to an operator.
func (n *Node) handleRoute(ctx context.Context, q operator.RouteQuery) (*operator.RouteExplanation, *result.Refusal) {
	return n.explainRoute(q, func(service string) ([]string, error) {
		return query(ctx, n.control, func(c *control, _ time.Time) []string {
			return c.discovery.Draining(service, n.deployment.Region)
		})
	})
}

// explainRoute returns where a request would go now. It changes no state: it counts no call, no
// demand and no limit, and records nothing. Random numbers of decisions are not drawn: decisions
// are evaluated for all their values. It ignores workspaces' limits and fair shares,
// quarantines, and refusals of a VM that is short of CPU.
// draining returns the listed endpoints that accept no new calls.
func (n *Node) explainRoute(q operator.RouteQuery, draining func(service string) ([]string, error)) (*operator.RouteExplanation, *result.Refusal) {
	x, refusal := n.newRouteExplainer(q)
	if refusal != nil {
		return nil, refusal
	}
	drained, err := draining(x.call.Service)
	if err != nil {
		return nil, result.Refuse(result.NotReady, "VM %s did not list its endpoints in time", n.deployment.VM).WithCause(err)
	}
	x.draining = drained
	return x.explain(), nil
}

func (n *Node) newRouteExplainer(q operator.RouteQuery) (*routeExplainer, *result.Refusal) {
	snap := n.control.snapshot()
	if snap.table == nil {
		return nil, result.Refuse(result.NotReady, "no configuration is known yet")
	}
	if q.Region != "" && q.Region != n.deployment.Region {
		return nil, result.Refuse(result.WrongRegion, "VM %s is in region %s", n.deployment.VM, n.deployment.Region)
	}
	terms, refusal := snap.table.AdmitNamed(q.Host, q.Path, q.Workspace)
	if refusal != nil {
		return nil, refusal
	}
	service, refusal := explainedService(terms.Route, q.Service)
	if refusal != nil {
		return nil, refusal
	}
	described := platform.Description{
		Terms:        terms,
		Service:      service,
		PromptTokens: q.PromptTokens,
		MaxTokens:    q.MaxTokens,
		AnswerTokens: q.AnswerTokens,
		PromptParts:  q.PromptParts,
	}
	if q.Version != "" {
		described.Pin = fleet.PinTo(q.Version)
	}
	now := n.now()
	x := &routeExplainer{
		node:  n,
		snap:  snap,
		terms: terms,
		call:  described.Call(now),
		now:   now,
	}
	if !n.settings.Enabled(settings.RankOrder) {
		x.call.Routed.Rank = 0
	}
	return x, nil
}

// explainedService returns the named service of a route, or the one of the highest weight.
func explainedService(r *route.Route, name string) (string, *result.Refusal) {
	if name != "" {
		if !r.Serves(name) {
			return "", result.Refuse(result.UnknownTarget, "route %s sends no requests to service %s", r.Name, name)
		}
		return name, nil
	}
	best := route.Share{}
	for _, s := range r.Shares {
		if s.Weight > best.Weight {
			best = s
		}
	}
	if best.Service == "" {
		return "", result.Refuse(result.UnknownTarget, "route %s has no service with a weight", r.Name)
	}
	return best.Service, nil
}

// routeExplainer explains the route of one call.
type routeExplainer struct {
	node  *Node
	snap  *snapshot
	terms route.Admission
	call  *call.Call
	// draining are the endpoints of the region that are in no pool as they accept no new calls.
	draining []string
	now      time.Time
}

func (x *routeExplainer) explain() *operator.RouteExplanation {
	pool := x.explainPool()
	request := x.node.placementRequest(x.call, x.snap, nil, x.localLoad(pool), x.now)
	first := x.decide(request)
	if x.waitsBehindOthers(first) {
		// As evaluateYielding does for the call itself.
		x.call.Routed.MissesObjective = true
		pool = x.explainPool()
		request.Local = x.localLoad(pool)
		first = x.decide(request)
		first.decision.Late = true
	}
	c := x.call
	return &operator.RouteExplanation{
		VM:           x.node.deployment.VM,
		Region:       x.node.deployment.Region,
		Version:      x.terms.Table.Version,
		Draining:     x.node.draining.Load(),
		Route:        explainedRoute(x.terms.Route),
		Service:      c.Service,
		Rank:         c.Routed.Rank,
		Homes:        c.Routed.Homes,
		FirstTokenMs: millisUntil(c.FirstTokenDeadline, x.now),
		DeadlineMs:   millisUntil(c.Deadline, x.now),
		Endpoints:    x.endpoints(pool),
		Regions:      x.regions(request),
		Decision:     x.decision(pool, first),
	}
}

func explainedRoute(r *route.Route) operator.Route {
	out := operator.Route{
		Name:   r.Name,
		Host:   r.Host,
		Prefix: r.Prefix,
		Kind:   string(r.Kind),
	}
	for _, s := range r.Shares {
		out.Services = append(out.Services, operator.RouteService{
			Name:   s.Service,
			Weight: s.Weight,
		})
	}
	return out
}

// explainPool is what localLoad asks of the pool, without a change of its state.
func (x *routeExplainer) explainPool() routing.Explanation {
	c := x.call
	pool, ok := x.node.pools.find(c.Target())
	if !ok {
		return routing.Explanation{}
	}
	return pool.Endpoints.Explain(routingRequest(c), x.now)
}

// localLoad is Node.localLoad for an explanation.
func (x *routeExplainer) localLoad(e routing.Explanation) placement.Load {
	load := placement.Load{
		Region:        x.node.deployment.Region,
		PrefillTokens: float64(x.call.PromptTokens),
	}
	if !e.Expected {
		return load
	}
	for i := range e.Endpoints {
		if excluded := e.Endpoints[i].Exclusion; excluded != routing.ExcludedDraining && excluded != routing.ExcludedBackoff {
			load.Endpoints++
		}
	}
	setExpectation(&load, e.Expectation)
	return load
}

// endpoints lists those of the pool and those that are in no pool because they are cold or
// draining.
func (x *routeExplainer) endpoints(e routing.Explanation) []operator.RouteEndpoint {
	degraded := make(map[string]discovery.AvailableEndpoint)
	for _, other := range x.node.pools.index.ofService(x.call.Target()) {
		if other.Region == x.node.deployment.Region && (!other.ColdUntil.IsZero() || !other.UnreachableUntil.IsZero()) {
			degraded[other.ID] = other
		}
	}
	out := make([]operator.RouteEndpoint, 0, len(e.Endpoints)+len(degraded))
	for i := range e.Endpoints {
		shown := explainedEndpoint(&e.Endpoints[i], x.now)
		if other, ok := degraded[shown.ID]; ok && shown.Excluded == string(routing.ExcludedDraining) && !other.UnreachableUntil.IsZero() {
			shown.Excluded = "unreachable"
			shown.ExcludedMs = millisUntil(other.UnreachableUntil, x.now)
		}
		delete(degraded, shown.ID)
		out = append(out, shown)
	}
	var unused []operator.RouteEndpoint
	for id, other := range degraded {
		if other.ColdUntil.IsZero() {
			continue
		}
		unused = append(unused, operator.RouteEndpoint{
			ID:         id,
			Excluded:   "cold",
			ExcludedMs: millisUntil(other.ColdUntil, x.now),
			ReportMs:   -1,
		})
	}
	for _, id := range x.draining {
		if slices.ContainsFunc(out, func(e operator.RouteEndpoint) bool { return e.ID == id }) {
			continue
		}
		unused = append(unused, operator.RouteEndpoint{
			ID:       id,
			Excluded: string(routing.ExcludedDraining),
			ReportMs: -1,
		})
	}
	slices.SortFunc(unused, func(a, b operator.RouteEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	return append(out, unused...)
}

func explainedEndpoint(e *routing.ExplainedEndpoint, now time.Time) operator.RouteEndpoint {
	out := operator.RouteEndpoint{
		ID:               e.ID,
		Excluded:         string(e.Exclusion),
		ExcludedMs:       max(millisUntil(e.Until, now), 0),
		AlwaysConsidered: e.AlwaysConsidered,
		QueueMs:          e.QueueTime.Milliseconds(),
		FirstTokenMs:     e.TTFT.Milliseconds(),
		EndMs:            e.TotalTime.Milliseconds(),
		TokenUs:          e.TokenTime.Microseconds(),
		TokensAhead:      int(math.Round(e.TokensAhead)),
		PrefillTokens:    int(math.Round(e.PrefillTokens)),
		CachedTokens:     e.CachedTokens,
		InFlight:         e.InFlight,
		Running:          e.Running,
		Waiting:          e.Waiting,
		ReportMs:         -1,
		Slots:            e.Slots,
		Memory:           e.MemoryRatio,
		Endangered:       e.Endangered,
		Score:            e.Score,
		AtSlowStartLimit: e.PacedLateness > 0,
	}
	if e.ReportAge >= 0 {
		out.ReportMs = e.ReportAge.Milliseconds()
	}
	if !math.IsInf(e.LimitedCalls, 0) {
		// An infinite limit, where most endpoints start, limits nothing.
		out.SlowStartCalls = e.LimitedCalls
	}
	return out
}

// regions lists the own region and those that reported a load for the service.
func (x *routeExplainer) regions(r placement.Request) []operator.RouteRegion {
	own := explainedRegion(r.Local)
	switch {
	case !r.LocalAllowed:
		own.Excluded = "not_home"
	case r.Local.Endpoints == 0:
		own.Excluded = "no_endpoint"
	}
	out := []operator.RouteRegion{own}
	for _, reported := range x.snap.regionLoads[x.call.Target()] {
		shown := explainedRegion(reported.Load)
		at := slices.IndexFunc(r.Remote, func(l placement.Load) bool { return l.Region == reported.Region })
		switch {
		case at >= 0 && reported.Endpoints == 0:
			shown.Excluded = "no_endpoint"
		case at >= 0:
			shown = explainedRegion(r.Remote[at])
		default:
			shown.Excluded = x.regionExclusion(reported.Region)
		}
		shown.ReportMs = x.now.Sub(reported.reportedAt).Milliseconds()
		out = append(out, shown)
	}
	slices.SortFunc(out[1:], func(a, b operator.RouteRegion) int { return cmp.Compare(a.Region, b.Region) })
	return out
}

// regionExclusion returns why remoteLoads passes over a region that reported a load.
func (x *routeExplainer) regionExclusion(region string) string {
	c := x.call
	switch {
	case !c.Routed.Allows(region):
		return "not_home"
	case c.Routed.Pin.Set && !x.node.pools.index.regionServes(region, c.Target(), c.Routed.Pin):
		return "version"
	case len(x.snap.members.AcceptingVMs(region)) == 0:
		return "no_vm"
	default:
		return "disabled"
	}
}

func explainedRegion(l placement.Load) operator.RouteRegion {
	return operator.RouteRegion{
		Region:       l.Region,
		Endpoints:    l.Endpoints,
		FirstTokenMs: (l.TTFT + l.RoundTrip).Milliseconds(),
		EndMs:        (l.TotalTime + l.RoundTrip).Milliseconds(),
		RoundTripMs:  l.RoundTrip.Milliseconds(),
	}
}

// millisUntil returns the time until a moment; zero if there is none.
func millisUntil(at, now time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.Sub(now).Milliseconds()
}
