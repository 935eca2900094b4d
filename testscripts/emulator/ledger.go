package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Check identifies an invariant.
type Check string

// The available checks.
const (
	CheckDuplicateRun    Check = "twice"
	CheckRejectedButRan  Check = "refused_ran"
	CheckColdRate        Check = "cold"
	CheckRetryBudget     Check = "budget"
	CheckVersionRollback Check = "version_back"
	CheckStaleVersion    Check = "version_late"
	CheckDeadVMListed    Check = "dead_named"
	CheckHomeRegions     Check = "homes"
	CheckMaxRuns         Check = "runs"
	CheckEvacuation      Check = "evacuated"
	CheckDraining        Check = "leaving"
	CheckAnswered        Check = "unanswered"
	CheckQuarantine      Check = "crashing"
	CheckEngineLimit     Check = "limit"
	CheckLeavingHeard    Check = "leaving_heard"
	CheckRest            Check = "rest"
	CheckStreamVersions  Check = "stream_versions"
	CheckResumedStreams  Check = "resumed_streams"
	CheckCrashingParts   Check = "crashing_parts"
	CheckSoundParts      Check = "sound_parts"
	CheckUnharmed        Check = "unharmed"
)

const (
	// convergenceTime is how long a VM must be undisturbed before timing bounds apply to it.
	convergenceTime = 6 * time.Second
	// maxDeadListed is how long a dead VM may stay in the directory.
	maxDeadListed = convergenceTime + 3*time.Second
	// maxColdRequests is how many requests a cold endpoint may get in one second.
	maxColdRequests = 5
	// maxRunOverruns is how often in one run of the simulation a request may run on more
	// endpoints than allowed. It happens when a VM is lost: the caller's VM assumes one
	// run where there may have been two.
	maxRunOverruns = 3
	// coldNoticeDelay is the time until a VM can learn that an endpoint is cold: one read
	// of the store and its delivery. Requests sent earlier are not counted.
	coldNoticeDelay = 200 * time.Millisecond
	// deadlineTolerance is how late after its deadline a request may be answered.
	deadlineTolerance = 500 * time.Millisecond
)

// ledger records what callers and endpoints observe and checks it.
type ledger struct {
	world         *world
	requests      []*request
	answered      int
	served        int
	runs          int
	failures      int
	violations    []Violation
	versions      map[uint64]uint64
	retryArrivals []time.Time
	// runOverruns counts runs on more endpoints than the route allows.
	runOverruns int
	// crashes holds the times of the crashes that each content caused, and
	// sentAfterQuarantine the requests that reached endpoints although the content
	// should have been quarantined.
	crashes             map[call.Subject][]time.Time
	sentAfterQuarantine map[call.Subject]map[int]bool
	parts               []*partTracker
	// callerRetries counts interrupted requests that were sent again, and
	// falseQuarantines harmless requests that were quarantined.
	callerRetries    int
	falseQuarantines int
	crashNotes       int
	// limitedRequests counts requests that reached engines with a limit.
	limitedRequests int
	// crashedTogether is set from the first planned crash of several engines on.
	crashedTogether bool
}

func newLedger(w *world) *ledger {
	return &ledger{
		world:    w,
		versions: make(map[uint64]uint64),

		crashes:             make(map[call.Subject][]time.Time),
		sentAfterQuarantine: make(map[call.Subject]map[int]bool),
	}
}

func (l *ledger) addViolation(c Check, format string, args ...any) {
	l.violations = append(l.violations, Violation{
		Check:   c,
		At:      l.world.clock.elapsed(),
		Message: fmt.Sprintf(format, args...),
	})
}

// converged reports whether timing bounds apply to a VM now.
func (l *ledger) converged(v *vm) bool {
	now := l.world.clock.now
	store := l.world.store
	storeStable := store.outages == 0 && now.Sub(store.lastFaultAt) >= convergenceTime
	for _, denials := range store.denied {
		storeStable = storeStable && denials == 0
	}
	partitioned := false
	for path, n := range l.world.network.partitions {
		partitioned = partitioned || (n > 0 && (path.from == v.member.Region || path.to == v.member.Region))
	}
	return v.up && !v.frozen && !partitioned && storeStable && now.Sub(v.disturbedAt) >= convergenceTime
}

// checkVersion checks the configuration version that a VM uses for a request.
func (l *ledger) checkVersion(v *vm, r *request, version uint64) {
	if version < l.versions[v.incarnation] {
		l.addViolation(CheckVersionRollback, "%s went back from version %d to %d", v.member.ID, l.versions[v.incarnation], version)
	}
	l.versions[v.incarnation] = max(l.versions[v.incarnation], version)
	if !l.converged(v) {
		return
	}
	for _, a := range l.world.store.acknowledged {
		if a.version > version && r.sentAt.Sub(a.at) > configPropagation {
			l.addViolation(CheckStaleVersion, "%s uses version %d, but version %d was acknowledged %s earlier", v.member.ID, version, a.version, r.sentAt.Sub(a.at))
			return
		}
	}
}

// checkDirectory checks that a directory lists no dead VMs.
func (l *ledger) checkDirectory(by *vm, list []*vm) {
	if !l.converged(by) || !slices.ContainsFunc(list, func(v *vm) bool { return v.up }) {
		return
	}
	for _, v := range list {
		if !v.up && l.world.clock.now.Sub(v.disturbedAt) > maxDeadListed {
			l.addViolation(CheckDeadVMListed, "%s lists %s, which has been down for %s", by.member.ID, v.member.ID, l.world.clock.now.Sub(v.disturbedAt))
		}
	}
}

// recordArrival records that a request reached an endpoint, and checks the arrival.
func (l *ledger) recordArrival(e *engine, a attempt) {
	now := l.world.clock.now
	r := a.request
	r.outcome.arrivals++
	if r.outcome.arrivals > 1 {
		l.retryArrivals = append(l.retryArrivals, now)
		l.checkBudget(now)
		l.world.after(retryWindow, func() { l.checkBudget(now.Add(retryWindow - 1)) })
	}
	if len(r.homes) > 0 && !slices.Contains(r.homes, e.endpoint.Region) {
		l.addViolation(CheckHomeRegions, "request %d reached region %s, which is not one of its homes", r.id, e.endpoint.Region)
	}
	l.checkCold(e, a, now)
	l.checkQuarantine(a)
	l.checkCrashingParts(a)
	l.checkLimit(e, a.from)
	l.checkNotices(e, a.from, r.sentAt)
	if l.converged(a.from) {
		l.checkAcknowledged(e, a)
	}
}

// checkCold checks the request rate of a cold endpoint.
func (l *ledger) checkCold(e *engine, a attempt, now time.Time) {
	if !e.cold() || a.sentAt.Sub(e.coldUntil.Add(-coldFor)) < coldNoticeDelay {
		return
	}
	e.coldArrivals = append(e.coldArrivals, arrival{
		sentAt:    a.sentAt,
		arrivedAt: now,
	})
	count := 0
	for _, x := range e.coldArrivals {
		if now.Sub(x.sentAt) < time.Second {
			count++
		}
	}
	if count > maxColdRequests {
		l.addViolation(CheckColdRate, "%s received %d requests in one second while cold", e.endpoint.ID, count)
	}
}

// checkBudget checks the ratio of retries to the requests that callers sent, whether these
// arrived or not, in the window that ends at a time.
func (l *ledger) checkBudget(end time.Time) {
	requests := 0
	for _, age := range []time.Duration{0, retryWindow / 2, retryWindow} {
		requests = max(requests, l.sentBetween(end.Add(-age-retryWindow), end.Add(-age)))
	}
	retries := countBetween(l.retryArrivals, end.Add(-retryWindow), end)
	if bound := retryRatio*float64(requests) + retryBurst; float64(retries) > bound {
		l.addViolation(CheckRetryBudget, "%d retries of %d requests exceed the retry budget", retries, requests)
	}
}

// sentBetween counts the requests that callers sent after one time and until another.
func (l *ledger) sentBetween(after, until time.Time) int {
	n := 0
	for i := len(l.requests) - 1; i >= 0 && l.requests[i].sentAt.After(after); i-- {
		if !l.requests[i].sentAt.After(until) {
			n++
		}
	}
	return n
}

func countBetween(list []time.Time, after, until time.Time) int {
	n := 0
	for i := len(list) - 1; i >= 0 && list[i].After(after); i-- {
		if !list[i].After(until) {
			n++
		}
	}
	return n
}

// checkAcknowledged checks an attempt against the evacuations and drains that the store
// has acknowledged.
func (l *ledger) checkAcknowledged(e *engine, a attempt) {
	evacuatedAt := time.Time{}
	for _, k := range l.world.store.acknowledged {
		switch {
		case k.draining == e.endpoint.ID && a.request.sentAt.Sub(k.at) > drainTimeout:
			l.addViolation(CheckDraining, "%s sent a request to %s, which started to drain %s earlier", a.from.member.ID, e.endpoint.ID, a.sentAt.Sub(k.at))
		case k.evacuated != e.endpoint.DataCentre:
		case k.canceled:
			evacuatedAt = time.Time{}
		case evacuatedAt.IsZero():
			evacuatedAt = k.at
		}
	}
	if !evacuatedAt.IsZero() && a.sentAt.Sub(evacuatedAt) > evacuationTimeout {
		l.addViolation(CheckEvacuation, "%s sent a request to %s in an evacuated data centre", a.from.member.ID, e.endpoint.ID)
	}
}

// recordRun records that an endpoint started to run a request.
func (l *ledger) recordRun(e *engine, a attempt) {
	l.runs++
	r := a.request
	r.outcome.runs++
	if !slices.Contains(r.outcome.engines, e) {
		r.outcome.engines = append(r.outcome.engines, e)
	}
	if r.outcome.runs > 1 && !r.idempotent {
		l.addViolation(CheckDuplicateRun, "request %d ran %d times", r.id, r.outcome.runs)
	}
	if r.outcome.answered && r.outcome.answer.Class() == result.ClassNotRun {
		l.addViolation(CheckRejectedButRan, "request %d ran after it was answered with code %d", r.id, r.outcome.answer)
	}
	if overrun := len(l.running(r.outcome.engines)) - r.maxRuns; overrun > 0 {
		l.runOverruns++
		if l.runOverruns > maxRunOverruns {
			l.addViolation(CheckMaxRuns, "request %d ran on %d endpoints", r.id, len(r.outcome.engines))
		}
	}
}

func (l *ledger) running(engines []*engine) []*engine {
	var out []*engine
	for _, e := range engines {
		if e.up {
			out = append(out, e)
		}
	}
	return out
}

// recordAnswer records the answer to the caller.
func (l *ledger) recordAnswer(r *request, v *vm, code result.Code) {
	if r.outcome.answered {
		l.addViolation(CheckAnswered, "request %d was answered twice", r.id)
	}
	r.outcome.answered = true
	r.outcome.answer = code
	l.answered++
	if code == result.Done {
		l.served++
	}
	l.checkUnharmed(r, code)
	l.recordQuarantine(r, code)
	l.world.retryByCaller(r, v, code)
	if code.Class() == result.ClassNotRun && r.outcome.runs > 0 {
		l.addViolation(CheckRejectedButRan, "request %d ran but was answered with code %d", r.id, code)
	}
	if late := l.world.clock.now.Sub(r.deadline); late > deadlineTolerance && l.converged(v) {
		l.addViolation(CheckAnswered, "request %d was answered %s after its deadline", r.id, late)
	}
}
