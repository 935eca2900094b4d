package routing

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/slowstart"
)

// SlowStartOptions configure the slow start of endpoints.
type SlowStartOptions struct {
	// VM is the ID of this VM; empty disables slow start.
	VM string
	// OnChange is called when the limit of an endpoint begins, is cut or ends. It must not
	// block or call the pool.
	OnChange func(PaceChange)
}

// PaceReason is why the limit of an endpoint changed.
type PaceReason string

// Reasons of changes.
const (
	PaceStarted   PaceReason = "started"
	PaceRestarted PaceReason = "restarted"
	PaceWarm      PaceReason = "warm"
	PaceRecovered PaceReason = "recovered"
	PaceLate      PaceReason = "late"
	PaceFailed    PaceReason = "failed"
	PaceLifted    PaceReason = "lifted"
	PaceGone      PaceReason = "gone"
)

// PaceEvent is a kind of change.
type PaceEvent string

// Kinds of changes.
const (
	PaceBegan PaceEvent = "began"
	PaceCut   PaceEvent = "cut"
	PaceEnded PaceEvent = "ended"
)

// PaceChange is a change of an endpoint's limit.
type PaceChange struct {
	Event    PaceEvent
	Endpoint string
	Reason   PaceReason
	// Calls is the limit of the region, Part that of this VM.
	Calls float64
	Part  int
	// Cuts and BeganAt are those of the whole limitation.
	Cuts    int
	BeganAt time.Time
}

// PacedCalls counts calls by what the limits of endpoints meant for them.
type PacedCalls struct {
	// Within and Over went to a limited endpoint within this VM's part, and beyond it.
	// PassedOver went to another endpoint than without limits.
	Within, Over, PassedOver int64
}

const (
	// neighbourTolerance is how many times the mean lateness a first token may be late.
	// Lateness varies: of a neighbour's first tokens, an eighth exceeds twice the mean.
	neighbourTolerance = 4.0
	// queueDelayWeight is the weight of one call in the mean queueing delay.
	queueDelayWeight = 0.05
)

// pacing is the slow start of a pool's endpoints.
type pacing struct {
	options SlowStartOptions
	// vms are the VMs of the region that accept calls, this one included.
	vms       []string
	endpoints []*endpoint
	// dueAt is no later than the end of the first round that ends.
	dueAt time.Time
	calls PacedCalls
	// queueDelay is the expected queueing delay of the calls that go to endpoints without a
	// limit, in seconds.
	queueDelay average
}

// pace is the limit of one endpoint and this VM's rank among those that share it.
type pace struct {
	slowstart.Limit
	rank int
}

// SetAcceptingVMs sets the VMs of the region that accept calls, which share the limits.
func (p *Pool) SetAcceptingVMs(ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.pacing.options.VM
	if !slices.Contains(ids, own) {
		ids = append(slices.Clone(ids), own)
	}
	p.pacing.vms = ids
	for _, e := range p.pacing.endpoints {
		e.pace.rank = slowstart.Rank(e.ID, own, ids)
	}
}

// BeginSlowStart limits the calls to endpoints that begin to accept calls.
func (p *Pool) BeginSlowStart(ids []string, reason PaceReason, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if e := p.byID[id]; e != nil {
			p.beginPace(e, reason, now)
		}
	}
}

// AdvancePaced applies the ends of rounds, and returns the number of limited endpoints and the
// calls counted so far.
func (p *Pool) AdvancePaced(now time.Time) (limited int, calls PacedCalls) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advancePaces(now)
	return len(p.pacing.endpoints), p.pacing.calls
}

// advancePaces applies the ends of rounds of all endpoints, as the number of limited ones counts
// in each limit.
func (p *Pool) advancePaces(now time.Time) {
	if len(p.pacing.endpoints) == 0 || now.Before(p.pacing.dueAt) {
		return
	}
	var dueAt time.Time
	// From the last one, as limits that end are removed.
	for i := len(p.pacing.endpoints) - 1; i >= 0; i-- {
		e := p.pacing.endpoints[i]
		p.advancePace(e, now)
		if e.pace.Active() && (dueAt.IsZero() || e.pace.RoundEndsAt().Before(dueAt)) {
			dueAt = e.pace.RoundEndsAt()
		}
	}
	p.pacing.dueAt = dueAt
}

func (p *Pool) beginPace(e *endpoint, reason PaceReason, now time.Time) {
	if p.pacing.options.VM == "" || e.pace.Active() && reason != PaceRecovered {
		return
	}
	p.pacing.endpoints = withoutEndpoint(p.pacing.endpoints, e)
	e.pace = pace{
		Limit: slowstart.Begin(e.slots(), now),
		rank:  slowstart.Rank(e.ID, p.pacing.options.VM, p.pacing.vms),
	}
	if len(p.pacing.endpoints) == 0 || e.pace.RoundEndsAt().Before(p.pacing.dueAt) {
		p.pacing.dueAt = e.pace.RoundEndsAt()
	}
	p.pacing.endpoints = append(p.pacing.endpoints, e)
	p.reportPace(e, PaceBegan, reason)
}

// advancePace applies the end of a round.
func (p *Pool) advancePace(e *endpoint, now time.Time) {
	if !e.pace.RoundEnded(now) {
		return
	}
	before := e.pace
	if e.pace.Advance(e.observation(), now) {
		p.endPace(e, before, PaceLifted)
	}
}

// dropPace discards the limit of an endpoint that is gone.
func (p *Pool) dropPace(e *endpoint) {
	if e.pace.Active() {
		before := e.pace
		e.pace = pace{}
		p.endPace(e, before, PaceGone)
	}
}

func (p *Pool) endPace(e *endpoint, before pace, reason PaceReason) {
	p.pacing.endpoints = withoutEndpoint(p.pacing.endpoints, e)
	if p.pacing.options.OnChange != nil {
		p.pacing.options.OnChange(PaceChange{
			Event:    PaceEnded,
			Endpoint: e.ID,
			Reason:   reason,
			Cuts:     before.Cuts(),
			BeganAt:  before.BeganAt(),
		})
	}
}

func withoutEndpoint(list []*endpoint, e *endpoint) []*endpoint {
	return slices.DeleteFunc(list, func(other *endpoint) bool { return other == e })
}

func (p *Pool) reportPace(e *endpoint, event PaceEvent, reason PaceReason) {
	if p.pacing.options.OnChange == nil {
		return
	}
	p.pacing.options.OnChange(PaceChange{
		Event:    event,
		Endpoint: e.ID,
		Reason:   reason,
		Calls:    e.pace.Calls(),
		Part:     slowstart.Part(e.pace.Calls(), e.pace.rank, len(p.pacing.vms)),
		Cuts:     e.pace.Cuts(),
		BeganAt:  e.pace.BeganAt(),
	})
}

// observation returns what this VM knows of the endpoint's calls.
func (e *endpoint) observation() slowstart.Observation {
	reported := -1
	if !e.reportedAt.IsZero() {
		reported = e.load.Running + e.load.Waiting
	}
	return slowstart.Observation{
		OwnCalls: e.inFlight,
		Reported: reported,
	}
}

// setPacing sets what the endpoint's limit means for one more call.
func (p *Pool) setPacing(c *candidate) {
	if e := c.endpoint; e.pace.Active() {
		c.pacedLateness = p.pacedLateness(p.pacedCalls(e.pace, len(p.pacing.endpoints)), e)
	}
}

// pacedCalls returns the limit of an endpoint while the given number of endpoints is limited.
func (p *Pool) pacedCalls(limit pace, limited int) float64 {
	return max(limit.Calls(), slowstart.Least(p.meanCalls(), p.pacing.queueDelay.value, limited, len(p.eligible)))
}

// pacedLateness returns what a limit of so many calls means for one more call.
func (p *Pool) pacedLateness(calls float64, e *endpoint) float64 {
	return slowstart.ExpectedLateness(calls, e.pace.rank, len(p.pacing.vms), e.inFlight)
}

// meanCalls estimates the calls in flight of all VMs at an endpoint, on average.
func (p *Pool) meanCalls() float64 {
	return float64(p.totals.own) / p.estimates.loadShare / float64(len(p.eligible))
}

// improve replaces the best candidate if c is better.
func improve(best *candidate, c candidate) {
	if best.endpoint == nil {
		*best = c
		return
	}
	better := c.betterThan(best)
	changed := best.passedOver || better != (c.score < best.score)
	if better {
		*best = c
	}
	best.passedOver = changed
}

// betterThan compares two candidates by their scores. An endpoint at its limit is passed over
// for one with room, unless that one's queue is expected to delay the first token for longer.
func (c *candidate) betterThan(other *candidate) bool {
	switch cOver, otherOver := c.pacedLateness > 0, other.pacedLateness > 0; {
	case cOver == otherOver:
		return c.score+c.pacedLateness < other.score+other.pacedLateness
	case cOver:
		return c.outruns(other)
	default:
		return !other.outruns(c)
	}
}

// outruns reports whether a candidate at its limit is better than one with room.
func (c *candidate) outruns(other *candidate) bool {
	return c.score < other.score && c.ttft+c.pacedLateness < other.ttft
}

// countPaced counts a call that is sent to the candidate.
func (p *Pool) countPaced(c candidate) {
	switch {
	case c.pacedLateness > 0:
		p.pacing.calls.Over++
	case c.endpoint.pace.Active():
		p.pacing.calls.Within++
	case c.passedOver:
		p.pacing.calls.PassedOver++
	}
	if !c.endpoint.pace.Active() {
		p.pacing.queueDelay.add(c.wait+c.tokensAhead/p.estimates.prefillRate.perSecond(), queueDelayWeight)
	}
}

// paceFirstToken judges an endpoint by the first token of a call.
func (p *Pool) paceFirstToken(c Choice, first, now time.Time) {
	e := c.state
	if c.Probe && e.ejected() && p.pacing.options.VM != "" {
		p.resumeFromProbe(e, now)
	}
	if !e.pace.Active() || c.yields {
		return
	}
	// An engine that starts holds nothing in its cache, whatever the ring makes of it.
	expected := c.predictedTTFT + float64(c.CachedTokens)/p.estimates.prefillRate.perSecond()
	lateness := first.Sub(c.At).Seconds() - expected
	if lateness <= slowstart.LatenessTolerance.Seconds()+neighbourTolerance*p.estimates.meanLateness.valueOr(0) {
		e.pace.Good(c.At)
		return
	}
	p.cutPace(e, c, PaceLate, now)
}

func (p *Pool) cutPace(e *endpoint, c Choice, reason PaceReason, now time.Time) {
	if e.pace.Bad(c.At, now) {
		p.reportPace(e, PaceCut, reason)
	}
}

// paceOutcome judges an endpoint by the end of a call.
func (p *Pool) paceOutcome(e *endpoint, c Choice, o Outcome, now time.Time) {
	if e.ejected() && e.suspectedAt.IsZero() {
		p.beginPace(e, PaceRecovered, now)
	}
	if o.FirstAt.IsZero() {
		e.pace.Good(c.At)
		return
	}
	p.paceFirstToken(c, o.FirstAt, now)
}

// resumeFromProbe ends a backoff at the first token of its probe, as slow start bounds what a
// further failure costs. Failures count on until the probe has ended well.
func (p *Pool) resumeFromProbe(e *endpoint, now time.Time) {
	failures, backoff := e.consecutiveFailures, e.backoff
	p.reinstate(e)
	e.consecutiveFailures = failures
	e.backoff = backoff
	p.beginPace(e, PaceRecovered, now)
	p.updateTotals(e, now)
}
