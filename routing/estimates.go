package routing

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// sampleWeight is the weight of a new sample in an average.
	sampleWeight = 0.1
	// maxSampleRatio caps a sample at a multiple of the average, so that one slow
	// endpoint does not change the estimate for all.
	maxSampleRatio = 4
	// cacheMissWeight is the weight of a cache miss in cachedFraction.
	cacheMissWeight = 0.01
	// biasWeight is the weight of a new sample in an endpoint's bias.
	biasWeight = 0.3
	// maxBiasSeconds bounds an endpoint's bias.
	maxBiasSeconds = 30.0
	// failureBiasSeconds is added to the bias on a failure.
	failureBiasSeconds = 0.5
	// errorAnswerBiasSeconds is added instead if the endpoint ran the call and returned
	// an error, which may be the call's own fault. If a service answers 14% of its calls
	// so, none of its endpoints is worse than the others.
	errorAnswerBiasSeconds = 0.02
	// loadShareWeight is the weight of a report in loadShare.
	loadShareWeight = 0.05
	// minDecodeTokens is the shortest answer that is used to measure the decode rate.
	minDecodeTokens = 8
	// minPrefillTokens is the shortest uncached prompt that is used to measure the
	// prefill rate.
	minPrefillTokens = 64

	defaultSlotSeconds    = 1.0
	defaultDecodeRate     = 50.0
	defaultTTFTSeconds    = 0.02
	defaultCachedFraction = 0.8
	defaultAnswerFraction = 0.5

	// ejectAfterFailures is the number of consecutive failures that start a backoff.
	ejectAfterFailures = 3
	minBackoff         = time.Second
	maxBackoff         = 30 * time.Second
)

// average is an exponentially weighted moving average.
type average struct {
	value float64
	known bool
}

func (a *average) add(sample, weight float64) {
	if !a.known {
		a.value = sample
		a.known = true
		return
	}
	a.value += weight * (sample - a.value)
}

func (a *average) valueOr(other float64) float64 {
	if a.known {
		return a.value
	}
	return other
}

// estimates are the pool's measurements over all endpoints.
type estimates struct {
	// slotTime is the time a call occupies a slot, baseTTFT the time to the first token
	// with a cached prefix and no queue, both in seconds.
	slotTime average
	baseTTFT average
	// decodeRate is in generated tokens per second for one call.
	decodeRate average
	// prefillRate is the rate at which endpoints prefill prompts.
	prefillRate rateEstimate
	// slotThroughput is in prompt and generated tokens per second for one slot.
	slotThroughput average
	// cachedFraction is the fraction of a prompt that an affine endpoint has cached.
	cachedFraction average
	// uncachedFraction is the fraction of prompt tokens that were prefilled, over all
	// calls.
	uncachedFraction average
	// answerFraction is the fraction of MaxTokens that answers use.
	answerFraction average
	// meanLateness is how much later than predicted first tokens arrive on average, in
	// seconds.
	meanLateness average
	// longMaxTokens is the 90th percentile of the calls' MaxTokens.
	longMaxTokens float64
	// memoryNeed is the number of tokens that a call is expected to hold at its engine.
	memoryNeed average
	// answerTokens is the expected number of generated tokens of a call.
	answerTokens average
	// prefillTokens is the mean number of prompt tokens that a call has to prefill.
	prefillTokens average
	// loadShare is this VM's fraction of the region's load.
	loadShare float64
	// tokenTime is the time per generated token, in seconds, by occupancy.
	tokenTime linearRegression
}

const (
	// longQuantile is the quantile that longMaxTokens tracks, longQuantileStep how far
	// one call moves it, relative to its value.
	longQuantile     = 0.9
	longQuantileStep = 0.05
)

// updateLongMaxTokens moves the quantile estimate by one call.
func (l *estimates) updateLongMaxTokens(tokens int) {
	switch {
	case tokens <= 0:
	case l.longMaxTokens == 0:
		l.longMaxTokens = float64(tokens)
	case float64(tokens) > l.longMaxTokens:
		l.longMaxTokens += longQuantileStep * longQuantile * l.longMaxTokens
	default:
		l.longMaxTokens -= longQuantileStep * (1 - longQuantile) * l.longMaxTokens
	}
}

const (
	// regressionDecay is the weight that each sample takes from earlier ones.
	regressionDecay = 0.01
	// minRegressionVariance is the least variance of x for which a slope is fitted.
	minRegressionVariance = 4.0
)

// linearRegression is a least-squares line through samples (x, y) with exponential decay.
type linearRegression struct {
	weight, x, y, xx, xy float64
}

func (l *linearRegression) add(x, y float64) {
	keep := 1 - regressionDecay
	l.weight = l.weight*keep + 1
	l.x = l.x*keep + x
	l.y = l.y*keep + y
	l.xx = l.xx*keep + x*x
	l.xy = l.xy*keep + x*y
}

// predict returns the estimate of y at x, never below zero. It is the mean if the samples
// vary too little or the slope would be negative; ok is false without samples.
func (l *linearRegression) predict(x float64) (y float64, ok bool) {
	if l.weight < 1 {
		return 0, false
	}
	meanX, meanY := l.x/l.weight, l.y/l.weight
	spread := l.xx/l.weight - meanX*meanX
	slope := 0.0
	if spread > minRegressionVariance {
		slope = max((l.xy/l.weight-meanX*meanY)/spread, 0)
	}
	return max(meanY+slope*(x-meanX), 0), true
}

func newEstimates() estimates {
	return estimates{
		prefillRate: newRateEstimate(),
		baseTTFT: average{
			value: defaultTTFTSeconds,
			known: true,
		},
		meanLateness: average{known: true},
		loadShare:    1,
	}
}

// updateLoadShare applies this VM's fraction of one load report.
func (l *estimates) updateLoadShare(own, all float64, vms int) {
	if all <= 0 {
		return
	}
	l.loadShare += loadShareWeight * (min(own/all, 1) - l.loadShare)
	l.loadShare = min(max(l.loadShare, 1/float64(vms)), 1)
}

// learnOutcome updates the estimates from a call's outcome. Codes that say nothing about
// the endpoint are ignored.
func (p *Pool) learnOutcome(e *endpoint, c Choice, o Outcome, now time.Time) {
	switch o.Code {
	case result.Done:
		p.paceOutcome(e, c, o, now)
		p.reinstate(e)
		p.learnSuccess(e, c, o, now)
	case result.EndpointTimeout:
		// A call that yields may wait until its deadline while the engine serves others.
		if !c.yields || !o.FirstAt.IsZero() || !e.firstTokenAt.After(c.At) {
			p.learnFailure(e, c, o, now)
		}
	case result.EndpointRefused, result.EndpointCut, result.AnswerCrossed, result.EndpointFailed, result.RefusalUnproven:
		p.learnFailure(e, c, o, now)
	}
}

// learnSuccess updates the estimates from a complete answer.
func (p *Pool) learnSuccess(e *endpoint, c Choice, o Outcome, now time.Time) {
	if o.FirstAt.IsZero() {
		e.slotTime.add(now.Sub(c.At).Seconds(), sampleWeight)
		p.estimates.slotTime.add(now.Sub(c.At).Seconds(), sampleWeight)
		return
	}
	p.learnTTFT(e, c, o, now)
	p.learnService(e, c, o, now)
}

// learnTTFT compares the time to the first token with the prediction.
func (p *Pool) learnTTFT(e *endpoint, c Choice, o Outcome, now time.Time) {
	first := o.FirstAt.Sub(c.At).Seconds()
	if !c.yields {
		// A call that yields waits for other calls, which must not count against the
		// engine: one such answer two seconds late keeps others away for over 5 s.
		e.updateBias(first-c.predictedTTFT, now)
	}
	p.estimates.meanLateness.add(max(first-c.predictedTTFT, 0), sampleWeight)
	p.learnCacheHit(c, o)
	if c.queued || c.prefixesKnown {
		return
	}
	uncached := o.Usage.PromptTokens - o.Usage.CachedTokens
	baseTTFT := p.estimates.baseTTFT.value
	if uncached >= minPrefillTokens && first > baseTTFT {
		p.estimates.prefillRate.add(c.tokensAhead+float64(uncached), first-baseTTFT)
		return
	}
	p.estimates.baseTTFT.add(min(first, p.estimates.baseTTFT.value*maxSampleRatio), sampleWeight)
}

// learnCacheHit updates the cached fractions. A miss has a small weight, as only calls
// that stay with an endpoint fill its cache.
func (p *Pool) learnCacheHit(c Choice, o Outcome) {
	if o.Usage.PromptTokens == 0 {
		return
	}
	p.estimates.uncachedFraction.add(1-float64(o.Usage.CachedTokens)/float64(o.Usage.PromptTokens), sampleWeight)
	switch {
	case !c.hasPrefix:
	case o.Usage.CachedTokens > 0:
		p.estimates.cachedFraction.add(float64(o.Usage.CachedTokens)/float64(o.Usage.PromptTokens), sampleWeight)
	case c.Affine:
		p.estimates.cachedFraction.add(0, cacheMissWeight)
	}
}

// StreamProgress records that an open stream produced a number of tokens within gap.
func (p *Pool) StreamProgress(c Choice, gap time.Duration, tokens int, now time.Time) {
	if c.state == nil || tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.state.livePace.add(gap, tokens, now)
	c.state.streams.update(c.promptID, tokens)
}

// learnService updates the slot time, decode rate and answer length.
func (p *Pool) learnService(e *endpoint, c Choice, o Outcome, now time.Time) {
	decode := now.Sub(o.FirstAt).Seconds()
	waited := min(c.QueueTime.Seconds(), o.FirstAt.Sub(c.At).Seconds())
	slotTime := decode + o.FirstAt.Sub(c.At).Seconds() - waited
	e.slotTime.add(slotTime, sampleWeight)
	p.estimates.slotTime.add(slotTime, sampleWeight)
	if slotTime > 0 && o.Usage.PromptTokens > 0 {
		p.estimates.slotThroughput.add(float64(o.Usage.PromptTokens+o.Usage.GeneratedTokens)/slotTime, sampleWeight)
	}
	if c.maxTokens > 0 && o.Usage.GeneratedTokens > 0 {
		p.estimates.answerFraction.add(min(float64(o.Usage.GeneratedTokens)/float64(c.maxTokens), 1), sampleWeight)
	}
	if o.Usage.GeneratedTokens < minDecodeTokens || decode <= 0 {
		return
	}
	speed := float64(o.Usage.GeneratedTokens) / decode
	p.estimates.tokenTime.add((c.occupancy+e.occupancy(p.estimates.loadShare, now))/2, 1/speed)
	e.decodeRate.add(speed, sampleWeight)
	p.estimates.decodeRate.add(speed, sampleWeight)
}

// updateBias moves the bias towards an observed lateness in seconds.
func (e *endpoint) updateBias(lateness float64, now time.Time) {
	current := e.currentBias(now)
	current += biasWeight * (lateness - current)
	e.bias = min(max(current, 0), maxBiasSeconds)
	e.biasAt = now
}

// learnFailure counts a failure and starts a backoff after ejectAfterFailures in a row.
func (p *Pool) learnFailure(e *endpoint, c Choice, o Outcome, now time.Time) {
	bias := failureBiasSeconds
	if o.EndpointError {
		bias = errorAnswerBiasSeconds
	}
	e.bias = min(e.currentBias(now)+bias, maxBiasSeconds)
	e.biasAt = now
	e.consecutiveFailures++
	if !o.EndpointError {
		p.cutPace(e, c, PaceFailed, now)
	}
	switch {
	case c.Probe && e.ejected():
		e.startBackoff(now, p.rand())
	case e.consecutiveFailures < ejectAfterFailures || e.eligibleIndex < 0 || p.without.Backoff:
		p.suspect(e, o, now)
	case p.ejectionLimitReached():
	default:
		p.removeEligible(e)
		p.ejected = append(p.ejected, e)
		e.startBackoff(now, p.rand())
	}
}

// ejectionLimitReached reports whether one more ejection would eject more than half of
// the endpoints, which rather indicates a fault of this VM.
func (p *Pool) ejectionLimitReached() bool {
	return 2*(len(p.ejected)+1) > len(p.endpoints)
}

// startBackoff sets the end of the backoff, doubled each time, with jitter.
func (e *endpoint) startBackoff(now time.Time, random uint64) {
	e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
	jitter := time.Duration(random % uint64(e.backoff/4))
	e.retryAt = now.Add(e.backoff + jitter)
}

// reinstate ends the endpoint's backoff and makes it eligible again.
func (p *Pool) reinstate(e *endpoint) {
	e.consecutiveFailures = 0
	if !e.ejected() {
		e.backoff = 0
		return
	}
	e.retryAt = time.Time{}
	e.suspectedAt = time.Time{}
	e.backoff = 0
	for i, other := range p.ejected {
		if other == e {
			p.ejected = append(p.ejected[:i], p.ejected[i+1:]...)
			break
		}
	}
	if !e.draining() && e.eligibleIndex < 0 {
		p.addEligible(e)
	}
}
