package emulator

import (
	"slices"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// CrashTogether crashes a part of the engines of each region at once; others return cold at
// their addresses, all at once.
type CrashTogether struct {
	AtSeconds    float64 `json:"at"`
	AfterSeconds float64 `json:"after"`
	// Fraction is the part of the engines of a region, rounded up.
	Fraction float64 `json:"fraction"`
}

// crashTogether crashes the engines and schedules the return of those that replace them.
func (w *world) crashTogether(c CrashTogether) {
	w.ledger.crashedTogether = true
	for r := range w.topology.regions {
		for _, e := range w.firstEngines(regionName(r), c.Fraction) {
			e.crash()
			w.after(seconds(c.AfterSeconds), func() {
				replacement := w.addEngine(e.endpoint.Region)
				replacement.reuseAddress(e)
				replacement.becomeCold()
			})
		}
	}
}

// firstEngines returns a part of the running engines of a region, rounded up.
func (w *world) firstEngines(region string, fraction float64) []*engine {
	var up []*engine
	for _, e := range w.engines {
		if e.up && e.endpoint.Region == region {
			up = append(up, e)
		}
	}
	n := 0
	for float64(n) < fraction*float64(len(up)) {
		n++
	}
	return up[:n]
}

// maxUnreached is the number of endpoints that a VM tries in vain before it tells the caller.
const maxUnreached = 3

// checkUnharmed checks that a request which no crashed engine ran is served: where the other
// engines have room, a crash costs callers only what ran on it. Requests may be refused when the
// retry budget is spent, which bounds the retries of all VMs.
func (l *ledger) checkUnharmed(r *request, code result.Code) {
	ranOnCrashed := slices.ContainsFunc(r.outcome.engines, func(e *engine) bool { return !e.up })
	if !l.crashedTogether || ranOnCrashed || code == result.Done || code == result.RetryBudget || r.outcome.unreached >= maxUnreached {
		return
	}
	l.addViolation(CheckUnharmed, "request %d, which no crashed engine ran, was answered with code %d", r.id, code)
}
