package routing

import (
	"math"
	"time"
)

// Capacity sums up the capacity of the pool's endpoints, for admission.
type Capacity struct {
	// Endpoints is the number of eligible endpoints.
	Endpoints int
	// Slots is the number of their batch slots, Free the estimated number of empty ones,
	// and OwnInFlight the number of this VM's calls in flight there.
	Slots       float64
	Free        float64
	OwnInFlight int
	// SlotTime is the time a call occupies a slot, BaseTTFT the time to its first token with a
	// cached prefix and no queue.
	SlotTime time.Duration
	BaseTTFT time.Duration
	// DecodeRate is the decode rate of one call, PrefillRate the rate at which
	// prompt tokens are prefilled.
	DecodeRate  float64
	PrefillRate float64
	// UncachedFraction is the fraction of prompt tokens that are prefilled.
	UncachedFraction float64
	// SlotThroughput is the throughput of one busy slot, in prompt and generated
	// tokens.
	SlotThroughput float64
	// AnswerFraction is the fraction of MaxTokens that answers use.
	AnswerFraction float64
	// NextProbeAt is when the next endpoint in backoff may be probed; zero if none awaits a
	// probe.
	NextProbeAt time.Time
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
	e.contribution.free = p.freeSlots(e, math.Round(max(e.slots()-e.occupiedSlots(p.estimates.loadShare, now), 0)), now)
	e.contribution.own = e.inFlight
	p.totals.slots += e.contribution.slots
	p.totals.free += e.contribution.free
	p.totals.own += e.contribution.own
}

// Capacity returns the sums in constant time; each endpoint's part dates from its last
// report, choice or outcome.
func (p *Pool) Capacity(_ time.Time) Capacity {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Capacity{
		Endpoints:        len(p.eligible),
		Slots:            p.totals.slots,
		Free:             p.totals.free,
		OwnInFlight:      p.totals.own,
		SlotTime:         seconds(p.estimates.slotTime.valueOr(defaultSlotSeconds)),
		BaseTTFT:         seconds(p.estimates.baseTTFT.value),
		DecodeRate:       p.estimates.decodeRate.valueOr(defaultDecodeRate),
		PrefillRate:      p.estimates.prefillRate.perSecond(),
		SlotThroughput:   p.estimates.slotThroughput.valueOr(defaultDecodeRate),
		UncachedFraction: p.estimates.uncachedFraction.valueOr(1),
		AnswerFraction:   p.estimates.answerFraction.valueOr(defaultAnswerFraction),
		NextProbeAt:      p.nextProbeAt(),
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
