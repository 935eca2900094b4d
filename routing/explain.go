package routing

import (
	"cmp"
	"slices"
	"time"
)

// Exclusion says why an endpoint gets no calls.
type Exclusion string

// Exclusions of listed endpoints.
const (
	ExcludedDraining Exclusion = "draining"
	ExcludedBackoff  Exclusion = "backoff"
	ExcludedPaused   Exclusion = "paused"
	ExcludedVersion  Exclusion = "version"
	ExcludedMemory   Exclusion = "memory"
	ExcludedTried    Exclusion = "tried"
)

// ExplainedEndpoint is what a call that is sent now meets at one endpoint.
type ExplainedEndpoint struct {
	ID string
	// Exclusion is empty for a candidate. Until is when it ends; zero if that is not known.
	Exclusion Exclusion
	Until     time.Time
	// InFlight is the number of this VM's calls; Running and Waiting are the reported ones of
	// all VMs. ReportAge is negative without a report.
	InFlight  int
	Running   int
	Waiting   int
	ReportAge time.Duration
	// Slots is the number of batch slots.
	Slots float64

	// The other fields are the estimates of a candidate.

	// AlwaysConsidered is set if calls with this prompt consider the endpoint without drawing it.
	AlwaysConsidered bool
	// QueueTime is the expected time until the endpoint has a slot or memory for the call,
	// TTFT and TotalTime the times to the first token and to the end.
	QueueTime time.Duration
	TTFT      time.Duration
	TotalTime time.Duration
	TokenTime time.Duration
	// TokensAhead are the prompt tokens that are prefilled before the call, PrefillTokens its
	// own and CachedTokens those that need no prefill.
	TokensAhead   float64
	PrefillTokens float64
	CachedTokens  int
	Occupancy     float64
	MemoryRatio   float64
	Endangered    int
	Score         float64
	// LimitedCalls is the slow-start limit over all VMs, zero without one, and PacedLateness
	// how much later the first token is expected because this VM's part of it is in use.
	LimitedCalls  float64
	PacedLateness time.Duration
}

// Explanation is how a call would be routed in one pool.
type Explanation struct {
	// Endpoints are all listed endpoints, candidates with the lowest score first.
	Endpoints []ExplainedEndpoint
	// Chosen is the best candidate, or the endpoint in backoff that the call would probe;
	// empty if no endpoint accepts the call.
	Chosen string
	Probe  bool
	// RandomCandidates is the number of randomly drawn endpoints that a call considers besides
	// those that are always considered; zero if calls consider all.
	RandomCandidates int
	// Expectation is that of Expect for the best candidate. Expected is false without one.
	Expectation Expectation
	Expected    bool
}

// Explain evaluates all listed endpoints for a call under PolicyAffinity. It changes no state and
// draws no random number. In pools of more than maxFullScan eligible endpoints a call considers
// only some of them, so that it may go to another one than the best.
func (p *Pool) Explain(r Request, now time.Time) Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resolvePrefix(&r, now)
	x := explainer{
		pool:    p,
		request: r,
		now:     now,
	}
	for _, e := range p.pacing.endpoints {
		if pace := x.advancedPace(e); pace.Active() {
			x.limited++
		}
	}
	var out Explanation
	candidates := make(map[*endpoint]candidate, len(p.eligible))
	for _, e := range p.endpoints {
		explained, c := x.explain(e)
		if c.endpoint != nil {
			candidates[e] = c
		}
		out.Endpoints = append(out.Endpoints, explained)
	}
	var best candidate
	for _, e := range p.eligible {
		if c, ok := candidates[e]; ok {
			improve(&best, c)
		}
	}
	slices.SortFunc(out.Endpoints, compareExplained)
	if best.endpoint != nil {
		out.Chosen = best.endpoint.ID
		out.Expectation = p.expectation(best, r, now)
		out.Expected = true
	}
	if len(p.eligible) > maxFullScan {
		out.RandomCandidates = randomCandidates
	}
	if e := p.dueProbe(r, now); e != nil {
		out.Chosen = e.ID
		out.Probe = true
	}
	return out
}

// compareExplained orders candidates by score and the others after them, both then by ID.
func compareExplained(a, b ExplainedEndpoint) int {
	if (a.Exclusion == "") != (b.Exclusion == "") {
		if a.Exclusion == "" {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.ID, b.ID))
}

// explainer evaluates endpoints without changing them.
type explainer struct {
	pool    *Pool
	request Request
	now     time.Time
	// limited is the number of endpoints whose slow-start limit has not ended.
	limited int
}

// explain returns the estimates for an endpoint; the candidate has none if it is excluded.
func (x *explainer) explain(e *endpoint) (ExplainedEndpoint, candidate) {
	out := ExplainedEndpoint{
		ID:        e.ID,
		InFlight:  e.inFlight,
		Running:   e.load.Running,
		Waiting:   e.load.Waiting,
		ReportAge: -1,
		Slots:     e.slots(),
	}
	if !e.reportedAt.IsZero() {
		out.ReportAge = x.now.Sub(e.reportedAt)
	}
	out.Exclusion, out.Until = x.exclusion(e)
	if out.Exclusion != "" {
		return out, candidate{}
	}
	p, r := x.pool, x.request
	c := p.evaluate(e, r, x.now)
	out.LimitedCalls = x.setPacing(&c)
	expected := p.expectation(c, r, x.now)
	out.AlwaysConsidered = len(p.eligible) <= maxFullScan || e == r.fetchSource.endpoint || e == r.ringPrimary || e == r.ringSecondary || slices.Contains(p.connected, e)
	out.QueueTime = seconds(c.wait)
	out.TTFT = expected.TTFT
	out.TotalTime = expected.TotalTime()
	out.TokenTime = expected.TokenTime
	out.TokensAhead = c.tokensAhead
	out.PrefillTokens = c.prefillTokens
	out.CachedTokens = c.cachedTokens
	out.Occupancy = c.occupancy
	out.MemoryRatio = c.memory.ratio
	out.Endangered = c.endangered
	out.Score = c.score
	out.PacedLateness = seconds(c.pacedLateness)
	return out, c
}

// exclusion returns why an endpoint is no candidate, in the order in which routing checks it.
func (x *explainer) exclusion(e *endpoint) (reason Exclusion, until time.Time) {
	r := x.request
	switch {
	case e.draining():
		return ExcludedDraining, time.Time{}
	case e.ejected():
		return ExcludedBackoff, e.retryAt
	case e.paused(x.now):
		return ExcludedPaused, e.pausedUntil
	case e.ID == r.Exclude[0] || e.ID == r.Exclude[1]:
		return ExcludedTried, time.Time{}
	case !r.Pin.Allows(e.Endpoint):
		return ExcludedVersion, time.Time{}
	case r.excludes(e):
		return ExcludedMemory, time.Time{}
	default:
		return "", time.Time{}
	}
}

// advancedPace returns the slow-start limit of an endpoint after the round that is due, which
// calls apply before they choose.
func (x *explainer) advancedPace(e *endpoint) pace {
	advanced := e.pace
	if advanced.RoundEnded(x.now) && advanced.Advance(e.observation(), x.now) {
		return pace{}
	}
	return advanced
}

// setPacing is Pool.setPacing without a change of the limit, which it returns.
func (x *explainer) setPacing(c *candidate) (limit float64) {
	p, e := x.pool, c.endpoint
	pace := x.advancedPace(e)
	if !pace.Active() {
		return 0
	}
	calls := p.pacedCalls(pace, x.limited)
	c.pacedLateness = p.pacedLateness(calls, e)
	return calls
}
