package routing

import (
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// defaultSlots applies if neither the list nor a report states the slots.
	defaultSlots = 32
	// historyStep and historyLen are the resolution and length of the in-flight history.
	historyStep = 100 * time.Millisecond
	historyLen  = 32
	// minClockStep is how far a report's time must go back to mean that the endpoint's
	// clock was set back.
	minClockStep = 10 * time.Second
	// maxPlausibleLag is the largest report delay accepted as such; a larger one is
	// attributed to clock skew.
	maxPlausibleLag = 3 * time.Second
	// maxSkewDrift is how much the clocks may drift apart between two reports.
	maxSkewDrift = time.Millisecond
	// peerLoadWeight is the weight of a new report in averagePeerLoad.
	peerLoadWeight = 0.2
	biasHalfLife   = 5 * time.Second
)

// endpoint is the pool's state of one endpoint.
type endpoint struct {
	fleet.Endpoint
	// restartedAt is when this incarnation replaced an earlier one; older reports refer
	// to the earlier one. It is zero for the first incarnation that this VM knows.
	restartedAt time.Time
	unlisted    bool
	// eligibleIndex is the index in Pool.eligible, or -1. listIndex is the index in
	// Pool.endpoints, ringIndex that in ring.endpoints.
	eligibleIndex int
	listIndex     int
	ringIndex     int32

	inFlight int
	history  inFlightHistory
	calls    callRate
	// idleConns is the number of connections of ended calls that are probably idle, the
	// latest since idleSince.
	idleConns int
	idleSince time.Time
	// progressAt is when a call last finished, produced its first token or started while none
	// but yielding ones were in flight.
	progressAt time.Time
	// firstTokenAt is when a call last produced its first token.
	firstTokenAt time.Time
	// yielding is the number of calls in flight that wait for all calls that can be on time.
	yielding int

	load Load
	// reportedAt is the time of the report by this VM's clock, clockSkew the smallest
	// apparent delay of recent reports, which includes the difference of the clocks.
	reportedAt time.Time
	clockSkew  time.Duration
	// ownInReport is the number of this VM's calls that the load report includes.
	ownInReport int
	// averagePeerLoad is the moving average of other VMs' calls.
	averagePeerLoad float64

	slotTime   average
	decodeRate average
	livePace   livePace
	// prefillRate holds the samples of this endpoint alone.
	prefillRate rateEstimate
	// bias is how much later the first token arrives than predicted, in seconds.
	bias   float64
	biasAt time.Time

	prefillQueue prefillQueue
	streams      streams

	// suspectedAt is when a connection broke; it is zero once a newer report shows
	// whether the endpoint restarted.
	suspectedAt time.Time

	// pausedUntil is when the endpoint accepts requests from this VM again.
	pausedUntil time.Time

	consecutiveFailures int
	backoff             time.Duration
	retryAt             time.Time
	probing             bool

	contribution contribution
	prefixCache  prefixCache
	memory       engineMemory
	reported     reportedPace
	pace         pace
}

func newEndpoint(listed fleet.Endpoint) *endpoint {
	return &endpoint{
		Endpoint:      listed,
		eligibleIndex: -1,
	}
}

// draining reports whether the endpoint gets no new calls.
func (e *endpoint) draining() bool {
	return e.unlisted || e.State == fleet.StateLeaving || e.load.Leaving
}

// ejected reports whether the endpoint is in backoff or awaits its probe.
func (e *endpoint) ejected() bool {
	return !e.retryAt.IsZero()
}

// paused reports whether the endpoint accepts no requests from this VM now.
func (e *endpoint) paused(now time.Time) bool {
	return now.Before(e.pausedUntil)
}

// slots returns the batch slots; the list takes precedence over reports.
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

func (e *endpoint) callStarted(yields bool, now time.Time) {
	e.history.record(e.inFlight, now)
	e.calls.add(now)
	if e.inFlight == e.yielding {
		e.progressAt = now
	}
	e.inFlight++
	if yields {
		e.yielding++
	}
}

func (e *endpoint) callEnded(yields bool, now time.Time) {
	e.history.record(e.inFlight, now)
	e.progressAt = now
	e.inFlight--
	if yields {
		e.yielding--
	}
}

// applyReport applies a newer load report; it returns false for an older one.
func (e *endpoint) applyReport(l Load, now time.Time) bool {
	clockBack := e.load.At.Sub(l.At)
	if clockBack >= 0 && clockBack < minClockStep && !e.reportedAt.IsZero() {
		return false
	}
	e.reportedAt = now.Add(-e.reportLag(now.Sub(l.At), clockBack >= minClockStep))
	e.load = l
	e.ownInReport = e.history.at(e.reportedAt, e.inFlight)
	e.averagePeerLoad += peerLoadWeight * (e.reportedPeerLoad() - e.averagePeerLoad)
	e.memory.applyReport(float64(l.CacheUsed), e.reportedAt)
	return true
}

// reportLag returns the age of a report. If the clocks disagree, it is the age relative
// to the report with the smallest apparent delay.
func (e *endpoint) reportLag(apparent time.Duration, stepped bool) time.Duration {
	e.clockSkew += maxSkewDrift
	if e.reportedAt.IsZero() || stepped || apparent < e.clockSkew {
		e.clockSkew = apparent
	}
	if apparent >= 0 && apparent <= maxPlausibleLag {
		return apparent
	}
	return apparent - e.clockSkew
}

// reportedPeerLoad is the number of other VMs' calls at the time of the last report.
func (e *endpoint) reportedPeerLoad() float64 {
	return float64(max(e.load.Running+e.load.Waiting-e.ownInReport, 0))
}

// occupancy estimates the number of calls at the endpoint now; share is this VM's
// fraction of the region's load. Other VMs' calls are a weighted mean of the report,
// which decays to the average, and an extrapolation from this VM's calls in flight.
func (e *endpoint) occupancy(share float64, now time.Time) float64 {
	own := float64(e.inFlight)
	extrapolated := own * min(1/share-1, maxExtrapolationRatio)
	if e.reportedAt.IsZero() {
		return own + extrapolated
	}
	weight := extrapolationWeight(share)
	return own + weight*extrapolated + (1-weight)*e.peerLoad(now)
}

// extrapolationWeight is the weight of the extrapolation from this VM's calls. It falls
// with a small share of the load, as the VM then has no calls at most endpoints.
func extrapolationWeight(share float64) float64 {
	return maxExtrapolationWeight * min(1, (maxExtrapolationRatio+1)*share)
}

// peerLoad estimates other VMs' calls from the reports alone.
func (e *endpoint) peerLoad(now time.Time) float64 {
	weight := math.Exp(-now.Sub(e.reportedAt).Seconds() / reportDecaySeconds)
	return weight*e.reportedPeerLoad() + (1-weight)*e.averagePeerLoad
}

// occupiedSlots returns the slots that admission must count as full. It is the higher of
// both estimates, as a call too many would wait in the endpoint's queue, where admission
// cannot reorder it.
func (e *endpoint) occupiedSlots(share float64, now time.Time) float64 {
	occupied := e.occupancy(share, now)
	if e.reportedAt.IsZero() {
		return occupied
	}
	return max(occupied, float64(e.inFlight)+e.peerLoad(now))
}

// reportedQueue is the reported queue length, decayed by the report's age.
func (e *endpoint) reportedQueue(now time.Time) float64 {
	if e.reportedAt.IsZero() || e.load.Waiting == 0 {
		return 0
	}
	return float64(e.load.Waiting) * math.Exp(-now.Sub(e.reportedAt).Seconds()/reportDecaySeconds)
}

// tokensAhead estimates the prompt tokens that the endpoint prefills before a call that
// is sent now. For VMs that do not report their queues it extrapolates from this VM's
// prompts.
func (e *endpoint) tokensAhead(queueLevel int, share, silentPeers, rate float64, now time.Time) float64 {
	known, own := e.prefillQueue.tokensAhead(queueLevel, rate, now)
	return known + extrapolationWeight(share)*own*min(1/share-1, maxExtrapolationRatio)*silentPeers
}

// currentBias is the decayed bias in seconds.
func (e *endpoint) currentBias(now time.Time) float64 {
	if e.bias == 0 {
		return 0
	}
	return e.bias * math.Exp2(-float64(now.Sub(e.biasAt))/float64(biasHalfLife))
}

// stallSeconds returns how long the endpoint has made no progress beyond the expected
// time of a call. Calls that yield may wait for long at an endpoint that serves others.
func (e *endpoint) stallSeconds(expected float64, now time.Time) float64 {
	if e.inFlight == e.yielding {
		return 0
	}
	return max(now.Sub(e.progressAt).Seconds()-expected, 0)
}

// inFlightHistory records the recent numbers of calls in flight.
type inFlightHistory struct {
	counts [historyLen]int32
	// lastStep is the step number of the newest entry.
	lastStep int64
}

// record stores the count that applied until now.
func (h *inFlightHistory) record(count int, now time.Time) {
	step := now.UnixNano() / int64(historyStep)
	if step-h.lastStep > historyLen {
		h.lastStep = step - historyLen
	}
	for h.lastStep < step {
		h.lastStep++
		h.counts[h.lastStep%historyLen] = int32(count)
	}
}

// at returns the count at a moment; current is the count now.
func (h *inFlightHistory) at(moment time.Time, current int) int {
	step := moment.UnixNano()/int64(historyStep) + 1
	if step > h.lastStep {
		return current
	}
	step = max(step, h.lastStep-historyLen+1)
	return int(h.counts[step%historyLen])
}
