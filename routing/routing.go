// Package routing selects an endpoint of a model or service for each call, using delayed
// load reports and the calls that this VM has in flight.
package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Routing policies. PolicyAffinity is the default; the others are baselines for
// comparison.
const (
	PolicyAffinity      = "affinity"
	PolicyRoundRobin    = "round_robin"
	PolicyLeastInFlight = "least_in_flight"
)

// Options configures a Pool.
type Options struct {
	// Policy is one of the Policy constants; empty means PolicyAffinity.
	Policy string
	// Rand returns 64 random bits; nil means math/rand/v2.
	Rand func() uint64
	// Disabled disables individual mechanisms, for ablation tests.
	Disabled DisabledFeatures
	// SlowStart limits the calls to endpoints that start or recover, under PolicyAffinity.
	SlowStart SlowStartOptions
}

// DisabledFeatures lists the mechanisms to disable.
type DisabledFeatures struct {
	// Affinity is the extra score weight of prefill work, which favours endpoints that
	// have the prompt prefix cached.
	Affinity bool
	// CacheFetch are prefix cache transfers between engines, RemoteCacheFetch only those from
	// other regions.
	CacheFetch       bool
	RemoteCacheFetch bool
	// LiveTokenTime is the time per token measured on open streams.
	LiveTokenTime bool
	// Backoff is the backoff of failing endpoints.
	Backoff bool
	// LatencyCorrection are the latency corrections of endpoints whose first tokens were late.
	LatencyCorrection bool
	// Memory is the estimate of engines' memory.
	Memory bool
	// PaceGuard keeps prompts from engines whose streams would end late by them.
	PaceGuard bool
	// EnginePace is the time per generated token and the queue that engines report.
	EnginePace bool
}

// Load is one load report of an endpoint. It is out of date by the report's delay.
type Load struct {
	// At is the time of measurement by the endpoint's clock.
	At              time.Time
	Slots           int
	Running         int
	Waiting         int
	QueuedTokens    int
	TokensPerSecond float64
	Leaving         bool
	// CacheUsed and CacheTokens are the used and total size of the engine's KV cache in
	// tokens; zero if the endpoint does not report them.
	CacheUsed   int
	CacheTokens int
	// TokenTime is the time per generated token of all streams at the engine; zero if unknown.
	TokenTime time.Duration
	// NextTokens is the number of tokens of the first waiting prompt; zero if unknown.
	NextTokens int
	// Incarnation identifies the endpoint's process; zero if unknown.
	Incarnation int64
}

// Pool holds the endpoints of one model or service. It is safe for concurrent use.
type Pool struct {
	policy  string
	rand    func() uint64
	without DisabledFeatures

	mu        sync.Mutex
	vms       int
	endpoints []*endpoint
	byID      map[string]*endpoint
	// eligible endpoints accept calls; ejected ones are in backoff, draining ones included.
	eligible       []*endpoint
	ejected        []*endpoint
	ring           ring
	nextRoundRobin int
	connected      connectedEndpoints
	estimates      estimates
	totals         poolTotals
	// prefixHolders maps a prefix hash to the engine that was last sent a call with it.
	prefixHolders map[uint64]*endpoint
	remote        remoteEngines
	pacing        pacing
	// queueChanges counts changes to the prefill queues of this VM's calls. peersHeardAt
	// is when each other VM last reported its queues.
	queueChanges uint64
	peersHeardAt map[string]time.Time
}

// New returns an empty Pool. An unknown policy is treated as PolicyAffinity.
func New(o Options) *Pool {
	if o.Rand == nil {
		o.Rand = rand.Uint64
	}
	return &Pool{
		policy:        o.Policy,
		rand:          o.Rand,
		without:       o.Disabled,
		vms:           1,
		byID:          map[string]*endpoint{},
		estimates:     newEstimates(),
		prefixHolders: map[uint64]*endpoint{},
		peersHeardAt:  map[string]time.Time{},
		pacing: pacing{
			options: o.SlowStart,
			vms:     []string{o.SlowStart.VM},
		},
		remote: remoteEngines{
			endpoints: map[string]fleet.Endpoint{},
			holders:   map[uint64]Holding{},
		},
	}
}

// SetVMs sets the number of VMs in the region that route to the same endpoints.
func (p *Pool) SetVMs(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n = max(n, 1); n == p.vms {
		return
	}
	p.vms = n
	p.estimates.loadShare = 1 / float64(p.vms)
}

// SetEndpoints replaces the list of endpoints. Endpoints that are draining or no longer
// listed get no new calls; calls in flight there stay counted.
func (p *Pool) SetEndpoints(list []fleet.Endpoint, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
	}
	for _, e := range slices.Clone(p.endpoints) {
		if !listed[e.ID] {
			p.remove(e, now)
		}
	}
	ordered := make([]*endpoint, 0, len(list))
	for _, listed := range list {
		e := p.put(listed, now)
		e.listIndex = len(ordered)
		ordered = append(ordered, e)
	}
	p.endpoints = ordered
	p.rebuildEligible(now)
}

// Update adds or changes some of the listed endpoints and removes others, at a cost that
// does not depend on how many are listed.
func (p *Pool) Update(changed []fleet.Endpoint, removed []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range removed {
		if e := p.byID[id]; e != nil {
			p.remove(e, now)
		}
	}
	for _, listed := range changed {
		p.updateEligibility(p.put(listed, now), now)
	}
}

// put lists an endpoint or updates it. The caller updates its eligibility.
func (p *Pool) put(listed fleet.Endpoint, now time.Time) *endpoint {
	old := p.byID[listed.ID]
	switch {
	case old == nil:
		e := newEndpoint(listed)
		p.byID[e.ID] = e
		e.listIndex = len(p.endpoints)
		p.endpoints = append(p.endpoints, e)
		p.ring.add(e)
		return e
	case old.Addr != listed.Addr:
		return p.replace(old, newEndpoint(listed), now)
	case listed.Incarnation > old.Incarnation:
		return p.replace(old, newIncarnation(listed, now), now)
	default:
		// The list may be older than the incarnation that the endpoint reported.
		if listed.Incarnation != 0 && listed.Incarnation < old.Incarnation {
			listed.SoftwareVersion = old.SoftwareVersion
		}
		listed.Incarnation = old.Incarnation
		old.Endpoint = listed
		return old
	}
}

// replace puts e in the place of an endpoint with the same ID. Calls in flight end at the
// old one.
func (p *Pool) replace(old, e *endpoint, now time.Time) *endpoint {
	p.unlist(old, now)
	p.byID[e.ID] = e
	e.listIndex = old.listIndex
	p.endpoints[e.listIndex] = e
	p.ring.replace(old, e)
	if old.Incarnation != 0 && e.Incarnation > old.Incarnation {
		p.beginPace(e, PaceRestarted, now)
	}
	return e
}

func (p *Pool) remove(e *endpoint, now time.Time) {
	p.unlist(e, now)
	delete(p.byID, e.ID)
	last := p.endpoints[len(p.endpoints)-1]
	p.endpoints[e.listIndex] = last
	last.listIndex = e.listIndex
	p.endpoints = p.endpoints[:len(p.endpoints)-1]
	p.ring.remove(e)
}

// unlist takes an endpoint out of the eligible and the ejected ones.
func (p *Pool) unlist(e *endpoint, now time.Time) {
	e.unlisted = true
	p.dropPace(e)
	p.updateEligibility(e, now)
	p.ejected = slices.DeleteFunc(p.ejected, func(other *endpoint) bool { return other == e })
}

// updateEligibility adds an endpoint to the eligible ones or removes it, and updates the
// totals.
func (p *Pool) updateEligibility(e *endpoint, now time.Time) {
	accepts := !e.draining() && !e.ejected()
	switch {
	case accepts && e.eligibleIndex < 0:
		p.addEligible(e)
	case !accepts && e.eligibleIndex >= 0:
		p.removeEligible(e)
	}
	p.updateTotals(e, now)
}

// rebuildEligible sorts all endpoints into eligible and ejected ones, in the order of the
// list, and recomputes the totals.
func (p *Pool) rebuildEligible(now time.Time) {
	p.eligible = make([]*endpoint, 0, len(p.endpoints))
	p.ejected = make([]*endpoint, 0, len(p.ejected))
	p.totals = poolTotals{}
	for _, e := range p.endpoints {
		e.contribution = contribution{}
		e.eligibleIndex = -1
		if e.ejected() {
			p.ejected = append(p.ejected, e)
		}
		p.updateEligibility(e, now)
	}
}

// Report applies a load report of one endpoint. Reports that are not newer than the last
// one are ignored.
func (p *Pool) Report(id string, l Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.byID[id]
	if !ok {
		return
	}
	if l.Incarnation > e.Incarnation {
		e = p.restartEndpoint(e, l.Incarnation, now)
	}
	if !l.isCurrentFor(e) || !e.applyReport(l, now) {
		return
	}
	p.learnReportedPace(e)
	p.clearSuspicion(e, l.At)
	p.estimates.updateLoadShare(float64(e.ownInReport), float64(l.Running+l.Waiting), p.vms)
	p.updateEligibility(e, now)
}

// Done releases a choice and updates the estimates from its outcome.
func (p *Pool) Done(c Choice, o Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := c.state
	if e == nil {
		return
	}
	e.memory.change(-c.memoryNeed, now)
	e.callEnded(c.yields, now)
	if o.Code == result.Done && o.Sent && !o.Canceled {
		p.connected.add(e, now)
	}
	e.prefillQueue.remove(c.promptID, now)
	e.streams.remove(c.promptID)
	p.queueChanges++
	if c.Probe {
		e.probing = false
	}
	if !o.Canceled {
		p.learnOutcome(e, c, o, now)
	}
	p.updateTotals(e, now)
}

// FirstToken records that the first token of a call's answer arrived, so that its prefill is
// done.
func (p *Pool) FirstToken(c Choice, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.state == nil {
		return
	}
	c.state.prefillQueue.remove(c.promptID, now)
	c.state.streams.update(c.promptID, 0)
	p.queueChanges++
	c.state.progressAt = now
	p.paceFirstToken(c, now, now)
	c.state.firstTokenAt = now
	first := now.Sub(c.At).Seconds()
	// A call that yields also waits for calls that came after it, which are not known where
	// other VMs do not report their queues.
	yields := c.yields && p.silentPeerFraction(now) > 0
	if c.prefixesKnown && !c.queued && !yields && first > p.estimates.baseTTFT.value {
		p.estimates.prefillRate.add(c.tokensAhead+c.prefillTokens, first-p.estimates.baseTTFT.value)
		c.state.prefillRate.add(c.tokensAhead+c.prefillTokens, first-p.estimates.baseTTFT.value)
	}
}

func (p *Pool) addEligible(e *endpoint) {
	e.eligibleIndex = len(p.eligible)
	p.eligible = append(p.eligible, e)
}

// removeEligible removes an endpoint from the eligible ones in constant time; their order
// changes.
func (p *Pool) removeEligible(e *endpoint) {
	last := p.eligible[len(p.eligible)-1]
	p.eligible[e.eligibleIndex] = last
	last.eligibleIndex = e.eligibleIndex
	p.eligible = p.eligible[:len(p.eligible)-1]
	e.eligibleIndex = -1
}
