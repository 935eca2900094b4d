package routing

import "time"

// Estimate returns the expected queue and service time of a call that is sent now.
func (p *Pool) Estimate(r Request, now time.Time) (wait, service time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resolvePrefix(&r, now)
	c, ok := p.pick(r, now)
	if !ok {
		return 0, 0
	}
	choice := p.newChoice(c, r, now)
	return choice.QueueTime, choice.ServiceTime
}

// Expectation is the expected latency and size of a call that is sent now.
type Expectation struct {
	// TTFT is the time to the first token.
	TTFT time.Duration
	// TokenTime is the time per generated token; zero if it is not known yet.
	TokenTime time.Duration
	// AnswerTokens is the expected number of generated tokens, AnswerTokensP90 its 90th percentile.
	AnswerTokens    float64
	AnswerTokensP90 float64
	// PrefillTokens is the number of prompt tokens to prefill.
	PrefillTokens float64
	// Endangers is set if streams would miss their deadline by this call's prompt.
	Endangers bool
}

// TotalTime returns the expected time to the end of the answer.
func (e Expectation) TotalTime() time.Duration {
	return e.TTFT + time.Duration(e.AnswerTokens*float64(e.TokenTime))
}

// Expect returns the expectation of a call that is sent now; ok is false if no endpoint
// accepts calls.
func (p *Pool) Expect(r Request, now time.Time) (e Expectation, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resolvePrefix(&r, now)
	c, ok := p.pick(r, now)
	if !ok {
		return Expectation{}, false
	}
	return p.expectation(c, r, now), true
}

// expectation returns the expectation of a call at a candidate.
func (p *Pool) expectation(c candidate, r Request, now time.Time) Expectation {
	each, _ := p.measuredTokenSeconds(c, now)
	return Expectation{
		TTFT:            p.newChoice(c, r, now).TTFT,
		TokenTime:       seconds(each),
		AnswerTokens:    p.expectedAnswer(r),
		AnswerTokensP90: p.longAnswerTokens(r),
		PrefillTokens:   c.prefillTokens,
		Endangers:       c.endangered > 0,
	}
}
