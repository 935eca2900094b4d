// Package survey decides when an engine's load is polled and which load reports are
// published to other VMs. Idle engines are polled less often and their unchanged
// load is not published, as neither affects routing and both would dominate the
// control traffic of a large fleet.
package survey

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/routing"
)

const (
	// BusyPollInterval is the polling interval of a busy engine.
	BusyPollInterval = time.Second
	// IdlePollInterval is the polling interval of an idle engine. It bounds how late
	// an unresponsive or cold one is detected.
	IdlePollInterval = 3 * time.Second
	// pollTolerance is how early a poll may start, so that jitter does not delay it
	// to the next round.
	pollTolerance = 150 * time.Millisecond

	// refreshInterval is how often the unchanged load of a busy engine is published
	// again, as receivers discount old reports.
	refreshInterval = 2 * time.Second
	// minCallsChange and minCacheChange are the smallest changes published at once:
	// a fraction of the engine's calls and of its cache capacity.
	minCallsChange = 0.1
	minCacheChange = 0.05
	// minTokenTimeChange is the smallest change of the time per token that is published at
	// once, as a fraction of the smaller value. Single prompts change it by a quarter from one
	// second to the next; an engine that becomes slow, by a factor of two and more.
	minTokenTimeChange = 0.5
)

// IsPollDue reports whether to poll an engine whose last load report is l. inFlight is
// set if this VM has calls at the engine, which then counts as busy.
func IsPollDue(l routing.Load, inFlight bool, now time.Time) bool {
	interval := BusyPollInterval
	if isIdle(l) && !inFlight {
		interval = IdlePollInterval
	}
	return now.Sub(l.At) >= interval-pollTolerance
}

const (
	// minColdProbeInterval and maxColdProbeInterval bound the interval at which an engine
	// is probed for being cold while the store cannot tell.
	minColdProbeInterval = 150 * time.Millisecond
	maxColdProbeInterval = time.Second
	// maxIdleColdProbes is the number of probes of idle engines a second from which a VM
	// probes them less often.
	maxIdleColdProbes = 128
	// callsPerColdProbe shortens the interval with the calls at the engine. A cold engine
	// takes a few calls a second, and one with few calls gets no more before its next probe.
	callsPerColdProbe = 3
	// coldProbeTolerance is how early a probe may start.
	coldProbeTolerance = 20 * time.Millisecond
)

// ColdProbeRound is the interval at which to look for due probes while the store cannot
// tell which engines are cold.
const ColdProbeRound = minColdProbeInterval

// IsColdProbeDue reports whether to probe an engine again for being cold while the store
// cannot tell. polled is the number of engines that this VM polls, l the engine's last load
// report and inFlight the number of this VM's calls there.
func IsColdProbeDue(polled int, l routing.Load, inFlight int, probedAt, now time.Time) bool {
	idleInterval := min(time.Duration(polled)*time.Second/maxIdleColdProbes, maxColdProbeInterval)
	calls := l.Running + l.Waiting + inFlight
	interval := max(idleInterval/time.Duration(1+callsPerColdProbe*calls), minColdProbeInterval)
	return now.Sub(probedAt) >= interval-coldProbeTolerance
}

// callsPerBusyProbe is the number of calls that an engine gets between two probes. A cold
// engine bears about twice as many at once, which leaves as many for the news to arrive.
const callsPerBusyProbe = 2

// CallProbeInterval returns the interval at which a busy engine is probed for being cold, whatever
// the store says: it may have fallen silent. perSecond is the rate of calls that the engine
// gets from all VMs.
func CallProbeInterval(perSecond float64) time.Duration {
	if perSecond*BusyPollInterval.Seconds() <= callsPerBusyProbe {
		return BusyPollInterval
	}
	return max(time.Duration(callsPerBusyProbe/perSecond*float64(time.Second)), minColdProbeInterval)
}

// IsCallProbeDue reports whether to probe an engine that gets perSecond calls again for being
// cold.
func IsCallProbeDue(perSecond float64, probedAt, now time.Time) bool {
	interval := CallProbeInterval(perSecond)
	return interval < BusyPollInterval && now.Sub(probedAt) >= interval-coldProbeTolerance
}

// ShouldPublish reports whether to publish load l, given the load published last, which is
// zero if there is none.
func ShouldPublish(published, l routing.Load) bool {
	if isIdle(l) && isIdle(published) {
		return false
	}
	if isIdle(l) != isIdle(published) || l.At.Sub(published.At) >= refreshInterval {
		return true
	}
	before, after := float64(published.Running+published.Waiting), float64(l.Running+l.Waiting)
	cache := minCacheChange * float64(l.CacheTokens)
	pace := minTokenTimeChange * float64(min(published.TokenTime, l.TokenTime))
	return differsBy(before, after, max(1, minCallsChange*before)) ||
		(pace > 0 && differsBy(float64(published.TokenTime), float64(l.TokenTime), pace)) ||
		(cache > 0 && differsBy(float64(published.CacheUsed), float64(l.CacheUsed), cache))
}

func isIdle(l routing.Load) bool {
	return l.Running+l.Waiting == 0
}

func differsBy(a, b, least float64) bool {
	return max(a, b)-min(a, b) >= least
}
