package main

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/console"
	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/standin/replica"
)

// TestChecksCanFail checks that each check detects a violation of its guarantee, and that no
// other check reports it.
func TestChecksCanFail(t *testing.T) {
	now := time.Now()
	ran := func(id, path, on string, after time.Duration) replica.Run {
		return replica.Run{Attempt: id, Path: path, Replica: on, At: now.Add(after)}
	}
	for _, c := range []struct {
		check string
		make  func(l *ledger)
	}{
		{check: "runs_once", make: func(l *ledger) {
			l.attempts = []attempt{{id: "a", path: "/post/x"}}
			l.runs = []replica.Run{ran("a", "/post/x", "i", 0), ran("a", "/post/x", "j", 0)}
		}},
		{check: "promise_of_not_run", make: func(l *ledger) {
			l.attempts = []attempt{{id: "a", path: "/get/x", status: 503}}
			l.runs = []replica.Run{ran("a", "/get/x", "i", time.Second)}
		}},
		{check: "whole_own_answers", make: func(l *ledger) {
			l.attempts = []attempt{{id: "a", path: "/get/x", failure: "another body"}}
		}},
		{check: "whole_own_answers", make: func(l *ledger) {
			a := attempt{id: "a", path: resumePath + "x"}
			a.checkStream([]byte(replica.Event("a", 1, "v1")+replica.Event("a", 1, "v1")), nil)
			l.attempts = []attempt{a}
		}},
		{check: "unasked", make: func(l *ledger) {
			l.attempts = []attempt{{id: "a", path: "/get//x", target: "/get//x?q=1"}}
			l.runs = []replica.Run{{Attempt: "a", Path: "/get//x", Target: "/get/x?q=1", Replica: "i"}}
		}},
		{check: "leaving_endpoints", make: func(l *ledger) {
			l.attempts = []attempt{{id: "a", path: "/get/x"}}
			l.drainingSince["i"] = now
			l.runs = []replica.Run{ran("a", "/get/x", "i", propagationTime+time.Second)}
		}},
		{check: "cold_endpoints", make: func(l *ledger) {
			l.recordCold("i", now, now.Add(time.Minute))
			for n := range 6 {
				id := string(rune('a' + n))
				l.attempts = append(l.attempts, attempt{id: id, path: "/get/x"})
				l.runs = append(l.runs, ran(id, "/get/x", "i", time.Duration(n)*100*time.Millisecond))
			}
		}},
		{check: "repeat_budget", make: func(l *ledger) {
			l.attempts = []attempt{{id: "a", path: "/get/x", service: "s", sentAt: now}}
			for range 60 {
				l.runs = append(l.runs, ran("a", "/get/x", "i", time.Second))
			}
		}},
		{check: "configuration", make: func(l *ledger) {
			l.versions = []time.Time{now, now.Add(time.Second)}
			l.attempts = []attempt{{id: "a", path: "/v2/x", status: 404, sentAt: now.Add(20 * time.Second), endedAt: now.Add(21 * time.Second)}}
		}},
		{check: "planned_stop", make: func(l *ledger) {
			l.plannedStops = []interval{{from: now, to: now.Add(time.Minute)}}
			l.attempts = []attempt{{id: "a", path: "/get/x", connectionLost: true, sentAt: now.Add(time.Second), endedAt: now.Add(2 * time.Second)}}
			l.runs = []replica.Run{ran("a", "/get/x", "i", 0)}
		}},
		{check: "stop_answers", make: func(l *ledger) {
			l.vmDown["v"] = []interval{{from: now, to: now.Add(4 * time.Second)}}
			l.attempts = []attempt{{id: "a", path: "/slow/x", vm: "v", kept: true, connectionLost: true, before: idleConn{unusedSince: now.Add(-2 * time.Second), endArrivedAt: now.Add(2700 * time.Millisecond)}}}
		}},
		{check: "stop_answers", make: func(l *ledger) {
			l.vmDown["v"] = []interval{{from: now, to: now.Add(4 * time.Second)}}
			l.attempts = []attempt{{id: "a", path: "/slow/x", vm: "v", kept: true, connectionLost: true, before: idleConn{endArrivedAt: now.Add(2900 * time.Millisecond)}}}
		}},
		{check: "stop_answers", make: func(l *ledger) {
			l.vmDown["v"] = []interval{{from: now}}
			l.attempts = []attempt{{id: "a", path: slowPath, vm: "v", kept: true, connectionLost: true, sentAt: now.Add(3100 * time.Millisecond), endedAt: now.Add(7 * time.Second)}}
		}},
		{check: "stop_answers", make: func(l *ledger) {
			l.vmDown["w"] = []interval{{from: now}}
			l.attempts = []attempt{{id: "a", path: resumePath, vm: "v", kept: true, connectionLost: true, endedAt: now.Add(7600 * time.Millisecond), deadlineAt: now.Add(9 * time.Second)}}
			l.runs = []replica.Run{ran("a", resumePath, "i", 0)}
		}},
		{check: "stop_answers", make: func(l *ledger) {
			l.vmDown["v"] = []interval{{from: now}}
			l.attempts = []attempt{{id: "a", path: "/get/x", vm: "v", kept: true, connectionLost: true, sentAt: now.Add(2 * time.Second), endedAt: now.Add(7 * time.Second)}}
			l.runs = []replica.Run{ran("a", "/get/x", "i", 2*time.Second)}
			l.recordRunEnd("a", now.Add(6*time.Second))
		}},
		{check: "stop_answers", make: func(l *ledger) {
			l.attempts = []attempt{{id: "a", path: "/get/x", vm: "v", kept: true, connectionLost: true, afterClose: true, endedAt: now}}
			l.runs = []replica.Run{ran("a", "/get/x", "i", 0)}
		}},
		{check: "own_ends", make: func(l *ledger) {
			l.recordExit("v", &os.ProcessState{})
		}},
		{check: "memory", make: func(l *ledger) {
			l.recordMemory("v", defaultMemoryMB+1)
		}},
		{check: "crashing_calls", make: func(l *ledger) {
			path := "/stream/once" + crashPathMarker + "1"
			for n := range 10 {
				id := string(rune('a' + n))
				at := time.Duration(n) * 3 * time.Second
				l.attempts = append(l.attempts, attempt{id: id, path: path, status: 502, sentAt: now.Add(at), endedAt: now.Add(at)})
				l.runs = append(l.runs, ran(id, path, "i-"+id, at))
			}
		}},
		{check: "crashing_parts", make: func(l *ledger) {
			for n := range 12 {
				id := string(rune('a' + n))
				run := ran(id, partPaths[0], "i-"+id, time.Duration(n)*2*time.Second)
				run.Harmful = true
				l.attempts = append(l.attempts, attempt{id: id, path: partPaths[0], prompt: newPrompt(true)})
				l.runs = append(l.runs, run)
			}
		}},
		{check: "sound_parts", make: func(l *ledger) {
			for n := range 40 {
				id := string(rune('A' + n))
				sound := attempt{id: id, path: partPaths[0], prompt: newPrompt(false), sentAt: now.Add(-time.Minute)}
				if n < 20 {
					sound.versions = []string{"v1"}
				} else {
					sound.sentAt = now.Add(time.Minute)
				}
				l.attempts = append(l.attempts, sound)
			}
			run := ran("a", partPaths[0], "i", 0)
			run.Harmful = true
			l.attempts = append(l.attempts, attempt{id: "a", path: partPaths[0], prompt: newPrompt(true)})
			l.runs = append(l.runs, run)
		}},
		{check: "keys", make: func(l *ledger) {
			l.attempts = []attempt{{id: "a", path: "/get/x", workspace: "free", key: unknownKey}}
			l.runs = []replica.Run{{Attempt: "a", Path: "/get/x", Replica: "i", Workspace: "free"}}
		}},
		{check: "keys", make: func(l *ledger) {
			l.attempts = []attempt{{id: "a", path: "/get/x", workspace: "free", key: "k"}}
			l.runs = []replica.Run{{Attempt: "a", Path: "/get/x", Replica: "i", Workspace: "limited"}}
		}},
		{check: "keys", make: func(l *ledger) {
			l.attempts = []attempt{{id: "a", path: publicPath, workspace: "free", key: "k"}}
			l.runs = []replica.Run{{Attempt: "a", Path: publicPath, Replica: "i", HasKey: true}}
		}},
		{check: "keys", make: func(l *ledger) {
			l.versions = []time.Time{now, now, now}
			l.attempts = []attempt{{id: "a", path: "/get/x", workspace: "free", key: "k", keyVersion: 1, sentAt: now.Add(propagationTime + time.Second)}}
			l.runs = []replica.Run{{Attempt: "a", Path: "/get/x", Replica: "i", Workspace: "free"}}
		}},
		{check: "keys", make: func(l *ledger) {
			l.versions = []time.Time{now}
			l.attempts = []attempt{{id: "a", path: "/get/x", workspace: "free", key: "k", keyVersion: 1, status: 401, sentAt: now.Add(propagationTime + time.Second)}}
		}},
		{check: "limit", make: func(l *ledger) {
			for n := range 40 {
				id := string(rune('a' + n))
				l.attempts = append(l.attempts, attempt{id: id, path: "/get/x", workspace: workspaceLimited})
				l.runs = append(l.runs, replica.Run{Attempt: id, Path: "/get/x", Replica: "i", Workspace: workspaceLimited, At: now.Add(time.Duration(n) * 100 * time.Millisecond)})
			}
		}},
		{check: "endpoint_limit", make: func(l *ledger) {
			l.limits["i"] = []limitInterval{{interval: interval{from: now}, perSecond: 1}}
			for n := range 12 {
				id := string(rune('a' + n))
				l.attempts = append(l.attempts, attempt{id: id, path: "/get/x"})
				l.runs = append(l.runs, ran(id, "/get/x", "i", limitPropagationTime+time.Duration(n)*100*time.Millisecond))
			}
		}},
		{check: "endpoint_limit", make: func(l *ledger) {
			l.limits["i"] = []limitInterval{{interval: interval{from: now}, perSecond: 1}}
			for n := range 12 {
				l.probes["i"] = append(l.probes["i"], now.Add(limitPropagationTime+time.Duration(n)*100*time.Millisecond))
			}
		}},
		{check: "leaving_notice", make: func(l *ledger) {
			l.attempts = []attempt{
				{id: "a", path: "/get/x", vm: "r0-1", leavingReplica: "i", headAt: now},
				{id: "b", path: "/get/x", vm: "r0-1", sentAt: now.Add(drainTime + time.Second)},
			}
			l.runs = []replica.Run{{Attempt: "b", Path: "/get/x", Replica: "i", Zone: zoneOf("r0"), At: now.Add(drainTime + time.Second)}}
		}},
		{check: "stream_versions", make: func(l *ledger) {
			for n := range 3 {
				id := string(rune('a' + n))
				l.attempts = append(l.attempts,
					attempt{id: id, path: resumePath + "x", versions: []string{"v1"}},
					attempt{id: id + "2", path: resumePath + "x", resumes: id, lastEvent: 1, versions: []string{"v2"}},
				)
			}
		}},
		{check: "stream_versions", make: func(l *ledger) {
			for n := range 3 {
				l.attempts = append(l.attempts, attempt{id: string(rune('a' + n)), path: resumePath + "x", versions: []string{"v1", "v2"}})
			}
		}},
		{check: "resumed_streams", make: func(l *ledger) {
			for n := range 12 {
				id := string(rune('a' + n))
				l.attempts = append(l.attempts,
					attempt{id: id, path: resumePath + "x", held: credential{expectServed: true}, enginesServe: true, versions: []string{"v1"}},
					attempt{id: id + "2", path: resumePath + "x", held: credential{expectServed: true}, resumes: id, lastEvent: 1, enginesServe: true, status: 503},
				)
			}
		}},
		{check: "rest", make: func(l *ledger) {
			for n := range 4 {
				id := string(rune('a' + n))
				run := replica.Run{Attempt: id, Path: "/get/x", Replica: "i", Zone: zoneOf("r0"), At: now.Add(time.Duration(n) * time.Second)}
				if n == 0 {
					run.Refused = true
					run.RestFor = 5 * time.Second
				}
				l.attempts = append(l.attempts, attempt{id: id, path: "/get/x", vm: "r0-1"})
				l.runs = append(l.runs, run)
			}
		}},
		{check: "homes", make: func(l *ledger) {
			l.attempts = []attempt{{id: "a", path: "/get/x", workspace: workspaceHomed}}
			l.runs = []replica.Run{{Attempt: "a", Path: "/get/x", Replica: "i", Workspace: workspaceHomed, Zone: zoneOf(regionName(2))}}
		}},
		{check: "crash_together", make: func(l *ledger) {
			l.crashesTogether = []interval{{from: now, to: now.Add(time.Minute)}}
			for n := range 10 {
				l.attempts = append(l.attempts, attempt{id: string(rune('a' + n)), path: "/get/x", expectServed: true, sentAt: now.Add(time.Second), complete: n < 8})
			}
		}},
		{check: "unasked", make: func(l *ledger) {
			l.runs = []replica.Run{ran("b", "/get/x", "i", 0)}
		}},
	} {
		t.Run(c.check, func(t *testing.T) {
			l := newLedger(defaultRetryRatio, defaultRetrySlack, defaultMemoryMB)
			c.make(l)
			got := l.check()
			assert.Assert(t, len(got) == 1 && got[0].Check == c.check, "%v", got)
		})
	}
}

// TestCountStopCalls guards against counting requests that no VM could read, or that it had
// read, among those that cross the end of their connection.
func TestCountStopCalls(t *testing.T) {
	sentAt := time.Now()
	l := newLedger(defaultRetryRatio, defaultRetrySlack, defaultMemoryMB)
	l.vmDown["v"] = []interval{{from: sentAt.Add(-time.Second)}}
	l.runs = []replica.Run{{Attempt: "run"}}
	for _, a := range []attempt{
		{id: "served", complete: true, status: 200},
		{id: "refused", status: 503},
		{id: "failed", status: 504},
		{id: "run", connectionLost: true},
		{id: "broken", connectionLost: true, status: 200},
		{id: "ended", connectionLost: true, before: idleConn{endArrivedAt: sentAt}},
		{id: "behind", connectionLost: true, afterClose: true},
		{id: "crossed", connectionLost: true},
	} {
		a.kept = true
		a.vm = "v"
		a.sentAt = sentAt
		l.attempts = append(l.attempts, a)
	}
	assert.Equal(t, l.countStopCalls(), stopCounts{
		stops:       1,
		served:      1,
		refused:     1,
		failed:      1,
		cut:         2,
		afterEnd:    1,
		behindClose: 1,
		unread:      1,
	})
}

// TestExplanationFault checks that wrong explanations are found.
func TestExplanationFault(t *testing.T) {
	cold := []*trackedReplica{{Replica: &replica.Replica{Options: replica.Options{ID: "i-1"}}, region: "r0"}}
	for _, c := range []struct {
		name     string
		excluded string
		decision operator.RouteDecision
		wrong    bool
	}{
		{name: "cold", excluded: "cold", decision: operator.RouteDecision{Region: "r0", Endpoint: "i-2"}},
		{name: "sent to another region", excluded: "cold", decision: operator.RouteDecision{Region: "r1"}},
		{name: "another reason", excluded: "draining", decision: operator.RouteDecision{Region: "r0", Endpoint: "i-2"}, wrong: true},
		{name: "a candidate", decision: operator.RouteDecision{Region: "r0", Endpoint: "i-2"}, wrong: true},
		{name: "chosen", excluded: "cold", decision: operator.RouteDecision{Region: "r0", Endpoint: "i-1"}, wrong: true},
		{name: "no endpoint", excluded: "cold", decision: operator.RouteDecision{Region: "r0"}, wrong: true},
		{name: "refused", excluded: "cold", decision: operator.RouteDecision{Code: result.NoEndpoint}, wrong: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			explained := &console.Route{
				RouteExplanation: operator.RouteExplanation{
					Endpoints: []operator.RouteEndpoint{{ID: "i-1", Excluded: c.excluded}, {ID: "i-2"}},
					Decision:  c.decision,
				},
			}
			assert.Equal(t, explanationFault(explained, "r0", cold) != "", c.wrong)
		})
	}
}
