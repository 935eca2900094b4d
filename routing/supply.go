package routing

import (
	"math"
	"time"
)

// Supply sums up what the pool's endpoints can take, for admission.
type Supply struct {
	// Endpoints is how many endpoints take work.
	Endpoints int
	// Slots is the number of their batch slots, Free the estimate of the empty
	// ones, and Own the calls that this VM has in flight there.
	Slots float64
	Free  float64
	Own   int
	// Hold is how long a call keeps a slot, First the time to its first token
	// with a warm prefix and no queue.
	Hold  time.Duration
	First time.Duration
	// TokensPerSecond is the speed of one call's answer, PrefillPerSecond that
	// of a cold prompt.
	TokensPerSecond  float64
	PrefillPerSecond float64
	// ColdShare is the part of prompts that is prefilled.
	ColdShare float64
	// SlotTokensPerSecond is what one busy slot serves, prompt and generated
	// tokens together.
	SlotTokensPerSecond float64
	// AnswerShare is the part of MaxTokens that answers use.
	AnswerShare float64
	// RetryAt is when the next endpoint in back-off may be tested by a call;
	// zero means that none waits for one.
	RetryAt time.Time
}

// total holds the running sums over the eligible endpoints.
type total struct {
	slots float64
	free  float64
	own   int
}

// counted is one endpoint's part of total.
type counted struct {
	slots float64
	free  float64
	own   int
}

// refresh brings the endpoint's part of the sums up to date.
func (p *Pool) refresh(e *endpoint, now time.Time) {
	p.total.slots -= e.counted.slots
	p.total.free -= e.counted.free
	p.total.own -= e.counted.own
	e.counted = counted{}
	if e.place < 0 {
		return
	}
	e.counted.slots = e.slots()
	e.counted.free = math.Round(max(e.slots()-e.taken(p.learnt.share, now), 0))
	e.counted.own = e.inFlight
	p.total.slots += e.counted.slots
	p.total.free += e.counted.free
	p.total.own += e.counted.own
}

// Supply returns the sums in constant time; each endpoint's part is as of its
// last report, choice or outcome.
func (p *Pool) Supply(_ time.Time) Supply {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Supply{
		Endpoints:           len(p.eligible),
		Slots:               p.total.slots,
		Free:                p.total.free,
		Own:                 p.total.own,
		Hold:                seconds(p.learnt.hold.or(defaultHold)),
		First:               seconds(p.learnt.base.value),
		TokensPerSecond:     p.learnt.speed.or(defaultSpeed),
		PrefillPerSecond:    p.learnt.read.perSecond(),
		SlotTokensPerSecond: p.learnt.work.or(defaultSpeed),
		ColdShare:           p.learnt.cold.or(1),
		AnswerShare:         p.learnt.length.or(defaultLength),
		RetryAt:             p.retryAt(),
	}
}

// retryAt is the earliest end of a back-off.
func (p *Pool) retryAt() time.Time {
	var earliest time.Time
	for _, e := range p.ejected {
		if e.probing || e.leaves() {
			continue
		}
		if earliest.IsZero() || e.retryAt.Before(earliest) {
			earliest = e.retryAt
		}
	}
	return earliest
}
