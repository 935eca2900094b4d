package admission

import (
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/moment"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

const (
	// rateHalf is the time in which a past arrival counts for half.
	rateHalf = 20 * time.Second
	// rateLeast is the time seen that a rate is counted over at least.
	rateLeast = 2 * time.Second
	// holdWeight is the weight of a new sample in the time a call holds its slot.
	holdWeight = 0.05
	// leastDrain is the part of the drain that the lowest priority counts on at least.
	leastDrain = 0.01
	// leastHold bounds the time that a call keeps its slot, in seconds.
	leastHold = 0.001
	// newMargin, queuedMargin and reportMargin multiply the forecast for a call that
	// comes, for one that waits already and for any report. A call that would start
	// only just in time is refused, as in lasting overload a shorter queue loses
	// nothing; a forecast of many seconds is often too long.
	newMargin    = 1.3
	queuedMargin = 0.7
	reportMargin = 0.3
	// comeBackShare is the part of the drain that is promised to refused calls at least.
	comeBackShare = 0.03
	// farFuture bounds an expected wait.
	farFuture = 1000 * time.Hour
)

// noDeadline stands in for a deadline that was not given.
var noDeadline = time.Date(9999, time.January, 1, 0, 0, 0, 0, time.UTC)

// demand is the recent demand of each priority.
type demand struct {
	// since is when the first call came.
	since time.Time
	// rate is arrivals a second as of rateAt, hold the seconds a call keeps a slot.
	rate   [call.Priorities]float64
	rateAt [call.Priorities]time.Time
	hold   [call.Priorities]float64
}

func (d *demand) arrived(p call.Priority, now time.Time) {
	if d.since.IsZero() {
		d.since = now
	}
	d.rate[p] = d.decayed(p, now) + math.Ln2/rateHalf.Seconds()
	d.rateAt[p] = now
}

func (d *demand) decayed(p call.Priority, now time.Time) float64 {
	if d.rate[p] == 0 {
		return 0
	}
	return d.rate[p] * math.Exp2(-float64(now.Sub(d.rateAt[p]))/float64(rateHalf))
}

// perSecond is the decayed arrival rate, corrected for the short time seen.
func (d *demand) perSecond(p call.Priority, now time.Time) float64 {
	seen := max(now.Sub(d.since), rateLeast)
	return d.decayed(p, now) / (1 - math.Exp2(-float64(seen)/float64(rateHalf)))
}

func (d *demand) held(p call.Priority, hold time.Duration) {
	if d.hold[p] == 0 {
		d.hold[p] = hold.Seconds()
		return
	}
	d.hold[p] += holdWeight * (hold.Seconds() - d.hold[p])
}

// holdOr is the seconds that a call of the priority keeps its slot, or the
// other value while none has ended.
func (d *demand) holdOr(p call.Priority, other time.Duration) float64 {
	if d.hold[p] > 0 {
		return d.hold[p]
	}
	return max(other.Seconds(), leastHold)
}

// busy is how many slots calls of the priority keep busy on average.
func (d *demand) busy(p call.Priority, now time.Time) float64 {
	return d.perSecond(p, now) * d.hold[p]
}

// latestStart is the last moment to start for an answer on time.
func latestStart(r Request, supply routing.Supply) time.Time {
	prefill := supply.First + perSecond(float64(r.PromptTokens)*supply.ColdShare, supply.PrefillPerSecond)
	answer := perSecond(float64(r.MaxTokens)*supply.AnswerShare, supply.TokensPerSecond)
	latest := noDeadline
	if !r.FirstBy.IsZero() && r.FirstBy.Add(-prefill).Before(latest) {
		latest = r.FirstBy.Add(-prefill)
	}
	if !r.WholeBy.IsZero() && r.WholeBy.Add(-prefill-answer).Before(latest) {
		latest = r.WholeBy.Add(-prefill - answer)
	}
	return latest
}

// allowed reports whether a call of the priority may take a free slot.
func (s *State) allowed(p call.Priority, supply routing.Supply, now time.Time) bool {
	if p == call.PriorityUrgent {
		return supply.Free >= 1
	}
	reserve := s.reserve(supply, now)
	if p == call.PriorityChat {
		return supply.Free >= 1+reserve
	}
	return supply.Free >= 1+reserve && float64(s.inFlight[call.PriorityReport]) < s.reportSlots(supply, now)
}

// reserve is the number of slots kept free for urgent calls.
func (s *State) reserve(supply routing.Supply, now time.Time) float64 {
	busy := s.demand.busy(call.PriorityUrgent, now)
	return min(math.Ceil(busy), math.Floor(supply.Slots/8))
}

// reportSlots is how many slots reports of this VM may hold.
func (s *State) reportSlots(supply routing.Supply, now time.Time) float64 {
	usable := float64(supply.Own) + supply.Free
	share := usable * s.reportShare
	if s.policy == PolicyPriority {
		return max(share, 1)
	}
	before := 0.0
	for q := range call.PriorityReport {
		busy := s.demand.busy(q, now)
		before += busy + math.Sqrt(busy)
	}
	return max(min(share, usable-before), 1)
}

// ahead is how many calls a new one of the priority would wait behind.
func (s *State) ahead(p call.Priority) int {
	n := 0
	for q := range p + 1 {
		n += len(s.waiting[q].entries)
	}
	return n
}

// forecast is the expected wait behind so many calls.
func (s *State) forecast(ahead int, p call.Priority, supply routing.Supply, now time.Time) time.Duration {
	rate := s.drain(p, supply, now)
	return perSecond(float64(ahead+1), rate)
}

// drain is how many waiting calls up to the priority start in a second: one for
// each call that ends, less those of higher priority still to come. Reports
// have only the places that reports leave.
func (s *State) drain(p call.Priority, supply routing.Supply, now time.Time) float64 {
	ends := 0.0
	for q, n := range s.inFlight {
		ends += float64(n) / s.demand.holdOr(call.Priority(q), supply.Hold)
	}
	ends = max(ends, 1/max(supply.Hold.Seconds(), leastHold))
	rate := ends
	if s.policy == PolicyFIFO {
		return rate
	}
	for q := range p {
		rate -= s.demand.perSecond(q, now)
	}
	if p == call.PriorityReport {
		rate = min(rate, s.reportSlots(supply, now)/s.demand.holdOr(p, supply.Hold))
	}
	return max(rate, leastDrain*ends)
}

// promise is when a refused call may come back: not before at, and one after the
// other at the rate that new calls leave, so that those who come back do not add
// to the overload together. One that would have too little of its time left by
// then is told its deadline or later, and no place is kept for it.
func (s *State) promise(e entry, at time.Time, supply routing.Supply, now time.Time) time.Time {
	p := e.request.Priority
	drain := s.drain(p, supply, now)
	spare := max(drain-s.demand.perSecond(p, now), comeBackShare*drain)
	if next := s.promised[p].Add(perSecond(1, spare)); next.After(at) {
		at = next
	}
	r := e.request
	r.FirstBy = time.Time{}
	last := latestStart(r, supply)
	patience := min(e.latest.Sub(e.at), last.Sub(e.at)/2)
	if at.Add(patience).After(last) {
		return moment.Later(at, r.WholeBy)
	}
	s.promised[p] = at
	return at
}

// forecastNew refuses a call that has just come and would start too late.
func (s *State) forecastNew(id uint64, p call.Priority, supply routing.Supply, now time.Time) {
	l := &s.waiting[p]
	at := l.index(id)
	if at < 0 {
		return
	}
	before := s.ahead(p) - len(l.entries)
	if s.misses(l.entries[at], before+at, newMargin, supply, now) {
		s.refuseLate(l.removeAt(at), supply, now)
	}
}

// forecastAll refuses the waiting calls that by now would start too late.
func (s *State) forecastAll(supply routing.Supply, now time.Time) {
	before := 0
	for p := range s.waiting {
		l := &s.waiting[p]
		for at := 0; at < len(l.entries); {
			if s.misses(l.entries[at], before+at, queuedMargin, supply, now) {
				s.refuseLate(l.removeAt(at), supply, now)
				continue
			}
			at++
		}
		before += len(l.entries)
	}
}

// misses reports whether a call behind so many others is expected to start too late.
func (s *State) misses(e entry, ahead int, margin float64, supply routing.Supply, now time.Time) bool {
	if e.request.Priority == call.PriorityReport {
		margin = reportMargin
	}
	wait := s.forecast(ahead, e.request.Priority, supply, now)
	wait = time.Duration(margin * float64(wait))
	return now.Add(wait).After(latestStart(e.request, supply))
}

func perSecond(amount, rate float64) time.Duration {
	if rate <= 0 {
		return farFuture
	}
	return time.Duration(min(amount/rate, farFuture.Seconds()) * float64(time.Second))
}
