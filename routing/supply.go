package routing

import (
	"math"
	"time"
)

// Supply sums up the capacity of the pool's endpoints, for admission.
type Supply struct {
	// Endpoints is the number of eligible endpoints.
	Endpoints int
	// Slots is the number of their batch slots, Free the estimated number of empty ones,
	// and Own the number of this VM's calls in flight there.
	Slots float64
	Free  float64
	Own   int
	// Hold is the time a call occupies a slot, First the time to its first token with a
	// cached prefix and no queue.
	Hold  time.Duration
	First time.Duration
	// TokensPerSecond is the decode rate of one call, PrefillPerSecond the rate at which
	// prompt tokens are prefilled.
	TokensPerSecond  float64
	PrefillPerSecond float64
	// ColdShare is the fraction of prompt tokens that are prefilled.
	ColdShare float64
	// SlotTokensPerSecond is the throughput of one busy slot, in prompt and generated
	// tokens.
	SlotTokensPerSecond float64
	// AnswerShare is the fraction of MaxTokens that answers use.
	AnswerShare float64
	// RetryAt is when the next endpoint in backoff may be probed; zero if none awaits a
	// probe.
	RetryAt time.Time
}

// poolTotals are the running sums over the eligible endpoints.
type poolTotals struct {
	slots float64
	free  float64
	own   int
}

// contribution is one endpoint's part of poolTotals.
type contribution struct {
	slots float64
	free  float64
	own   int
}

// updateTotals updates the endpoint's part of the sums.
func (p *Pool) updateTotals(e *endpoint, now time.Time) {
	p.totals.slots -= e.contribution.slots
	p.totals.free -= e.contribution.free
	p.totals.own -= e.contribution.own
	e.contribution = contribution{}
	if e.eligibleIndex < 0 {
		return
	}
	e.contribution.slots = e.slots()
	e.contribution.free = math.Round(max(e.slots()-e.occupiedSlots(p.estimates.loadShare, now), 0))
	e.contribution.own = e.inFlight
	p.totals.slots += e.contribution.slots
	p.totals.free += e.contribution.free
	p.totals.own += e.contribution.own
}

// Supply returns the sums in constant time; each endpoint's part dates from its last
// report, choice or outcome.
func (p *Pool) Supply(_ time.Time) Supply {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Supply{
		Endpoints:           len(p.eligible),
		Slots:               p.totals.slots,
		Free:                p.totals.free,
		Own:                 p.totals.own,
		Hold:                seconds(p.estimates.slotTime.valueOr(defaultSlotSeconds)),
		First:               seconds(p.estimates.baseTTFT.value),
		TokensPerSecond:     p.estimates.decodeRate.valueOr(defaultDecodeRate),
		PrefillPerSecond:    p.estimates.prefillRate.perSecond(),
		SlotTokensPerSecond: p.estimates.slotThroughput.valueOr(defaultDecodeRate),
		ColdShare:           p.estimates.uncachedFraction.valueOr(1),
		AnswerShare:         p.estimates.answerFraction.valueOr(defaultAnswerFraction),
		RetryAt:             p.nextProbeAt(),
	}
}

// nextProbeAt returns the earliest end of a backoff.
func (p *Pool) nextProbeAt() time.Time {
	var earliest time.Time
	for _, e := range p.ejected {
		if e.probing || e.draining() {
			continue
		}
		if earliest.IsZero() || e.retryAt.Before(earliest) {
			earliest = e.retryAt
		}
	}
	return earliest
}
