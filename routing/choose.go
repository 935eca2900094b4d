package routing

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// candidate is an endpoint with its estimates for a request; times are in seconds.
type candidate struct {
	endpoint      *endpoint
	wait          float64
	predictedTTFT float64
	ttft          float64
	score         float64
	// prefillTokens is the part of the prompt to prefill, tokensAhead the queue before
	// it.
	prefillTokens float64
	tokensAhead   float64
	affine        bool
	// cachedTokens of the prompt need no prefill; fetchedTokens of them come from another
	// engine.
	cachedTokens  int
	fetchedTokens int
	// occupancy is the expected number of calls at the endpoint, including this one.
	occupancy float64
	memory    memoryForecast
	// endangered is the number of streams that would miss their deadline by this prompt.
	endangered int
	// pacedLateness is how late the first token is expected because the endpoint is at its
	// slow-start limit. passedOver is set if a limit changed the choice.
	pacedLateness float64
	passedOver    bool
}

// Choose selects an endpoint and counts the call in flight there. It returns false if no
// endpoint accepts calls. It does not allocate.
func (p *Pool) Choose(r Request, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resolvePrefix(&r, now)
	if e := p.dueProbe(r, now); e != nil {
		e.probing = true
		choice := p.assign(p.evaluate(e, r, now), r, now)
		choice.Probe = true
		return choice, true
	}
	c, ok := p.pick(r, now)
	if !ok && r.AllowExcluded {
		r.Exclude = [2]string{}
		c, ok = p.pick(r, now)
	}
	if !ok {
		return Choice{}, false
	}
	return p.assign(c, r, now), true
}

// resolvePrefix sets the request's ring endpoints and fetch source.
func (p *Pool) resolvePrefix(r *Request, now time.Time) {
	r.ringPrimary, r.ringSecondary = p.ring.lookup(r.PrefixHash)
	p.moveFromSlow(r, now)
	r.fetchSource = p.findSource(r.ringPrimary, *r, now)
	r.checksMemory = !p.without.Memory
	r.laterFraction = p.laterFraction(r.clampedQueueLevel(), now)
}

// assign counts the call in flight at the candidate.
func (p *Pool) assign(c candidate, r Request, now time.Time) Choice {
	choice := p.newChoice(c, r, now)
	p.startMemory(c, r, now)
	c.endpoint.callStarted(choice.yields, now)
	c.endpoint.useConn(now)
	p.estimates.prefillTokens.add(c.prefillTokens, sampleWeight)
	choice.promptID = c.endpoint.prefillQueue.add(c.prefillTokens, r.clampedQueueLevel(), now)
	c.endpoint.streams.add(choice.promptID, p.expectedAnswer(r), r.Deadline)
	p.queueChanges++
	if !r.Tentative {
		p.recordHolder(c.endpoint, r.Prefixes, now)
	}
	p.countPaced(c)
	p.estimates.updateLongMaxTokens(r.MaxTokens)
	p.updateTotals(c.endpoint, now)
	return choice
}

// dueProbe returns an endpoint whose backoff has ended and that is not being probed.
// While other endpoints are eligible, an urgent call is used as the probe only if no
// other call was for another backoff.
func (p *Pool) dueProbe(r Request, now time.Time) *endpoint {
	for _, e := range p.ejected {
		due := e.retryAt
		if r.Priority == call.PriorityUrgent && len(p.eligible) > 0 {
			due = due.Add(e.backoff)
		}
		if !e.probing && !now.Before(due) && !e.draining() && !e.paused(now) && !r.excludes(e) {
			return e
		}
	}
	return nil
}

func (p *Pool) pick(r Request, now time.Time) (candidate, bool) {
	switch {
	case len(p.eligible) == 0:
		return candidate{}, false
	case p.policy == PolicyRoundRobin:
		return p.pickRoundRobin(r, now)
	case p.policy == PolicyLeastInFlight:
		return p.pickLeastInFlight(r, now)
	default:
		return p.pickAffinity(r, now)
	}
}

func (p *Pool) pickRoundRobin(r Request, now time.Time) (candidate, bool) {
	for range p.eligible {
		p.nextRoundRobin++
		e := p.eligible[p.nextRoundRobin%len(p.eligible)]
		if !e.paused(now) && !r.excludes(e) {
			return p.evaluate(e, r, now), true
		}
	}
	return candidate{}, false
}

func (p *Pool) pickLeastInFlight(r Request, now time.Time) (candidate, bool) {
	var best *endpoint
	offset := p.randomIndex()
	for i := range p.eligible {
		e := p.eligible[(offset+i)%len(p.eligible)]
		if !e.paused(now) && !r.excludes(e) && (best == nil || e.inFlight < best.inFlight) {
			best = e
		}
	}
	if best == nil {
		return candidate{}, false
	}
	return p.evaluate(best, r, now), true
}

// pickAffinity evaluates the prefix's fetch source and ring endpoints and a random
// sample.
func (p *Pool) pickAffinity(r Request, now time.Time) (candidate, bool) {
	p.advancePaces(now)
	var best candidate
	if len(p.eligible) <= maxFullScan {
		p.considerAll(&best, r, now)
		return best, best.endpoint != nil
	}
	p.consider(&best, r.fetchSource.endpoint, r, now)
	p.consider(&best, r.ringPrimary, r, now)
	p.consider(&best, r.ringSecondary, r, now)
	for _, e := range p.connected {
		p.consider(&best, e, r, now)
	}
	for i := range randomCandidates + extraCandidates {
		if i >= randomCandidates && best.endpoint != nil && best.wait == 0 && best.pacedLateness == 0 {
			break
		}
		p.consider(&best, p.eligible[p.randomIndex()], r, now)
	}
	if best.endpoint == nil {
		p.considerAll(&best, r, now)
	}
	return best, best.endpoint != nil
}

// considerAll evaluates all eligible endpoints, starting at a random one.
func (p *Pool) considerAll(best *candidate, r Request, now time.Time) {
	offset := p.randomIndex()
	for i := range p.eligible {
		p.consider(best, p.eligible[(offset+i)%len(p.eligible)], r, now)
	}
}

// consider replaces best by e if e has a lower score and room for the call.
func (p *Pool) consider(best *candidate, e *endpoint, r Request, now time.Time) {
	if e == nil || e.eligibleIndex < 0 || e.paused(now) || r.excludes(e) {
		return
	}
	c := p.evaluate(e, r, now)
	p.setPacing(&c)
	improve(best, c)
}

func (p *Pool) randomIndex() int {
	return int(p.rand() % uint64(len(p.eligible)))
}

// evaluate estimates the latency and score of an endpoint for a request.
func (p *Pool) evaluate(e *endpoint, r Request, now time.Time) candidate {
	slots := e.slots()
	occupied := e.occupancy(p.estimates.loadShare, now)
	slotTime := p.slotSeconds(e)
	// Calls of a later queue level do not delay this one in the queue.
	behind := float64(e.prefillQueue.callsBehind(r.clampedQueueLevel(), now))
	queued := max(max(occupied+1-slots, e.reportedQueue(now))-behind, 0) * (1 - r.laterFraction)
	isPrimary := e == r.ringPrimary
	cached, fetched := e.cachedTokens(r, now)
	silentPeers := p.silentPeerFraction(now)
	rate := p.prefillRate(e, silentPeers)
	tokens := p.estimatePrefill(r, isPrimary)
	if len(r.Prefixes) > 0 {
		tokens = float64(max(r.PromptTokens-cached, 0)) + fetchCostFactor*float64(fetched)
	}
	memory := p.forecastMemory(e, p.memoryNeed(r, cached-fetched, isPrimary), now)
	wait := max(queued*slotTime/slots, memory.wait)
	ahead := e.tokensAhead(r.clampedQueueLevel(), p.estimates.loadShare, silentPeers, rate, now)
	prefill := p.estimates.baseTTFT.value + tokens/rate
	predicted := wait + ahead/rate + prefill
	lateness := max(e.currentBias(now)-latenessTolerance*p.estimates.meanLateness.valueOr(0), e.stallSeconds(slotTime, now), 0)
	if p.without.LatencyCorrection {
		lateness = 0
	}
	weight := prefillWeight
	if p.without.Affinity {
		weight = 1
	}
	connect := 0.0
	if len(p.eligible) > maxFullScan && !e.hasIdleConn(now) {
		connect = connectSeconds
	}
	endangered := p.endangeredStreams(e, wait, tokens/rate, now)
	return candidate{
		endpoint:      e,
		wait:          wait,
		predictedTTFT: predicted,
		ttft:          predicted + lateness,
		score:         predicted + connect + lateness + (weight-1)*prefill + weight*memory.lacking/rate + loadWeight*slotTime*occupied/slots + endangeredWeight*float64(endangered),
		prefillTokens: tokens,
		tokensAhead:   ahead,
		affine:        isPrimary,
		cachedTokens:  cached,
		fetchedTokens: fetched,
		occupancy:     occupied + 1,
		memory:        memory,
		endangered:    endangered,
	}
}

// slotSeconds returns the time that a call occupies a slot of the endpoint.
func (p *Pool) slotSeconds(e *endpoint) float64 {
	return e.slotTime.valueOr(p.estimates.slotTime.valueOr(defaultSlotSeconds))
}

// cachedTokens returns how many tokens of the prompt need no prefill at the endpoint, and
// how many of them it has to fetch.
func (e *endpoint) cachedTokens(r Request, now time.Time) (cached, fetched int) {
	local := e.prefixCache.cachedTokens(r.Prefixes, now)
	cached = local
	if e == r.ringPrimary && len(r.Prefixes) > 0 {
		// Other VMs send calls with this prefix there too.
		cached = r.Prefixes[len(r.Prefixes)-1].Tokens
	}
	if r.fetchSource.endpoint == e || r.fetchSource.tokens < local+minFetchTokens {
		return cached, 0
	}
	return max(cached, r.fetchSource.tokens), r.fetchSource.tokens - local
}

// estimatePrefill returns the expected number of tokens to prefill if the prompt's
// prefixes are not named.
func (p *Pool) estimatePrefill(r Request, affine bool) float64 {
	tokens := float64(r.PromptTokens)
	if affine {
		tokens *= 1 - p.estimates.cachedFraction.valueOr(defaultCachedFraction)
	}
	return tokens
}

func (p *Pool) newChoice(c candidate, r Request, now time.Time) Choice {
	service := c.predictedTTFT - c.wait + p.expectedAnswer(r)*p.tokenSeconds(c, now)
	var reportAge time.Duration
	if !c.endpoint.reportedAt.IsZero() {
		reportAge = now.Sub(c.endpoint.reportedAt)
	}
	fetchFrom := ""
	if c.fetchedTokens > 0 {
		fetchFrom = r.fetchSource.addr
	}
	return Choice{
		FetchFrom:       fetchFrom,
		CachedTokens:    c.cachedTokens,
		ReportAge:       reportAge,
		Endpoint:        c.endpoint.Endpoint,
		At:              now,
		QueueTime:       seconds(c.ttft - c.predictedTTFT + c.wait),
		TTFT:            seconds(c.ttft),
		ServiceTime:     seconds(service),
		Affine:          c.affine,
		state:           c.endpoint,
		predictedTTFT:   c.predictedTTFT,
		tokensAhead:     c.tokensAhead,
		queued:          c.wait > 0,
		prefillTokens:   c.prefillTokens,
		prefixesKnown:   len(r.Prefixes) > 0,
		occupancy:       c.occupancy,
		memoryNeed:      c.memory.need,
		MemoryRatio:     c.memory.ratio,
		EngineTokenTime: c.endpoint.reportedTokenTime(now),
		hasPrefix:       r.PrefixHash != 0,
		maxTokens:       r.MaxTokens,
		yields:          call.IsLateLevel(r.clampedQueueLevel()),
	}
}

// tokenSeconds returns the expected time per generated token, in seconds.
func (p *Pool) tokenSeconds(c candidate, now time.Time) float64 {
	if each, ok := p.measuredTokenSeconds(c, now); ok {
		return each
	}
	return 1 / c.endpoint.decodeRate.valueOr(p.estimates.decodeRate.valueOr(defaultDecodeRate))
}

// measuredTokenSeconds is the same from measurements only; ok is false without any.
func (p *Pool) measuredTokenSeconds(c candidate, now time.Time) (each float64, ok bool) {
	if each, ok = p.reportedTokenSeconds(c.endpoint, c.occupancy, now); ok {
		return each, true
	}
	return p.ownTokenSeconds(c.endpoint, c.occupancy, now)
}

// ownTokenSeconds is the same from this VM's measurements only: on its open streams at the
// endpoint, or else at all endpoints with so many calls.
func (p *Pool) ownTokenSeconds(e *endpoint, occupancy float64, now time.Time) (each float64, ok bool) {
	if each, ok = e.livePace.perToken(now); ok && !p.without.LiveTokenTime {
		return each, true
	}
	return p.estimates.tokenTime.predict(occupancy)
}

// expectedAnswer is the expected number of generated tokens.
func (p *Pool) expectedAnswer(r Request) float64 {
	if r.AnswerTokens > 0 {
		return float64(min(r.AnswerTokens, r.MaxTokens))
	}
	return float64(r.MaxTokens) * p.estimates.answerFraction.valueOr(defaultAnswerFraction)
}

// longAnswerTokens is the 90th percentile of the number of generated tokens.
func (p *Pool) longAnswerTokens(r Request) float64 {
	if r.AnswerTokens > 0 {
		return float64(min(int(longAnswerFactor*float64(r.AnswerTokens)), r.MaxTokens))
	}
	return p.estimates.longMaxTokens * p.estimates.answerFraction.valueOr(defaultAnswerFraction)
}

// longAnswerFactor is the 90th percentile of an answer's length relative to the caller's
// estimate.
const longAnswerFactor = 1.9

// clampedQueueLevel returns the call's queue level, limited to the valid ones.
func (r Request) clampedQueueLevel() int {
	return min(max(r.QueueLevel, 0), call.QueueLevels-1)
}

func (r Request) excludes(e *endpoint) bool {
	return e.ID == r.Exclude[0] || e.ID == r.Exclude[1] || !r.Pin.Allows(e.Endpoint) || (r.checksMemory && r.exceeds(e))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
