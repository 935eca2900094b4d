package routing

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

const (
	// scanAll is the number of endpoints up to which all are weighed.
	scanAll = 12
	// randomDraws is how many others are weighed in a larger pool.
	randomDraws = 2
	// extraDraws bounds the further draws while no free slot was found.
	extraDraws = 6
	// loadWeight is what a full batch adds to the score, as a part of the hold
	// time: a fuller batch decodes slower and is fuller than its report says.
	loadWeight = 0.1
)

// candidate is one endpoint with its estimates in seconds.
type candidate struct {
	state     *endpoint
	wait      float64
	predicted float64
	first     float64
	score     float64
	affine    bool
}

// Choose picks an endpoint and counts the call in flight there. It returns
// false when no endpoint takes work. It does not allocate.
func (p *Pool) Choose(r Request, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.probe(r, now); e != nil {
		e.probing = true
		choice := p.choice(p.weigh(e, r, nil, now), r, now)
		choice.Probe = true
		p.take(e, now)
		return choice, true
	}
	c, ok := p.pick(r, now)
	if !ok {
		return Choice{}, false
	}
	choice := p.choice(c, r, now)
	p.take(c.state, now)
	return choice, true
}

// Estimate says how long a call would wait and then be served if it were sent now.
func (p *Pool) Estimate(r Request, now time.Time) (wait, service time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.pick(r, now)
	if !ok {
		return 0, 0
	}
	choice := p.choice(c, r, now)
	return choice.Wait, choice.Service
}

func (p *Pool) take(e *endpoint, now time.Time) {
	e.enter(now)
	p.refresh(e, now)
}

// probe gives an endpoint whose back-off is over and that no call tests yet.
// Urgent calls do not test unless nothing else has done so for as long again.
func (p *Pool) probe(r Request, now time.Time) *endpoint {
	for _, e := range p.ejected {
		due := e.retryAt
		if r.Priority == call.PriorityUrgent && len(p.eligible) > 0 {
			due = due.Add(e.backoff)
		}
		if !e.probing && !now.Before(due) && !e.leaves() && !r.excludes(e) {
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
		p.next++
		e := p.eligible[p.next%len(p.eligible)]
		if !r.excludes(e) {
			return p.weigh(e, r, nil, now), true
		}
	}
	return candidate{}, false
}

func (p *Pool) pickLeastInFlight(r Request, now time.Time) (candidate, bool) {
	var best *endpoint
	offset := p.draw()
	for i := range p.eligible {
		e := p.eligible[(offset+i)%len(p.eligible)]
		if !r.excludes(e) && (best == nil || e.inFlight < best.inFlight) {
			best = e
		}
	}
	if best == nil {
		return candidate{}, false
	}
	return p.weigh(best, r, nil, now), true
}

// pickAffinity weighs the two endpoints of the prefix and some others.
func (p *Pool) pickAffinity(r Request, now time.Time) (candidate, bool) {
	var first, second *endpoint
	if r.PrefixHash != 0 {
		first, second = p.ring.pair(r.PrefixHash)
	}
	var best candidate
	if len(p.eligible) <= scanAll {
		p.scan(&best, r, first, now)
		return best, best.state != nil
	}
	p.better(&best, first, r, first, now)
	p.better(&best, second, r, first, now)
	for i := range randomDraws + extraDraws {
		if i >= randomDraws && best.wait == 0 {
			break
		}
		p.better(&best, p.eligible[p.draw()], r, first, now)
	}
	if best.state == nil {
		p.scan(&best, r, first, now)
	}
	return best, best.state != nil
}

// scan weighs all eligible endpoints from a random one on.
func (p *Pool) scan(best *candidate, r Request, affine *endpoint, now time.Time) {
	offset := p.draw()
	for i := range p.eligible {
		p.better(best, p.eligible[(offset+i)%len(p.eligible)], r, affine, now)
	}
}

// better replaces best by e if e scores less.
func (p *Pool) better(best *candidate, e *endpoint, r Request, affine *endpoint, now time.Time) {
	if e == nil || r.excludes(e) {
		return
	}
	c := p.weigh(e, r, affine, now)
	if best.state == nil || c.score < best.score {
		*best = c
	}
}

func (p *Pool) draw() int {
	return int(p.rand() % uint64(len(p.eligible)))
}

// weigh estimates one endpoint for a request.
func (p *Pool) weigh(e *endpoint, r Request, affine *endpoint, now time.Time) candidate {
	slots := e.slots()
	occupied := e.occupancy(p.learnt.share, now)
	hold := e.hold.or(p.learnt.hold.or(defaultHold))
	wait := max(occupied+1-slots, 0) * hold / slots
	predicted := wait + p.prefill(r, e == affine)
	late := max(e.correction(now), e.stall(hold, now))
	return candidate{
		state:     e,
		wait:      wait,
		predicted: predicted,
		first:     predicted + late,
		score:     predicted + late + loadWeight*hold*occupied/slots,
		affine:    e == affine,
	}
}

// prefill is the expected time from the start of a call to its first token, in seconds.
func (p *Pool) prefill(r Request, warm bool) float64 {
	cold := float64(r.PromptTokens)
	if warm {
		cold *= 1 - p.learnt.cached.or(defaultCached)
	}
	return p.learnt.base.or(defaultBase) + cold/p.learnt.prefill.or(defaultPrefill)
}

// choice makes the caller's view of a candidate.
func (p *Pool) choice(c candidate, r Request, now time.Time) Choice {
	speed := c.state.speed.or(p.learnt.speed.or(defaultSpeed))
	service := c.predicted - c.wait + p.answerTokens(r)/speed
	return Choice{
		Endpoint:  c.state.Endpoint,
		At:        now,
		Wait:      seconds(c.first - c.predicted + c.wait),
		First:     seconds(c.first),
		Service:   seconds(service),
		Affine:    c.affine,
		state:     c.state,
		predicted: c.predicted,
		maxTokens: r.MaxTokens,
	}
}

// answerTokens is the expected number of generated tokens, of which the bound
// is often far too high.
func (p *Pool) answerTokens(r Request) float64 {
	return float64(r.MaxTokens) * p.learnt.length.or(defaultLength)
}

func (r Request) excludes(e *endpoint) bool {
	return e.ID == r.Exclude[0] || e.ID == r.Exclude[1]
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
