// Package routing chooses one endpoint of a model or service for each call,
// from load reports that lag and from the calls that this VM has in flight.
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

// The policies that Options names. PolicyAffinity is the default; the others
// are baselines to compare it with.
const (
	PolicyAffinity      = "affinity"
	PolicyRoundRobin    = "round_robin"
	PolicyLeastInFlight = "least_in_flight"
)

// Options are the settings of a Pool.
type Options struct {
	// Policy is one of the constants; empty means PolicyAffinity.
	Policy string
	// Rand returns random bits; nil means the runtime's generator.
	Rand func() uint64
	// Without switches mechanisms off, to measure what each is worth.
	Without Without
}

// Without are mechanisms that are switched off.
type Without struct {
	// Affinity weighs what an endpoint need not read of a prompt, beyond the time.
	Affinity bool
	// Fetches are those between endpoints, FarFetches those from other regions.
	Fetches    bool
	FarFetches bool
	// LivePace is the pace of streams under way.
	LivePace bool
	// BackOff is that of endpoints that fail.
	BackOff bool
	// Corrections are those of endpoints whose first tokens were late.
	Corrections bool
}

// Load is one load report of an endpoint. It lags behind the truth.
type Load struct {
	// At is when the endpoint took the figures.
	At              time.Time
	Slots           int
	Running         int
	Waiting         int
	QueuedTokens    int
	TokensPerSecond float64
	Leaving         bool
	// CacheUsed and CacheTokens are the engine's memory in tokens; zero where
	// the endpoint does not say.
	CacheUsed   int
	CacheTokens int
	// Incarnation is that of the endpoint, zero where it was not told.
	Incarnation int64
}

// Request is what the choice depends on.
type Request struct {
	// PrefixHash identifies the prompt prefix; zero means none.
	PrefixHash uint64
	// Prefixes are the beginnings of the prompt that others share, shortest
	// first, where the caller names them.
	Prefixes     []Prefix
	PromptTokens int
	MaxTokens    int
	// AnswerTokens is the caller's estimate of those that will be generated; zero means
	// that there is none.
	AnswerTokens int
	Priority     call.Priority
	// Turn is the call's place in the order at an endpoint, 0 first; those from
	// call.Turns on count as the last.
	Turn int
	// Exclude names endpoints that were tried already; empty strings mean none.
	Exclude [2]string
	// Homes are the regions that may hold the prompt; none means all.
	Homes []string
	// Again lets an excluded endpoint be chosen where no other takes work: the
	// call ran there and failed by itself, which the next run may not.
	Again bool
	// Tentative is set for a call that may yet not be sent where it is chosen to go.
	// Confirm notes what it leaves there once it is.
	Tentative bool

	// home and second are the prefix's endpoints, found once for each choice.
	home, second *endpoint
	// source is the engine that holds most of the prompt, found once for each choice.
	source source
}

// Choice is one call counted in flight at one endpoint. It must be given back
// by Done exactly once.
type Choice struct {
	Endpoint fleet.Endpoint
	At       time.Time
	// Wait is the expected time in the endpoint's queue, First the expected time
	// from sending to the first token, and Service the expected time from the
	// start of the prefill to the end of the answer.
	Wait    time.Duration
	First   time.Duration
	Service time.Duration
	// Affine is set when the endpoint is expected to hold the prompt's prefix.
	Affine bool
	// FetchFrom is the address of an engine that holds more of the prompt; empty
	// where none is worth asking.
	FetchFrom string
	// Cached is how many of the prompt's tokens need not be read.
	Cached int
	// ReportAge is how old the endpoint's last load report was; zero without one.
	ReportAge time.Duration
	// Probe is set on the single call that tests an endpoint after its back-off.
	Probe bool

	state *endpoint
	// predicted is First in seconds without the correction by observation.
	predicted float64
	// unread are the tokens that the endpoint was expected to read before, prompt the
	// number of the call's own among those that wait there.
	unread float64
	prompt uint64
	// queued says that the call was expected to wait for a slot.
	queued bool
	// tokens are those that it has to read of the call's prompt; known says that the
	// prompt's parts were named, so that this is no guess.
	tokens float64
	known  bool
	// occupied are the calls at the endpoint, this one included.
	occupied  float64
	prefix    bool
	maxTokens int
	// yields is set for a call that makes way for all that can be on time.
	yields bool
}

// Outcome is what became of a call, as far as routing learns from it.
type Outcome struct {
	// Code is zero, or one that is not the endpoint's, when nothing is to be learnt.
	Code  result.Code
	Usage call.Usage
	// Sent is false when nothing reached the endpoint.
	Sent bool
	// Canceled is set when the caller left; nothing is learnt from such a call.
	Canceled bool
	// Answered is set when the endpoint ran the call and answered with a failure
	// of its own, which may be the call's fault as well.
	Answered bool
	// FirstAt is when the first token or byte of the answer arrived, if any did.
	FirstAt time.Time
}

// Pool holds the endpoints of one target. It is safe for concurrent use.
type Pool struct {
	policy  string
	rand    func() uint64
	without Without

	mu        sync.Mutex
	vms       int
	endpoints []*endpoint
	byID      map[string]*endpoint
	// eligible are the endpoints that may get calls; ejected are in back-off.
	eligible []*endpoint
	ejected  []*endpoint
	ring     ring
	next     int
	learnt   learnt
	total    total
	// holders returns the engine that was last sent each prefix.
	holders map[uint64]*endpoint
	far     far
	// readingChanges counts the changes of the own prompts that wait, tellers when
	// other VMs last told theirs.
	readingChanges uint64
	tellers        map[string]time.Time
}

// New makes an empty Pool. An unknown policy is treated as PolicyAffinity.
func New(o Options) *Pool {
	if o.Rand == nil {
		o.Rand = rand.Uint64
	}
	return &Pool{
		policy:  o.Policy,
		rand:    o.Rand,
		without: o.Without,
		vms:     1,
		byID:    map[string]*endpoint{},
		learnt:  newLearnt(),
		holders: map[uint64]*endpoint{},
		tellers: map[string]time.Time{},
		far: far{
			holders: map[uint64]Holding{},
		},
	}
}

// SetVMs says how many VMs of the region choose among the same endpoints.
func (p *Pool) SetVMs(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n = max(n, 1); n == p.vms {
		return
	}
	p.vms = n
	p.learnt.share = 1 / float64(p.vms)
}

// SetEndpoints replaces the list. Endpoints that are no longer listed or are
// leaving get no new call from now on; calls in flight there stay counted.
func (p *Pool) SetEndpoints(list []fleet.Endpoint, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.ringOf(list)
	byID := make(map[string]*endpoint, len(list))
	endpoints := make([]*endpoint, 0, len(list))
	for _, listed := range list {
		e, ok := p.byID[listed.ID]
		switch {
		case !ok || e.Addr != listed.Addr:
			e = newEndpoint(listed)
		case listed.Incarnation > e.Incarnation:
			e = newLife(listed, now)
		default:
			// A list may be older than what the endpoint itself told.
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
	p.rebuild(now)
}

// ringOf keeps the ring where the list names the same endpoints, as it does when one
// becomes warm or leaves: of 80 endpoints it has 5,120 points to be sorted.
func (p *Pool) ringOf(list []fleet.Endpoint) ring {
	same := slices.EqualFunc(p.endpoints, list, func(e *endpoint, listed fleet.Endpoint) bool {
		return e.ID == listed.ID
	})
	if same {
		return p.ring
	}
	return newRing(list)
}

// rebuild sorts all endpoints into eligible and ejected and sums them up.
func (p *Pool) rebuild(now time.Time) {
	p.eligible = make([]*endpoint, 0, len(p.endpoints))
	p.ejected = make([]*endpoint, 0, len(p.endpoints))
	p.total = total{}
	for _, e := range p.endpoints {
		e.counted = counted{}
		e.place = -1
		switch {
		case e.leaves():
		case e.ejected():
			p.ejected = append(p.ejected, e)
		default:
			p.admit(e)
		}
		p.refresh(e, now)
	}
}

// Report takes a load report of one endpoint. A report that is not newer than
// the last one is ignored.
func (p *Pool) Report(id string, l Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.byID[id]
	if !ok {
		return
	}
	if l.Incarnation > e.Incarnation {
		e = p.restart(e, l.Incarnation, now)
	}
	if !l.describes(e) || !e.report(l, now) {
		return
	}
	p.confirm(e, l.At)
	p.learnt.learnShare(float64(e.ownAt), float64(l.Running+l.Waiting), p.vms)
	switch {
	case e.leaves() && e.place >= 0:
		p.remove(e)
	case !e.leaves() && !e.ejected() && e.place < 0:
		p.admit(e)
	}
	p.refresh(e, now)
}

// Done gives a choice back with its outcome, from which the pool learns.
func (p *Pool) Done(c Choice, o Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := c.state
	if e == nil {
		return
	}
	e.leave(now)
	e.reading.leave(c.prompt, now)
	p.readingChanges++
	if c.Probe {
		e.probing = false
	}
	if !o.Canceled {
		p.learn(e, c, o, now)
	}
	p.refresh(e, now)
}

// Began tells that the first token of a call's answer came: its prompt is read.
func (p *Pool) Began(c Choice, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.state == nil {
		return
	}
	c.state.reading.leave(c.prompt, now)
	p.readingChanges++
	c.state.progressAt = now
	first := now.Sub(c.At).Seconds()
	if c.known && !c.queued && first > p.learnt.base.value {
		p.learnt.read.add(c.unread+c.tokens, first-p.learnt.base.value)
	}
}

// admit makes an endpoint eligible.
func (p *Pool) admit(e *endpoint) {
	e.place = len(p.eligible)
	p.eligible = append(p.eligible, e)
}

// remove takes an endpoint out of the eligible ones.
func (p *Pool) remove(e *endpoint) {
	last := p.eligible[len(p.eligible)-1]
	p.eligible[e.place] = last
	last.place = e.place
	p.eligible = p.eligible[:len(p.eligible)-1]
	e.place = -1
}
