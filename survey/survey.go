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
	return differsBy(before, after, max(1, minCallsChange*before)) ||
		(cache > 0 && differsBy(float64(published.CacheUsed), float64(l.CacheUsed), cache))
}

func isIdle(l routing.Load) bool {
	return l.Running+l.Waiting == 0
}

func differsBy(a, b, least float64) bool {
	return max(a, b)-min(a, b) >= least
}
