package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
)

// Time bounds of the checks. They allow for a busy machine.
const (
	// propagationTime is how long a change may take to be in force on all VMs.
	propagationTime = 6 * time.Second
	// settleTime is how long after a disturbance time bounds are not checked.
	settleTime = 6 * time.Second
)

// interval is a half-open time interval; a zero end means that it is still open.
type interval struct {
	from, to time.Time
}

func (s interval) contains(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// ledger records what clients and replicas observed and which faults were injected.
type ledger struct {
	mu sync.Mutex
	// retryRatio is the number of retries allowed per request, retrySlack that of further ones.
	retryRatio float64
	retrySlack int
	runs       []replica.Run
	attempts   []attempt
	// drainingSince is when an endpoint was published as draining, coldPeriods when it was cold.
	drainingSince map[string]time.Time
	coldPeriods   map[string][]interval
	// disturbances are the intervals in which time bounds are not checked.
	disturbances []interval
	// versions is when each configuration version was published; version 1 comes first.
	versions []time.Time
	// limits are the rate limits that replicas announced, probes the times of their load and
	// health probes.
	limits       map[string][]limitInterval
	probes       map[string][]time.Time
	plannedStops []interval
	// crashesTogether are the times in which several engines crashed and returned at once.
	crashesTogether []interval
	// vmDisturbedAt is when each VM was restarted or resumed.
	vmDisturbedAt map[string][]time.Time
	// vmDown is when each VM was stopped, killed or suspended, until it ran again.
	vmDown map[string][]interval
	// runEnds is when a replica last ended its work on an attempt.
	runEnds map[string]time.Time
	// ownEnds are the ends of VMs' processes that no signal explains, peakMB is their most memory.
	ownEnds []string
	peakMB  map[string]int
	// memoryMB is the memory of each VM.
	memoryMB    int
	faultCounts map[string]int
	faultMarks  []faultMark
}

func newLedger(retryRatio float64, retrySlack, memoryMB int) *ledger {
	return &ledger{
		retryRatio:    retryRatio,
		retrySlack:    retrySlack,
		memoryMB:      memoryMB,
		drainingSince: make(map[string]time.Time),
		coldPeriods:   make(map[string][]interval),
		faultCounts:   make(map[string]int),
		vmDisturbedAt: make(map[string][]time.Time),
		vmDown:        make(map[string][]interval),

		limits:  make(map[string][]limitInterval),
		probes:  make(map[string][]time.Time),
		runEnds: make(map[string]time.Time),
		peakMB:  make(map[string]int),
	}
}

// recordRun records a request that a replica began to run or refused.
func (l *ledger) recordRun(r replica.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// recordAttempt records a finished attempt.
func (l *ledger) recordAttempt(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// recordCold records an interval in which an endpoint is cold.
func (l *ledger) recordCold(id string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldPeriods[id] = append(l.coldPeriods[id], interval{from: from, to: to})
}

// recordDraining records that an endpoint is draining from now on.
func (l *ledger) recordDraining(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.drainingSince[id]; !ok {
		l.drainingSince[id] = time.Now()
	}
}

// recordFault counts a fault and marks it for the plot.
func (l *ledger) recordFault(fault string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faultCounts[fault]++
	l.faultMarks = append(l.faultMarks, faultMark{
		at:   time.Now(),
		name: fault,
	})
}

// recordDisturbance records a disturbance from a given time until now.
func (l *ledger) recordDisturbance(from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbances = append(l.disturbances, interval{from: from, to: time.Now()})
}

// isUndisturbed reports whether no disturbance was active in the settleTime before at.
func (l *ledger) isUndisturbed(at time.Time) bool {
	for _, s := range l.disturbances {
		if s.from.Before(at) && s.to.Add(settleTime).After(at) {
			return false
		}
	}
	return true
}

// Violation is a broken guarantee: the check that found it, and the evidence.
type Violation struct {
	Check, Detail string
}

// check runs all checks and returns the violations.
func (l *ledger) check() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Violation
	for _, check := range []struct {
		name string
		do   func() []string
	}{
		{name: "runs_once", do: l.checkAtMostOnce},
		{name: "promise_of_not_run", do: l.checkNotRun},
		{name: "whole_own_answers", do: l.checkAnswers},
		{name: "leaving_endpoints", do: l.checkDraining},
		{name: "cold_endpoints", do: l.checkCold},
		{name: "repeat_budget", do: l.checkRetryBudget},
		{name: "configuration", do: l.checkConfigurationVersions},
		{name: "planned_stop", do: l.checkPlannedStops},
		{name: "stop_answers", do: l.checkStopAnswers},
		{name: "own_ends", do: func() []string { return l.ownEnds }},
		{name: "memory", do: l.checkMemory},
		{name: "unasked", do: l.checkUnsentRuns},
		{name: "crashing_calls", do: l.checkCrashingCalls},
		{name: "crashing_parts", do: l.checkCrashingParts},
		{name: "sound_parts", do: l.checkSoundParts},
		{name: "keys", do: l.checkKeys},
		{name: "limit", do: l.checkWorkspaceLimit},
		{name: "homes", do: l.checkHomeRegions},
		{name: "endpoint_limit", do: l.checkEndpointLimits},
		{name: "leaving_notice", do: l.checkLeavingNotices},
		{name: "rest", do: l.checkRests},
		{name: "stream_versions", do: l.checkStreamVersions},
		{name: "resumed_streams", do: l.checkResumedStreams},
		{name: "crash_together", do: l.checkCrashTogether},
	} {
		for _, detail := range check.do() {
			out = append(out, Violation{Check: check.name, Detail: detail})
		}
	}
	return out
}

// runsByID groups the runs that replicas didn't refuse by attempt.
func (l *ledger) runsByID() map[string][]replica.Run {
	runs := make(map[string][]replica.Run)
	for _, r := range l.runs {
		if !r.Refused {
			runs[r.Attempt] = append(runs[r.Attempt], r)
		}
	}
	return runs
}

// checkAtMostOnce checks that attempts which must not be retried ran once at most.
func (l *ledger) checkAtMostOnce() (out []string) {
	runs := l.runsByID()
	for _, a := range l.attempts {
		if a.runsAtMostOnce() && len(runs[a.id]) > 1 {
			out = append(out, fmt.Sprintf("%s %s ran %d times", a.id, a.path, len(runs[a.id])))
		}
	}
	return out
}

// checkNotRun checks that attempts reported as not run did not run.
func (l *ledger) checkNotRun() (out []string) {
	runs := l.runsByID()
	for _, a := range l.attempts {
		if a.reportedNotRun() && len(runs[a.id]) > 0 {
			out = append(out, fmt.Sprintf("%s %s got %d and ran at %s", a.id, a.path, a.status, runs[a.id][0].Replica))
		}
	}
	return out
}

// checkAnswers checks that success responses are complete and belong to their attempts.
func (l *ledger) checkAnswers() (out []string) {
	for _, a := range l.attempts {
		if a.failure != "" {
			out = append(out, fmt.Sprintf("%s %s from %s: %s", a.id, a.path, a.vm, a.failure))
		}
	}
	return out
}

// checkUnsentRuns checks that replicas ran only what clients sent, under the same path and query.
func (l *ledger) checkUnsentRuns() (out []string) {
	sent := make(map[string]string, len(l.attempts))
	for _, a := range l.attempts {
		sent[a.id] = cmp.Or(a.target, a.path)
	}
	for _, r := range l.runs {
		ran := cmp.Or(r.Target, r.Path)
		if target, ok := sent[r.Attempt]; !ok || target != ran {
			out = append(out, fmt.Sprintf("%s %s was run by %s and not sent so", r.Attempt, ran, r.Replica))
		}
	}
	return out
}

// checkDraining checks that no request reaches a draining endpoint after propagationTime.
func (l *ledger) checkDraining() (out []string) {
	for _, r := range l.runs {
		at, ok := l.drainingSince[r.Replica]
		if ok && r.At.Sub(at) > propagationTime && l.isUndisturbed(r.At) {
			out = append(out, fmt.Sprintf("%s reached %s %v after it left", r.Attempt, r.Replica, r.At.Sub(at)))
		}
	}
	return out
}

// checkCold checks the request rate of cold endpoints.
func (l *ledger) checkCold() (out []string) {
	for id, spans := range l.coldPeriods {
		var times []time.Time
		for _, r := range l.runs {
			if r.Replica == id && slices.ContainsFunc(spans, func(s interval) bool { return s.contains(r.At) }) {
				times = append(times, r.At)
			}
		}
		if most := maxInWindow(times, time.Second); float64(most) > maxColdRequestsPerSecond {
			out = append(out, fmt.Sprintf("%s got %d requests in a second while it was cold", id, most))
		}
	}
	return out
}

// maxInWindow returns the largest number of times in any window of the given length.
func maxInWindow(times []time.Time, length time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) >= length {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// checkRetryBudget checks that retries of a service stay within the retry ratio and slack.
func (l *ledger) checkRetryBudget() (out []string) {
	serviceOf := make(map[string]string, len(l.attempts))
	sendTimes := make(map[string][]time.Time)
	for _, a := range l.attempts {
		serviceOf[a.id] = a.service
		sendTimes[a.service] = append(sendTimes[a.service], a.sentAt)
	}
	seen := make(map[string]bool)
	retryTimes := make(map[string][]time.Time)
	for _, r := range l.runs {
		if seen[r.Attempt] {
			retryTimes[serviceOf[r.Attempt]] = append(retryTimes[serviceOf[r.Attempt]], r.At)
		}
		seen[r.Attempt] = true
	}
	for name, times := range retryTimes {
		for _, at := range times {
			if detail := l.budgetOverrun(sendTimes[name], times, at); detail != "" {
				out = append(out, name+" "+detail)
				break
			}
		}
	}
	return out
}

// budgetOverrun describes how the retries of a service exceed the budget in the windows that
// begin and end with a retry at a time; empty if they don't.
func (l *ledger) budgetOverrun(sendTimes, retryTimes []time.Time, at time.Time) string {
	for _, end := range []time.Time{at, at.Add(retryWindow - 1)} {
		requests := 0
		for _, before := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, countInRetryWindow(sendTimes, end.Add(-before)))
		}
		retries := countInRetryWindow(retryTimes, end)
		if bound := l.retryRatio*float64(requests) + float64(l.retrySlack); float64(retries) > bound {
			return fmt.Sprintf("got %d repeats in %v, for %d requests, %.0f are allowed", retries, retryWindow, requests, bound)
		}
	}
	return ""
}

// countInRetryWindow counts the times in the retry window that ends at end.
func countInRetryWindow(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < retryWindow {
			n++
		}
	}
	return n
}

// checkConfigurationVersions checks that the route of each version is served once the
// version must be in force, and no longer once its successor must be.
func (l *ledger) checkConfigurationVersions() (out []string) {
	for _, a := range l.attempts {
		var version int
		if n, _ := fmt.Sscanf(a.path, "/v%d/", &version); n == 0 || version > len(l.versions) || !l.isUndisturbed(a.sentAt) {
			continue
		}
		since := l.versions[version-1]
		var until time.Time
		if version < len(l.versions) {
			until = l.versions[version]
		}
		switch {
		case a.status == 404 && a.sentAt.Sub(since) > propagationTime && (until.IsZero() || a.endedAt.Before(until)):
			out = append(out, fmt.Sprintf("%s got 404 from %s %v after version %d", a.path, a.vm, a.sentAt.Sub(since), version))
		case a.status == 200 && !until.IsZero() && a.sentAt.Sub(until) > propagationTime:
			out = append(out, fmt.Sprintf("%s was served by %s %v after version %d", a.path, a.vm, a.sentAt.Sub(until), version+1))
		}
	}
	return out
}

// checkPlannedStops checks that planned stops interrupt no running request.
func (l *ledger) checkPlannedStops() (out []string) {
	for _, a := range l.attempts {
		for _, s := range l.plannedStops {
			if a.connectionLost && a.sentAt.After(s.from) && a.endedAt.Before(s.to) && l.hasRun(a.id) {
				out = append(out, fmt.Sprintf("%s %s was cut by %s in a planned stop", a.id, a.path, a.vm))
			}
		}
	}
	return out
}

func (l *ledger) hasRun(id string) bool {
	return slices.ContainsFunc(l.runs, func(r replica.Run) bool { return r.Attempt == id && !r.Refused })
}

// served returns the number of attempts sent between from and to that expect to be served,
// and the share of them that got complete responses.
func (l *ledger) served(from, to time.Time) (share float64, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servedBetween(from, to)
}

// servedBetween is served with the lock held.
func (l *ledger) servedBetween(from, to time.Time) (share float64, sent int) {
	complete := 0
	for _, a := range l.attempts {
		if !a.expectServed || a.sentAt.Before(from) || a.sentAt.After(to) || strings.HasPrefix(a.path, "/v") || isCrashingPath(a.path) || a.prompt.isHarmful() {
			continue
		}
		sent++
		if a.complete {
			complete++
		}
	}
	return float64(complete) / float64(max(sent, 1)), sent
}
