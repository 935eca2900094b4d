package routing

import (
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// defaultSlots stands in where neither list nor report names the slots.
	defaultSlots = 32
	// historyStep and historyLen bound how far back in-flight counts are known.
	historyStep = 100 * time.Millisecond
	historyLen  = 32
	// clockStep is how far back a report's time must go for its clock to have been set.
	clockStep = 10 * time.Second
	// plausibleLag is how late a report of an endpoint whose clock agrees may be.
	plausibleLag = 3 * time.Second
	// skewDrift is how much the clocks may drift apart between two reports.
	skewDrift = time.Millisecond
	// usualWeight is the weight of a new report in the usual load of others.
	usualWeight = 0.2
	// biasHalf is the time in which an unconfirmed correction halves.
	biasHalf = 5 * time.Second
)

// endpoint is what the pool knows of one endpoint.
type endpoint struct {
	fleet.Endpoint
	// restartedAt is when this life of the endpoint took the place of an earlier one
	// here: what was said of it before then was of the earlier one. It is zero for the
	// first life that this VM knows.
	restartedAt time.Time
	unlisted    bool
	// place is the index in Pool.eligible, or -1.
	place int

	inFlight int
	history  history
	// progressAt is when a call last began at the idle endpoint or last ended.
	progressAt time.Time

	load Load
	// loadAt is the report's time by our clock, skew what our clock is ahead.
	loadAt time.Time
	skew   time.Duration
	// ownAt are this VM's calls that the load report includes.
	ownAt int
	// usual is the smoothed load of other VMs.
	usual float64

	hold  average
	speed average
	// livePace is the time for one token, in seconds, of streams under way.
	livePace   average
	livePaceAt time.Time
	// livePaced is how many events it was learnt from.
	livePaced int
	// bias is how much later the first token comes than predicted, in seconds.
	bias   float64
	biasAt time.Time

	reading reading

	// doubtedAt is when a connection broke, until it is known which life the endpoint
	// is in.
	doubtedAt time.Time

	// closedUntil is until when the endpoint takes no request of this VM.
	closedUntil time.Time

	failures int
	backoff  time.Duration
	retryAt  time.Time
	probing  bool

	counted counted
	cache   cache
}

func newEndpoint(listed fleet.Endpoint) *endpoint {
	return &endpoint{
		Endpoint: listed,
		place:    -1,
	}
}

// unlist takes the endpoint out of its pool; calls in flight still end at it.
func (e *endpoint) unlist() {
	e.unlisted = true
	e.place = -1
	e.counted = counted{}
}

// leaves reports whether the endpoint gets no new call.
func (e *endpoint) leaves() bool {
	return e.unlisted || e.State == fleet.StateLeaving || e.load.Leaving
}

// ejected reports whether the endpoint is in back-off or waits for its probe.
func (e *endpoint) ejected() bool {
	return !e.retryAt.IsZero()
}

// closed reports whether the endpoint takes no request of this VM now.
func (e *endpoint) closed(now time.Time) bool {
	return now.Before(e.closedUntil)
}

// slots prefers the list, which the endpoint cannot get wrong.
func (e *endpoint) slots() float64 {
	switch {
	case e.Slots > 0:
		return float64(e.Slots)
	case e.load.Slots > 0:
		return float64(e.load.Slots)
	default:
		return defaultSlots
	}
}

// enter counts one more call in flight.
func (e *endpoint) enter(now time.Time) {
	e.history.record(e.inFlight, now)
	if e.inFlight == 0 {
		e.progressAt = now
	}
	e.inFlight++
}

// leave counts one call less in flight.
func (e *endpoint) leave(now time.Time) {
	e.history.record(e.inFlight, now)
	e.progressAt = now
	e.inFlight--
}

// report takes a newer load report; it returns false for an older one.
func (e *endpoint) report(l Load, now time.Time) bool {
	back := e.load.At.Sub(l.At)
	if back >= 0 && back < clockStep && !e.loadAt.IsZero() {
		return false
	}
	e.loadAt = now.Add(-e.lag(now.Sub(l.At), back >= clockStep))
	e.load = l
	e.ownAt = e.history.at(e.loadAt, e.inFlight)
	e.usual += usualWeight * (e.seen() - e.usual)
	return true
}

// lag is how old a report is. Where the clocks clearly disagree it is how much
// older it is than the youngest one.
func (e *endpoint) lag(apparent time.Duration, stepped bool) time.Duration {
	e.skew += skewDrift
	if e.loadAt.IsZero() || stepped || apparent < e.skew {
		e.skew = apparent
	}
	if apparent >= 0 && apparent <= plausibleLag {
		return apparent
	}
	return apparent - e.skew
}

// seen is the load of other VMs at the time of the last report.
func (e *endpoint) seen() float64 {
	return float64(max(e.load.Running+e.load.Waiting-e.ownAt, 0))
}

// occupancy estimates the calls at the endpoint now. share is this VM's part of
// the region's load. Other VMs' calls are guessed in two ways: by the report,
// which fades to the usual load, and by the own calls in flight, as the other
// VMs choose as this one does but not at the same moment.
func (e *endpoint) occupancy(share float64, now time.Time) float64 {
	own := float64(e.inFlight)
	alike := own * min(1/share-1, alikeMost)
	if e.loadAt.IsZero() {
		return own + alike
	}
	trust := alikeTrust(share)
	return own + trust*alike + (1-trust)*e.reported(now)
}

// alikeTrust is how far other VMs' calls are guessed from the own ones. A VM that has
// one call in a hundred has none at most endpoints, which says nothing of the others'
// there; what one of eight has does.
func alikeTrust(share float64) float64 {
	return alikeWeight * min(1, (alikeMost+1)*share)
}

// reported is the other VMs' load by the reports alone.
func (e *endpoint) reported(now time.Time) float64 {
	trust := math.Exp(-now.Sub(e.loadAt).Seconds() / reportTrust)
	return trust*e.seen() + (1-trust)*e.usual
}

// taken is how many slots admission must take as full: the higher guess, as a
// call too many waits at the endpoint where no priority of ours can help it.
func (e *endpoint) taken(share float64, now time.Time) float64 {
	occupied := e.occupancy(share, now)
	if e.loadAt.IsZero() {
		return occupied
	}
	return max(occupied, float64(e.inFlight)+e.reported(now))
}

// queued is the reported queue, which is sure at least to have been there.
func (e *endpoint) queued(now time.Time) float64 {
	if e.loadAt.IsZero() || e.load.Waiting == 0 {
		return 0
	}
	return float64(e.load.Waiting) * math.Exp(-now.Sub(e.loadAt).Seconds()/reportTrust)
}

// unread is how many prompt tokens the endpoint reads before a call that is sent
// now: those that are known, and for VMs that do not tell theirs as many of the
// own ones as their part of the load says.
func (e *endpoint) unread(turn int, share, untold, rate float64, now time.Time) float64 {
	known, own := e.reading.ahead(turn, rate, now)
	return known + alikeTrust(share)*own*min(1/share-1, alikeMost)*untold
}

// correction is the decayed bias in seconds.
func (e *endpoint) correction(now time.Time) float64 {
	if e.bias == 0 {
		return 0
	}
	return e.bias * math.Exp2(-float64(now.Sub(e.biasAt))/float64(biasHalf))
}

// stall is how long, in seconds, the endpoint has ended no call although the
// expected time for one has passed.
func (e *endpoint) stall(expected float64, now time.Time) float64 {
	if e.inFlight == 0 {
		return 0
	}
	return max(now.Sub(e.progressAt).Seconds()-expected, 0)
}

// history remembers how many calls were in flight in the recent past.
type history struct {
	counts [historyLen]int32
	// step is the number of the newest entry.
	step int64
}

// record notes the count that held until now.
func (h *history) record(count int, now time.Time) {
	step := now.UnixNano() / int64(historyStep)
	if step-h.step > historyLen {
		h.step = step - historyLen
	}
	for h.step < step {
		h.step++
		h.counts[h.step%historyLen] = int32(count)
	}
}

// at returns the count at a moment; current is the count now.
func (h *history) at(moment time.Time, current int) int {
	step := moment.UnixNano()/int64(historyStep) + 1
	if step > h.step {
		return current
	}
	step = max(step, h.step-historyLen+1)
	return int(h.counts[step%historyLen])
}
