// Package routing selects an endpoint of a model or service for each call, using delayed
// load reports and the calls that this VM has in flight.
package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
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
	// Incarnation identifies the endpoint's process; zero if unknown.
	Incarnation int64
}

// Request describes a call to be routed.
type Request struct {
	// PrefixHash identifies the prompt prefix; zero means none.
	PrefixHash uint64
	// Prefixes are the shared prefixes of the prompt, shortest first, if the caller names
	// the prompt's parts.
	Prefixes     []Prefix
	PromptTokens int
	MaxTokens    int
	// AnswerTokens is the caller's estimate of the generated tokens; zero means no
	// estimate.
	AnswerTokens int
	Priority     call.Priority
	// QueueLevel is the call's level in an endpoint's queue; 0 is served first. Values of
	// call.QueueLevels or more count as the last level.
	QueueLevel int
	// Exclude holds the IDs of endpoints that were already tried; empty strings are
	// ignored.
	Exclude [2]string
	// Homes are the regions that may hold the prompt; empty means all.
	Homes []string
	// AllowExcluded allows an excluded endpoint if no other is available. It is set if the call
	// ran there and failed by itself, so that a retry may succeed.
	AllowExcluded bool
	// Tentative is set for a call that may not be sent to the chosen endpoint after all.
	// Confirm records the prefixes there once it is sent.
	Tentative bool

	// ringPrimary and ringSecondary are the prefix's endpoints on the hash ring.
	ringPrimary, ringSecondary *endpoint
	// fetchSource is the engine that holds most of the prompt.
	fetchSource fetchSource
}

// Choice is one call in flight at one endpoint. It must be released by Done exactly once.
type Choice struct {
	Endpoint fleet.Endpoint
	At       time.Time
	// QueueTime is the expected time in the endpoint's queue, TTFT the expected time to the
	// first token, and ServiceTime the expected time from the start of the prefill to the end
	// of the answer.
	QueueTime   time.Duration
	TTFT        time.Duration
	ServiceTime time.Duration
	// Affine is set if the endpoint is expected to have the prompt's prefix cached.
	Affine bool
	// FetchFrom is the address of an engine to fetch cached prefixes from; empty if a
	// fetch would not pay off.
	FetchFrom string
	// CachedTokens is the number of prompt tokens that need no prefill.
	CachedTokens int
	// ReportAge is the age of the endpoint's last load report; zero without one.
	ReportAge time.Duration
	// Probe is set on the single call that tests an endpoint after its backoff.
	Probe bool

	state *endpoint
	// predictedTTFT is TTFT in seconds without the endpoint's latency correction.
	predictedTTFT float64
	// tokensAhead is the expected number of tokens in the endpoint's prefill queue before
	// this call, promptID the call's entry in that queue.
	tokensAhead float64
	promptID    uint64
	// queued is set if the call is expected to wait for a slot.
	queued bool
	// prefillTokens is the expected number of the call's own tokens to prefill;
	// prefixesKnown is set if it was computed from named prefixes.
	prefillTokens float64
	prefixesKnown bool
	// occupancy is the expected number of calls at the endpoint, including this one.
	occupancy float64
	hasPrefix bool
	maxTokens int
	// yields is set for a call that is queued behind all calls that can still be on time.
	yields bool
}

// Outcome is the result of a call as reported to Done.
type Outcome struct {
	// Code is the call's result. Zero and codes that say nothing about the endpoint leave
	// its estimates unchanged.
	Code  result.Code
	Usage call.Usage
	// Sent is false if nothing reached the endpoint.
	Sent bool
	// Canceled is set if the caller canceled the call; its outcome is ignored.
	Canceled bool
	// EndpointError is set if the endpoint ran the call and returned an error, which may be
	// the call's own fault.
	EndpointError bool
	// FirstAt is when the first token or byte of the answer arrived; zero if none did.
	FirstAt time.Time
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
	// eligible endpoints accept calls; ejected ones are in backoff.
	eligible       []*endpoint
	ejected        []*endpoint
	ring           ring
	nextRoundRobin int
	estimates      estimates
	totals         poolTotals
	// prefixHolders maps a prefix hash to the engine that was last sent a call with it.
	prefixHolders map[uint64]*endpoint
	remote        remoteEngines
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
		remote: remoteEngines{
			holders: map[uint64]Holding{},
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
	r := p.ringFor(list)
	byID := make(map[string]*endpoint, len(list))
	endpoints := make([]*endpoint, 0, len(list))
	for _, listed := range list {
		e, ok := p.byID[listed.ID]
		switch {
		case !ok || e.Addr != listed.Addr:
			e = newEndpoint(listed)
		case listed.Incarnation > e.Incarnation:
			e = newIncarnation(listed, now)
		default:
			// The list may be older than the incarnation that the endpoint reported.
			listed.Incarnation = e.Incarnation
		}
		e.Endpoint = listed
		byID[listed.ID] = e
		endpoints = append(endpoints, e)
	}
	for _, old := range p.endpoints {
		if byID[old.ID] != old {
			old.unlist()
		}
	}
	p.byID = byID
	p.endpoints = endpoints
	p.ring = r
	p.ring.bind(endpoints)
	p.rebuildEligible(now)
}

// ringFor reuses the ring if the list has the same endpoints, as building one sorts
// pointsPerEndpoint entries for each.
func (p *Pool) ringFor(list []fleet.Endpoint) ring {
	same := slices.EqualFunc(p.endpoints, list, func(e *endpoint, listed fleet.Endpoint) bool {
		return e.ID == listed.ID
	})
	if same {
		return p.ring
	}
	return newRing(list)
}

// rebuildEligible sorts all endpoints into eligible and ejected ones and recomputes the
// totals.
func (p *Pool) rebuildEligible(now time.Time) {
	p.eligible = make([]*endpoint, 0, len(p.endpoints))
	p.ejected = make([]*endpoint, 0, len(p.endpoints))
	p.totals = poolTotals{}
	for _, e := range p.endpoints {
		e.contribution = contribution{}
		e.eligibleIndex = -1
		switch {
		case e.draining():
		case e.ejected():
			p.ejected = append(p.ejected, e)
		default:
			p.addEligible(e)
		}
		p.updateTotals(e, now)
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
	p.clearSuspicion(e, l.At)
	p.estimates.updateLoadShare(float64(e.ownInReport), float64(l.Running+l.Waiting), p.vms)
	switch {
	case e.draining() && e.eligibleIndex >= 0:
		p.removeEligible(e)
	case !e.draining() && !e.ejected() && e.eligibleIndex < 0:
		p.addEligible(e)
	}
	p.updateTotals(e, now)
}

// Done releases a choice and updates the estimates from its outcome.
func (p *Pool) Done(c Choice, o Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := c.state
	if e == nil {
		return
	}
	e.callEnded(now)
	e.prefillQueue.remove(c.promptID, now)
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
	p.queueChanges++
	c.state.progressAt = now
	first := now.Sub(c.At).Seconds()
	if c.prefixesKnown && !c.queued && first > p.estimates.baseTTFT.value {
		p.estimates.prefillRate.add(c.tokensAhead+c.prefillTokens, first-p.estimates.baseTTFT.value)
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
