package routing

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// learnWeight is the weight of a new sample in an average.
	learnWeight = 0.1
	// sampleBound is how many times slower than the average a sample may count, so
	// that one bad endpoint does not change what is expected of all.
	sampleBound = 4
	// missWeight is the weight of a miss in the cached part of prompts.
	missWeight = 0.01
	// biasWeight is the weight of a new sample in an endpoint's correction.
	biasWeight = 0.3
	// biasMax bounds a correction, in seconds.
	biasMax = 30.0
	// failureBias is added to the correction on a failure, in seconds.
	failureBias = 0.5
	// answeredBias is added instead where the endpoint answered with a failure of
	// its own: of a service with 14% of such answers no endpoint is worse for it.
	answeredBias = 0.02
	// shareWeight is the weight of a report in this VM's share of the load.
	shareWeight = 0.05
	// minSpeedTokens is the shortest answer that tells the speed.
	minSpeedTokens = 8
	// minPrefillTokens is the shortest cold prompt that tells the prefill rate.
	minPrefillTokens = 64

	// livePaceWeight is the weight of one event of a stream in an engine's present
	// pace: some twenty events, which a busy engine sends in about a second.
	livePaceWeight = 0.05
	// livePaceLeast is from how many events on the pace is used.
	livePaceLeast = 10
	// livePaceFor is how long the present pace is used after the last event.
	livePaceFor = 1500 * time.Millisecond

	defaultHold   = 1.0
	defaultSpeed  = 50.0
	defaultBase   = 0.02
	defaultCached = 0.8
	defaultLength = 0.5

	// ejectAfter is how many failures in a row start a back-off.
	ejectAfter  = 3
	backoffBase = time.Second
	backoffMax  = 30 * time.Second
)

// average is an exponentially weighted mean.
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

func (a *average) or(other float64) float64 {
	if a.known {
		return a.value
	}
	return other
}

// learnt is what the pool has learnt over all its endpoints.
type learnt struct {
	// hold is the time a call keeps a slot, base the time to the first token with
	// a warm prefix and no queue, both in seconds.
	hold average
	base average
	// speed is in generated tokens a second for one call.
	speed average
	// read is how fast endpoints read prompts, by what is known of their queues.
	read rate
	// work is the prompt and generated tokens that a slot serves a second.
	work average
	// cached is the part of a prompt that a warm endpoint does not prefill.
	cached average
	// cold is the part of prompts that was prefilled, over all calls.
	cold average
	// length is the part of MaxTokens that answers use.
	length average
	// late is how much later than predicted first tokens come on average, in seconds.
	late average
	// long is a bound on generated tokens that one call in ten is over.
	long float64
	// share is this VM's part of the region's load.
	share float64
	// pace is the time for one generated token by the calls at the endpoint.
	pace line
}

const (
	// longPart is the part of the calls that are under learnt.long, and longStep how
	// far one call moves it, relative to itself.
	longPart = 0.9
	longStep = 0.05
)

// learnLong moves the bound so that one call in ten is over it.
func (l *learnt) learnLong(tokens int) {
	switch {
	case tokens <= 0:
	case l.long == 0:
		l.long = float64(tokens)
	case float64(tokens) > l.long:
		l.long += longStep * longPart * l.long
	default:
		l.long -= longStep * (1 - longPart) * l.long
	}
}

const (
	// lineForget is the weight that each sample takes from those before it: some
	// hundred answers, a few seconds of a region under load.
	lineForget = 0.01
	// lineLeast is how far the samples must spread, in calls squared, for a slope.
	lineLeast = 4.0
)

// line is a straight line through samples (x, y), the later ones weighing more.
type line struct {
	weight, x, y, xx, xy float64
}

func (l *line) add(x, y float64) {
	keep := 1 - lineForget
	l.weight = l.weight*keep + 1
	l.x = l.x*keep + x
	l.y = l.y*keep + y
	l.xx = l.xx*keep + x*x
	l.xy = l.xy*keep + x*y
}

// at gives y for an x, never below zero; it is the mean where the samples do
// not spread enough, or would give a falling line. ok is false without samples.
func (l *line) at(x float64) (y float64, ok bool) {
	if l.weight < 1 {
		return 0, false
	}
	meanX, meanY := l.x/l.weight, l.y/l.weight
	spread := l.xx/l.weight - meanX*meanX
	slope := 0.0
	if spread > lineLeast {
		slope = max((l.xy/l.weight-meanX*meanY)/spread, 0)
	}
	return max(meanY+slope*(x-meanX), 0), true
}

func newLearnt() learnt {
	return learnt{
		read: newRate(),
		base: average{
			value: defaultBase,
			known: true,
		},
		late:  average{known: true},
		share: 1,
	}
}

// learnShare takes the own part of one report's load.
func (l *learnt) learnShare(own, all float64, vms int) {
	if all <= 0 {
		return
	}
	l.share += shareWeight * (min(own/all, 1) - l.share)
	l.share = min(max(l.share, 1/float64(vms)), 1)
}

// learn takes the outcome of a call. Codes that tell nothing of the endpoint
// are passed over.
func (p *Pool) learn(e *endpoint, c Choice, o Outcome, now time.Time) {
	switch o.Code {
	case result.Done:
		p.recovered(e)
		p.answered(e, c, o, now)
	case result.EndpointRefused, result.EndpointCut, result.EndpointTimeout,
		result.AnswerCrossed, result.EndpointFailed:
		p.failed(e, c, o, now)
	}
}

// answered learns from a whole answer.
func (p *Pool) answered(e *endpoint, c Choice, o Outcome, now time.Time) {
	if o.FirstAt.IsZero() {
		e.hold.add(now.Sub(c.At).Seconds(), learnWeight)
		p.learnt.hold.add(now.Sub(c.At).Seconds(), learnWeight)
		return
	}
	p.learnFirst(e, c, o, now)
	p.learnService(e, c, o, now)
}

// learnFirst compares the first token's time with the prediction.
func (p *Pool) learnFirst(e *endpoint, c Choice, o Outcome, now time.Time) {
	first := o.FirstAt.Sub(c.At).Seconds()
	if !c.yields {
		// A call that yields waits for others, which says nothing of the engine: one such
		// answer two seconds late kept others away from it for over 5 s.
		e.correct(first-c.predicted, now)
	}
	p.learnt.late.add(max(first-c.predicted, 0), learnWeight)
	p.learnCached(c, o)
	if c.queued || c.known {
		return
	}
	cold := o.Usage.PromptTokens - o.Usage.CachedTokens
	base := p.learnt.base.value
	if cold >= minPrefillTokens && first > base {
		p.learnt.read.add(c.unread+float64(cold), first-base)
		return
	}
	p.learnt.base.add(min(first, p.learnt.base.value*sampleBound), learnWeight)
}

// learnCached learns how much of a prompt a warm endpoint holds. A miss tells
// little of that, as calls that stay with an endpoint are what makes it warm.
func (p *Pool) learnCached(c Choice, o Outcome) {
	if o.Usage.PromptTokens == 0 {
		return
	}
	p.learnt.cold.add(1-float64(o.Usage.CachedTokens)/float64(o.Usage.PromptTokens), learnWeight)
	switch {
	case !c.prefix:
	case o.Usage.CachedTokens > 0:
		p.learnt.cached.add(float64(o.Usage.CachedTokens)/float64(o.Usage.PromptTokens), learnWeight)
	case c.Affine:
		p.learnt.cached.add(0, missWeight)
	}
}

// Paced learns from a stream under way: so many tokens came within a gap.
func (p *Pool) Paced(c Choice, gap time.Duration, tokens int, now time.Time) {
	if c.state == nil || tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	each := gap.Seconds() / float64(tokens)
	if now.Sub(c.state.livePaceAt) > livePaceFor {
		c.state.livePace = average{}
		c.state.livePaced = 0
	}
	c.state.livePaced++
	c.state.livePace.add(each, livePaceWeight)
	c.state.livePaceAt = now
}

// learnService learns how long a call keeps its slot and how fast it generates.
func (p *Pool) learnService(e *endpoint, c Choice, o Outcome, now time.Time) {
	decode := now.Sub(o.FirstAt).Seconds()
	waited := min(c.Wait.Seconds(), o.FirstAt.Sub(c.At).Seconds())
	hold := decode + o.FirstAt.Sub(c.At).Seconds() - waited
	e.hold.add(hold, learnWeight)
	p.learnt.hold.add(hold, learnWeight)
	if hold > 0 && o.Usage.PromptTokens > 0 {
		p.learnt.work.add(float64(o.Usage.PromptTokens+o.Usage.GeneratedTokens)/hold, learnWeight)
	}
	if c.maxTokens > 0 && o.Usage.GeneratedTokens > 0 {
		p.learnt.length.add(min(float64(o.Usage.GeneratedTokens)/float64(c.maxTokens), 1), learnWeight)
	}
	if o.Usage.GeneratedTokens < minSpeedTokens || decode <= 0 {
		return
	}
	speed := float64(o.Usage.GeneratedTokens) / decode
	p.learnt.pace.add((c.occupied+e.occupancy(p.learnt.share, now))/2, 1/speed)
	e.speed.add(speed, learnWeight)
	p.learnt.speed.add(speed, learnWeight)
}

// correct moves the endpoint's correction towards an observed error in seconds.
func (e *endpoint) correct(late float64, now time.Time) {
	current := e.correction(now)
	current += biasWeight * (late - current)
	e.bias = min(max(current, 0), biasMax)
	e.biasAt = now
}

// failed counts a failure and starts a back-off after a few of them.
func (p *Pool) failed(e *endpoint, c Choice, o Outcome, now time.Time) {
	bias := failureBias
	if o.Answered {
		bias = answeredBias
	}
	e.bias = min(e.correction(now)+bias, biasMax)
	e.biasAt = now
	e.failures++
	switch {
	case c.Probe:
		e.eject(now, p.rand())
	case e.failures < ejectAfter || e.place < 0 || p.without.BackOff:
		p.doubt(e, o, now)
	case p.mostEjected():
	default:
		p.remove(e)
		p.ejected = append(p.ejected, e)
		e.eject(now, p.rand())
	}
}

// mostEjected reports whether one more endpoint in back-off would make more than half
// of them, which would say more of this VM than of them.
func (p *Pool) mostEjected() bool {
	return 2*(len(p.ejected)+1) > len(p.endpoints)
}

// eject sets the deadline of the back-off, doubled each time, with jitter.
func (e *endpoint) eject(now time.Time, random uint64) {
	e.backoff = min(max(2*e.backoff, backoffBase), backoffMax)
	jitter := time.Duration(random % uint64(e.backoff/4))
	e.retryAt = now.Add(e.backoff + jitter)
}

// recovered makes an endpoint eligible again after a success.
func (p *Pool) recovered(e *endpoint) {
	e.failures = 0
	if !e.ejected() {
		return
	}
	e.retryAt = time.Time{}
	e.doubtedAt = time.Time{}
	e.backoff = 0
	for i, other := range p.ejected {
		if other == e {
			p.ejected = append(p.ejected[:i], p.ejected[i+1:]...)
			break
		}
	}
	if !e.leaves() && e.place < 0 {
		p.admit(e)
	}
}
