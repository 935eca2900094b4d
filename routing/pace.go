package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// livePaceSeconds is the time constant of livePace. A decode step takes 6 ms without a
	// prefill chunk and 50 ms with one, so that fewer than some tens of steps say little
	// about the next hundreds.
	livePaceSeconds = 1.0
	// minLiveTokenTimeSamples is the number of events from which livePace is used.
	minLiveTokenTimeSamples = 10
	// liveTokenTimeTTL is how long livePace is valid after the last event.
	liveTokenTimeTTL = 1500 * time.Millisecond
	// prefillPriorTokens is the weight of the pool's prefill rate in an engine's own.
	prefillPriorTokens = 80_000.0
	// endangeredWeight is what one stream that would end late adds to an engine's score,
	// in seconds, and maxEndangered how many are counted.
	endangeredWeight = 1.0
	maxEndangered    = 10
)

// livePace is the time per generated token on the streams that are open at an engine: a
// ratio of two sums that decay with time.
type livePace struct {
	nanos   float64
	tokens  float64
	at      time.Time
	samples int
}

func (l *livePace) add(gap time.Duration, tokens int, now time.Time) {
	if now.Sub(l.at) > liveTokenTimeTTL {
		*l = livePace{}
	}
	keep := 1.0
	if !l.at.IsZero() {
		keep = math.Exp(-max(now.Sub(l.at).Seconds(), 0) / livePaceSeconds)
	}
	l.nanos = l.nanos*keep + float64(gap)
	l.tokens = l.tokens*keep + float64(tokens)
	l.at = now
	l.samples++
}

// perToken returns the time per token in seconds; ok is false without recent samples.
func (l *livePace) perToken(now time.Time) (each float64, ok bool) {
	if l.samples < minLiveTokenTimeSamples || now.Sub(l.at) > liveTokenTimeTTL {
		return 0, false
	}
	return l.nanos / l.tokens / float64(time.Second), true
}

// prefillRate returns the rate at which an engine prefills, in tokens per second: its own
// samples, to which the pool's rate is added as if it had been measured there. Where other
// VMs do not report their queues, samples of one engine mostly measure what those VMs sent.
func (p *Pool) prefillRate(e *endpoint, silentPeers float64) float64 {
	rate := p.estimates.prefillRate.perSecond()
	if p.vms > 1 && silentPeers > 0 {
		return rate
	}
	return (e.prefillRate.tokens + prefillPriorTokens) / (e.prefillRate.seconds + prefillPriorTokens/rate)
}

// runningStream is what is left of a call of this VM at an engine.
type runningStream struct {
	id         uint64
	deadline   time.Time
	tokensLeft float64
	started    bool
}

// streams are the calls of this VM at one engine that have a deadline.
type streams []runningStream

func (s *streams) add(id uint64, tokens float64, deadline time.Time) {
	if deadline.IsZero() {
		return
	}
	*s = append(*s, runningStream{
		id:         id,
		deadline:   deadline,
		tokensLeft: tokens,
		started:    false,
	})
}

// update marks a stream as started and subtracts the tokens that it generated.
func (s streams) update(id uint64, tokens int) {
	at := slices.IndexFunc(s, func(r runningStream) bool { return r.id == id })
	if at < 0 {
		return
	}
	s[at].started = true
	s[at].tokensLeft = max(s[at].tokensLeft-float64(tokens), 0)
}

func (s *streams) remove(id uint64) {
	*s = slices.DeleteFunc(*s, func(r runningStream) bool { return r.id == id })
}

// endangered returns how many streams end in time at a pace of each seconds per token, but
// not if a prompt delays them by delay seconds. Those that end late anyway do not count.
func (s streams) endangered(each, delay float64, now time.Time) int {
	n := 0
	for i := range s {
		slack := s[i].deadline.Sub(now).Seconds() - s[i].tokensLeft*each
		if s[i].started && slack >= 0 && slack < delay {
			n++
		}
	}
	return n
}

// endangeredStreams returns how many of an engine's streams would miss their deadline by a
// prompt. A call that waits for a slot takes the place of one that ended, so that it slows
// the streams no further.
func (p *Pool) endangeredStreams(e *endpoint, wait, prefillSeconds float64, now time.Time) int {
	each, ok := e.livePace.perToken(now)
	if !ok || wait > 0 || p.without.PaceGuard {
		return 0
	}
	return min(e.streams.endangered(each, prefillSeconds, now), maxEndangered)
}
