package admission

import (
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/moment"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

const (
	// rateHalfLife is the half-life of the arrival rate.
	rateHalfLife = 20 * time.Second
	// minRateWindow is the shortest time over which an arrival rate is computed.
	minRateWindow = 2 * time.Second
	// slotTimeWeight is the weight of a new sample in the moving average of the slot
	// time.
	slotTimeWeight = 0.05
	// minDrainShare is the least share of the drain rate that any priority is assumed
	// to get.
	minDrainShare = 0.01
	// minSlotSeconds is the lower bound of the slot time.
	minSlotSeconds = 0.001
	// arrivalMargin, queuedMargin and reportMargin multiply the expected wait of an
	// arriving call, of a waiting call and of any report. In a lasting overload a
	// shorter queue loses no throughput, so arriving calls that would start only just
	// in time are refused. Long forecasts tend to be too long, hence the low margin for
	// reports.
	arrivalMargin = 1.3
	queuedMargin  = 0.7
	reportMargin  = 0.3
	// minRetryDrainShare is the least share of the drain rate that is offered to
	// refused calls.
	minRetryDrainShare = 0.03
	// maxWait bounds an expected wait.
	maxWait = 1000 * time.Hour
)

// noDeadline replaces a missing deadline.
var noDeadline = time.Date(9999, time.January, 1, 0, 0, 0, 0, time.UTC)

// demand tracks the arrivals and slot times of each priority.
type demand struct {
	// firstArrivalAt is when the first call arrived.
	firstArrivalAt time.Time
	// arrivalRate is in calls per second as of arrivalRateAt; slotSeconds is how long a
	// call holds its slot.
	arrivalRate   [call.Priorities]float64
	arrivalRateAt [call.Priorities]time.Time
	slotSeconds   [call.Priorities]float64
}

func (d *demand) recordArrival(p call.Priority, now time.Time) {
	if d.firstArrivalAt.IsZero() {
		d.firstArrivalAt = now
	}
	d.arrivalRate[p] = d.decayedRate(p, now) + math.Ln2/rateHalfLife.Seconds()
	d.arrivalRateAt[p] = now
}

func (d *demand) decayedRate(p call.Priority, now time.Time) float64 {
	if d.arrivalRate[p] == 0 {
		return 0
	}
	return d.arrivalRate[p] * math.Exp2(-float64(now.Sub(d.arrivalRateAt[p]))/float64(rateHalfLife))
}

// arrivalsPerSecond is the decayed arrival rate, corrected for the short time observed
// after the first arrival.
func (d *demand) arrivalsPerSecond(p call.Priority, now time.Time) float64 {
	observed := max(now.Sub(d.firstArrivalAt), minRateWindow)
	return d.decayedRate(p, now) / (1 - math.Exp2(-float64(observed)/float64(rateHalfLife)))
}

func (d *demand) recordSlotTime(p call.Priority, slotTime time.Duration) {
	if d.slotSeconds[p] == 0 {
		d.slotSeconds[p] = slotTime.Seconds()
		return
	}
	d.slotSeconds[p] += slotTimeWeight * (slotTime.Seconds() - d.slotSeconds[p])
}

// slotSecondsOr returns the average slot time of the priority, or the fallback before
// the first call has completed.
func (d *demand) slotSecondsOr(p call.Priority, fallback time.Duration) float64 {
	if d.slotSeconds[p] > 0 {
		return d.slotSeconds[p]
	}
	return max(fallback.Seconds(), minSlotSeconds)
}

// busySlots is the average number of slots in use by calls of the priority.
func (d *demand) busySlots(p call.Priority, now time.Time) float64 {
	return d.arrivalsPerSecond(p, now) * d.slotSeconds[p]
}

// latestStart returns the latest time at which the call can start and still meet its
// deadlines.
func latestStart(r Request, supply routing.Capacity) time.Time {
	prefill := supply.BaseTTFT + timeAtRate(float64(r.PromptTokens)*supply.UncachedFraction, supply.PrefillRate)
	decode := timeAtRate(float64(r.MaxTokens)*supply.AnswerFraction, supply.DecodeRate)
	latest := noDeadline
	if !r.FirstTokenDeadline.IsZero() && r.FirstTokenDeadline.Add(-prefill).Before(latest) {
		latest = r.FirstTokenDeadline.Add(-prefill)
	}
	if !r.Deadline.IsZero() && r.Deadline.Add(-prefill-decode).Before(latest) {
		latest = r.Deadline.Add(-prefill - decode)
	}
	return latest
}

// mayStart reports whether a call of the priority may take a free slot.
func (s *State) mayStart(p call.Priority, supply routing.Capacity, now time.Time) bool {
	if p == call.PriorityUrgent {
		return supply.Free >= 1
	}
	reserve := s.urgentReserve(supply, now)
	if p == call.PriorityChat {
		return supply.Free >= 1+reserve
	}
	return supply.Free >= 1+reserve && float64(s.inFlight[call.PriorityReport]) < s.maxReportSlots(supply, now)
}

// urgentReserve is the number of slots kept free for urgent calls.
func (s *State) urgentReserve(supply routing.Capacity, now time.Time) float64 {
	busy := s.demand.busySlots(call.PriorityUrgent, now)
	return min(math.Ceil(busy), math.Floor(supply.Slots/8))
}

// maxReportSlots is the number of slots that reports of this VM may hold.
func (s *State) maxReportSlots(supply routing.Capacity, now time.Time) float64 {
	usableSlots := float64(supply.OwnInFlight) + supply.Free
	share := usableSlots * s.reportShare
	if s.policy == PolicyPriority {
		return max(share, 1)
	}
	higherPriority := 0.0
	for q := range call.PriorityReport {
		busy := s.demand.busySlots(q, now)
		higherPriority += busy + math.Sqrt(busy)
	}
	return max(min(share, usableSlots-higherPriority), 1)
}

// callsAhead is the number of calls that a new call of the priority would wait behind.
func (s *State) callsAhead(p call.Priority) int {
	n := 0
	for q := range p + 1 {
		n += len(s.waiting[q].calls)
	}
	return n
}

// expectedWait is the expected wait behind the given number of calls.
func (s *State) expectedWait(ahead int, p call.Priority, supply routing.Capacity, now time.Time) time.Duration {
	rate := s.drainRate(p, supply, now)
	return timeAtRate(float64(ahead+1), rate)
}

// drainRate is the number of waiting calls up to the priority that start per second:
// the completion rate less the arrivals of higher priorities. Reports are further
// limited to the slots that they may hold.
func (s *State) drainRate(p call.Priority, supply routing.Capacity, now time.Time) float64 {
	completions := 0.0
	for q, n := range s.inFlight {
		completions += float64(n) / s.demand.slotSecondsOr(call.Priority(q), supply.SlotTime)
	}
	completions = max(completions, 1/max(supply.SlotTime.Seconds(), minSlotSeconds))
	rate := completions
	if s.policy == PolicyFIFO {
		return rate
	}
	for q := range p {
		rate -= s.demand.arrivalsPerSecond(q, now)
	}
	if p == call.PriorityReport {
		rate = min(rate, s.maxReportSlots(supply, now)/s.demand.slotSecondsOr(p, supply.SlotTime))
	}
	return max(rate, minDrainShare*completions)
}

// scheduleRetry returns when a refused call may retry, not before retryAt. Retries are
// spaced at the rate that new arrivals leave free, so that they do not add to the
// overload together. A call that would have too little time left gets its deadline or
// later, and no retry is scheduled for it.
func (s *State) scheduleRetry(e queuedCall, retryAt time.Time, supply routing.Capacity, now time.Time) time.Time {
	p := e.request.Priority
	drain := s.drainRate(p, supply, now)
	retryRate := max(drain-s.demand.arrivalsPerSecond(p, now), minRetryDrainShare*drain)
	if next := s.lastRetryAt[p].Add(timeAtRate(1, retryRate)); next.After(retryAt) {
		retryAt = next
	}
	r := e.request
	r.FirstTokenDeadline = time.Time{}
	lastStart := latestStart(r, supply)
	minTimeLeft := min(e.latestStart.Sub(e.arrivedAt), lastStart.Sub(e.arrivedAt)/2)
	if retryAt.Add(minTimeLeft).After(lastStart) {
		return moment.Later(retryAt, r.Deadline)
	}
	s.lastRetryAt[p] = retryAt
	return retryAt
}

// refuseNewIfLate refuses an arriving call that is expected to start too late.
func (s *State) refuseNewIfLate(id uint64, p call.Priority, supply routing.Capacity, now time.Time) {
	queue := &s.waiting[p]
	index := queue.index(id)
	if index < 0 {
		return
	}
	ahead := s.callsAhead(p) - len(queue.calls)
	if s.startsTooLate(queue.calls[index], ahead+index, arrivalMargin, supply, now) {
		s.refuseLate(queue.removeAt(index), supply, now)
	}
}

// refuseQueuedIfLate refuses the waiting calls that are now expected to start too late.
func (s *State) refuseQueuedIfLate(supply routing.Capacity, now time.Time) {
	ahead := 0
	for p := range s.waiting {
		queue := &s.waiting[p]
		for index := 0; index < len(queue.calls); {
			if s.startsTooLate(queue.calls[index], ahead+index, queuedMargin, supply, now) {
				s.refuseLate(queue.removeAt(index), supply, now)
				continue
			}
			index++
		}
		ahead += len(queue.calls)
	}
}

// startsTooLate reports whether a call behind so many others is expected to start too
// late.
func (s *State) startsTooLate(e queuedCall, ahead int, margin float64, supply routing.Capacity, now time.Time) bool {
	if e.request.Priority == call.PriorityReport {
		margin = reportMargin
	}
	wait := s.expectedWait(ahead, e.request.Priority, supply, now)
	wait = time.Duration(margin * float64(wait))
	return now.Add(wait).After(latestStart(e.request, supply))
}

func timeAtRate(amount, rate float64) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	return time.Duration(min(amount/rate, maxWait.Seconds()) * float64(time.Second))
}
