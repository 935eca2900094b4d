package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
)

// Slack of the checks beyond the bounds: the machine that plays a soak is shared.
const (
	// appliesWithin is when a change must be in force: the platform's 4 s, and two
	// for a busy machine.
	appliesWithin = 6 * time.Second
	// calmFor is how long nothing must have been disturbed for a bound in time to hold.
	calmFor = 6 * time.Second
)

// attempt is one try of a client with what it was told.
type attempt struct {
	id, path, service string
	vm                string
	// workspace and key are what the attempt presents; keyVersion is that of the key.
	workspace, key string
	keyVersion     int
	// owed says that the attempt is to be served, as its key and workspace go.
	owed            bool
	sentAt, endedAt time.Time
	status          int
	// whole says that a success came with its whole, right answer.
	whole bool
	// closed says that the connection ended without a whole answer.
	closed bool
	wrong  string
}

// isOnce reports whether the attempt may run once at most.
func (a attempt) isOnce() bool {
	return strings.HasPrefix(a.path, "/post/") || strings.HasPrefix(a.path, "/stream/once/")
}

// promised reports whether the client was told that the attempt has not run.
func (a attempt) promised() bool {
	switch a.status {
	case 408, 421, 429, 503:
		return true
	default:
		return false
	}
}

// span is a time in which something held.
type span struct {
	from, to time.Time
}

func (s span) covers(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// ledger records what clients and replicas saw, and what was done to whom.
type ledger struct {
	mu       sync.Mutex
	runs     []replica.Run
	attempts []attempt
	// drained is when an endpoint was published as leaving, colds when it was cold.
	drained map[string]time.Time
	colds   map[string][]span
	// disturbed are the times of faults that excuse bounds in time.
	disturbed []span
	// versions is when each version of the table was published.
	versions []time.Time
	// limits are those that replicas named, and questions when these were asked for their
	// load or health.
	limits    map[string][]limitSpan
	questions map[string][]time.Time
	stopped   []span
	faults    map[string]int
	marks     []faultMark
}

func newLedger() *ledger {
	return &ledger{
		drained: make(map[string]time.Time),
		colds:   make(map[string][]span),
		faults:  make(map[string]int),

		limits:    make(map[string][]limitSpan),
		questions: make(map[string][]time.Time),
	}
}

func (l *ledger) ran(r replica.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) ended(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

func (l *ledger) cold(id string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.colds[id] = append(l.colds[id], span{from: from, to: to})
}

func (l *ledger) leaves(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.drained[id]; !ok {
		l.drained[id] = time.Now()
	}
}

func (l *ledger) count(fault string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[fault]++
	l.marks = append(l.marks, faultMark{
		at:   time.Now(),
		name: fault,
	})
}

func (l *ledger) disturb(from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbed = append(l.disturbed, span{from: from, to: time.Now()})
}

// calm reports whether nothing was disturbed for a while before a moment.
func (l *ledger) calm(at time.Time) bool {
	for _, s := range l.disturbed {
		if s.from.Before(at) && s.to.Add(calmFor).After(at) {
			return false
		}
	}
	return true
}

// Violation is a promise that was broken, with what shows it.
type Violation struct {
	Check, Detail string
}

// check returns the broken promises.
func (l *ledger) check() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Violation
	for _, check := range []struct {
		name string
		do   func() []string
	}{
		{name: "runs_once", do: l.checkOnce},
		{name: "promise_of_not_run", do: l.checkPromises},
		{name: "whole_own_answers", do: l.checkAnswers},
		{name: "leaving_endpoints", do: l.checkDrained},
		{name: "cold_endpoints", do: l.checkCold},
		{name: "repeat_budget", do: l.checkBudget},
		{name: "configuration", do: l.checkVersions},
		{name: "planned_stop", do: l.checkStops},
		{name: "unasked", do: l.checkAsked},
		{name: "crashing_calls", do: l.checkCrashing},
		{name: "keys", do: l.checkKeys},
		{name: "limit", do: l.checkLimit},
		{name: "homes", do: l.checkHomes},
		{name: "endpoint_limit", do: l.checkEndpointLimits},
	} {
		for _, detail := range check.do() {
			out = append(out, Violation{Check: check.name, Detail: detail})
		}
	}
	return out
}

func (l *ledger) runsByID() map[string][]replica.Run {
	by := make(map[string][]replica.Run)
	for _, r := range l.runs {
		if !r.Refused {
			by[r.Attempt] = append(by[r.Attempt], r)
		}
	}
	return by
}

func (l *ledger) checkOnce() (out []string) {
	runs := l.runsByID()
	for _, a := range l.attempts {
		if a.isOnce() && len(runs[a.id]) > 1 {
			out = append(out, fmt.Sprintf("%s %s ran %d times", a.id, a.path, len(runs[a.id])))
		}
	}
	return out
}

func (l *ledger) checkPromises() (out []string) {
	runs := l.runsByID()
	for _, a := range l.attempts {
		if a.promised() && len(runs[a.id]) > 0 {
			out = append(out, fmt.Sprintf("%s %s got %d and ran at %s", a.id, a.path, a.status, runs[a.id][0].Replica))
		}
	}
	return out
}

func (l *ledger) checkAnswers() (out []string) {
	for _, a := range l.attempts {
		if a.wrong != "" {
			out = append(out, fmt.Sprintf("%s %s from %s: %s", a.id, a.path, a.vm, a.wrong))
		}
	}
	return out
}

func (l *ledger) checkAsked() (out []string) {
	asked := make(map[string]string, len(l.attempts))
	for _, a := range l.attempts {
		asked[a.id] = a.path
	}
	for _, r := range l.runs {
		if path, ok := asked[r.Attempt]; !ok || path != r.Path {
			out = append(out, fmt.Sprintf("%s %s was run by %s and not sent so", r.Attempt, r.Path, r.Replica))
		}
	}
	return out
}

func (l *ledger) checkDrained() (out []string) {
	for _, r := range l.runs {
		at, ok := l.drained[r.Replica]
		if ok && r.At.Sub(at) > appliesWithin && l.calm(r.At) {
			out = append(out, fmt.Sprintf("%s reached %s %v after it left", r.Attempt, r.Replica, r.At.Sub(at)))
		}
	}
	return out
}

func (l *ledger) checkCold() (out []string) {
	for id, spans := range l.colds {
		var times []time.Time
		for _, r := range l.runs {
			if r.Replica == id && slices.ContainsFunc(spans, func(s span) bool { return s.covers(r.At) }) {
				times = append(times, r.At)
			}
		}
		if most := mostWithin(times, time.Second); float64(most) > coldBound {
			out = append(out, fmt.Sprintf("%s got %d requests in a second while it was cold", id, most))
		}
	}
	return out
}

// mostWithin is the largest number of times in any window of a length.
func mostWithin(times []time.Time, length time.Duration) int {
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

func (l *ledger) checkBudget() (out []string) {
	service := make(map[string]string, len(l.attempts))
	asked := make(map[string][]time.Time)
	for _, a := range l.attempts {
		service[a.id] = a.service
		asked[a.service] = append(asked[a.service], a.sentAt)
	}
	seen := make(map[string]bool)
	again := make(map[string][]time.Time)
	for _, r := range l.runs {
		if seen[r.Attempt] {
			again[service[r.Attempt]] = append(again[service[r.Attempt]], r.At)
		}
		seen[r.Attempt] = true
	}
	for name, times := range again {
		for _, end := range times {
			repeats := countWithin(times, end)
			// Requests count in the window or in the one before it.
			requests := max(countWithin(asked[name], end), countWithin(asked[name], end.Add(-retryWindow)))
			if bound := retryRatio*float64(requests) + retrySlack; float64(repeats) > bound {
				out = append(out, fmt.Sprintf("%s got %d repeats in %v, for %d requests", name, repeats, retryWindow, requests))
				break
			}
		}
	}
	return out
}

func countWithin(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < retryWindow {
			n++
		}
	}
	return n
}

// checkVersions looks at the requests on routes that one version alone has.
func (l *ledger) checkVersions() (out []string) {
	for _, a := range l.attempts {
		var version int
		if n, _ := fmt.Sscanf(a.path, "/v%d/", &version); n == 0 || version > len(l.versions) || !l.calm(a.sentAt) {
			continue
		}
		since := l.versions[version-1]
		var until time.Time
		if version < len(l.versions) {
			until = l.versions[version]
		}
		switch {
		case a.status == 404 && a.sentAt.Sub(since) > appliesWithin && (until.IsZero() || a.endedAt.Before(until)):
			out = append(out, fmt.Sprintf("%s got 404 from %s %v after version %d", a.path, a.vm, a.sentAt.Sub(since), version))
		case a.status == 200 && !until.IsZero() && a.sentAt.Sub(until) > appliesWithin:
			out = append(out, fmt.Sprintf("%s was served by %s %v after version %d", a.path, a.vm, a.sentAt.Sub(until), version+1))
		}
	}
	return out
}

// checkStops looks at the requests that a planned stop must not cut.
func (l *ledger) checkStops() (out []string) {
	for _, a := range l.attempts {
		for _, s := range l.stopped {
			if a.closed && a.sentAt.After(s.from) && a.endedAt.Before(s.to) && l.hasRun(a.id) {
				out = append(out, fmt.Sprintf("%s %s was cut by %s in a planned stop", a.id, a.path, a.vm))
			}
		}
	}
	return out
}

func (l *ledger) hasRun(id string) bool {
	return slices.ContainsFunc(l.runs, func(r replica.Run) bool { return r.Attempt == id && !r.Refused })
}

// served returns the share of the attempts sent in a span that were answered whole.
func (l *ledger) served(from, to time.Time) (share float64, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	good := 0
	for _, a := range l.attempts {
		if !a.owed || a.sentAt.Before(from) || a.sentAt.After(to) || strings.HasPrefix(a.path, "/v") || crashes(a.path) {
			continue
		}
		sent++
		if a.whole {
			good++
		}
	}
	return float64(good) / float64(max(sent, 1)), sent
}
