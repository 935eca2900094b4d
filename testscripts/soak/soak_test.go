package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/console"
	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/standin/replica"
)

// gateway is the path of the binary that all tests run.
var gateway string

func TestMain(m *testing.M) {
	var err error
	gateway, err = buildGateway()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(filepath.Dir(gateway))
	os.Exit(code)
}

// withoutRestores keeps the schedules of the seeds that were chosen for other faults.
var withoutRestores = []string{"restore"}

// TestSeed checks that no guarantee is violated under a short schedule of random faults.
func TestSeed(t *testing.T) {
	runScenario(t, runRandomFaults, Options{
		Seed:           1,
		Regions:        3,
		VMs:            2,
		Engines:        2,
		Clients:        6,
		FaultDuration:  10 * time.Second,
		ExcludedFaults: withoutRestores,
	})
}

// TestRetriesAcrossStarts guards against more retries by all VMs together than the budget
// allows, where all VMs start between two times in which replicas fail.
func TestRetriesAcrossStarts(t *testing.T) {
	runScenario(t, runRetryBursts, Options{
		Seed:           7,
		Regions:        3,
		VMs:            2,
		Engines:        4,
		Clients:        72,
		FaultDuration:  2 * time.Second,
		FailurePause:   300 * time.Millisecond,
		RetryRatio:     0.05,
		RetrySlack:     12,
		ExcludedFaults: withoutRestores,
	})
}

// TestLateRefusals guards against calls that run twice, or run and are refused, as the late copy
// of a refusal without an id was taken for the answer to another call.
func TestLateRefusals(t *testing.T) {
	runScenario(t, runLateRefusals, Options{
		Seed:           9,
		Regions:        2,
		VMs:            2,
		Engines:        3,
		Clients:        24,
		FaultDuration:  3 * time.Second,
		ExcludedFaults: withoutRestores,
	})
}

// TestCrashingCalls guards against a call that crashes one replica after another because it
// is retried.
func TestCrashingCalls(t *testing.T) {
	runScenario(t, runCrashingCalls, Options{
		Seed:           2,
		Regions:        3,
		VMs:            2,
		Engines:        3,
		Clients:        6,
		FaultDuration:  16 * time.Second,
		ExcludedFaults: withoutRestores,
	})
}

// TestCrashingParts guards against replicas that crash one after the other under a part of
// prompts, in calls of which no two are alike, and against crashes that pass for whole answers.
func TestCrashingParts(t *testing.T) {
	runScenario(t, runCrashingParts, Options{
		Seed:           6,
		Regions:        3,
		VMs:            3,
		Engines:        3,
		Clients:        6,
		FaultDuration:  28 * time.Second,
		ExcludedFaults: withoutRestores,
	})
}

// TestNamedLimit guards against VMs exceeding a replica's announced rate limit together.
func TestNamedLimit(t *testing.T) {
	runScenario(t, runEndpointLimits, Options{
		Seed:           3,
		Regions:        3,
		VMs:            3,
		Engines:        3,
		Clients:        12,
		FaultDuration:  15 * time.Second,
		ExcludedFaults: withoutRestores,
	})
}

// TestNoticesInAnswers guards against VMs that send requests to a replica after it told them
// in an answer that it leaves or rests.
func TestNoticesInAnswers(t *testing.T) {
	runScenario(t, runEndpointNotices, Options{
		Seed:           1,
		Regions:        3,
		VMs:            3,
		Engines:        3,
		Clients:        12,
		FaultDuration:  3 * time.Second,
		ExcludedFaults: withoutRestores,
	})
}

// TestStoreComesBackOlder guards against VMs that ignore what a store says which has come
// back from an older copy and gives out revisions again.
func TestStoreComesBackOlder(t *testing.T) {
	runScenario(t, runStoreRestores, Options{
		Seed:          4,
		Regions:       3,
		VMs:           2,
		Engines:       5,
		Clients:       9,
		FaultDuration: 4 * time.Second,
	})
}

// TestBodiesStayWithinTheMemory guards against a VM that is killed for its memory as large bodies
// are sent on to another region.
func TestBodiesStayWithinTheMemory(t *testing.T) {
	runScenario(t, runLargeBodies, Options{
		Seed:           11,
		Regions:        2,
		VMs:            1,
		Engines:        1,
		Clients:        4,
		LargeBodies:    160,
		ProcessingTime: time.Second,
		ExcludedFaults: withoutRestores,
	})
}

// TestEndlessAnswersStayWithinTheMemory guards against a VM that is killed for its memory as
// buffers of answers without end become garbage faster than they are collected.
func TestEndlessAnswersStayWithinTheMemory(t *testing.T) {
	t.Parallel()
	runScenario(t, runEndlessAnswers, Options{
		Seed:           31,
		Regions:        2,
		VMs:            1,
		Engines:        2,
		Clients:        8,
		FaultDuration:  6 * time.Second,
		MemoryMB:       144,
		EndlessAnswers: "carriage-returns",
		EndlessClients: 160,
	})
}

// TestColdAgain guards against overloading a cold engine that restarts while the store
// refuses reads.
func TestColdAgain(t *testing.T) {
	runScenario(t, runEndpointLimits, Options{
		Seed:           303,
		Regions:        3,
		VMs:            2,
		Engines:        2,
		Clients:        9,
		FaultDuration:  8 * time.Second,
		ExcludedFaults: withoutRestores,
	})
}

// TestStreamsKeepTheirVersion guards against streams that go on at a replica of another
// software version, resumed by a VM or by their clients at any VM.
func TestStreamsKeepTheirVersion(t *testing.T) {
	t.Parallel()
	runScenario(t, runStreamVersions, Options{
		Seed:           5,
		Regions:        3,
		VMs:            2,
		Engines:        4,
		Clients:        18,
		FaultDuration:  8 * time.Second,
		Versions:       2,
		EventInterval:  60 * time.Millisecond,
		ExcludedFaults: withoutRestores,
	})
}

// TestVersionJoinsWhileVMsStandStill guards against VMs that have not seen a later version join and
// resume its streams at the one that they know.
func TestVersionJoinsWhileVMsStandStill(t *testing.T) {
	t.Parallel()
	runScenario(t, runVersionJoins, Options{
		Seed:    11,
		Regions: 1,
		VMs:     4,
		Engines: 6,
		Clients: 100,
	})
}

// TestCrashTogether guards against calls that reach engines which return cold all at once, and
// against callers who are refused though other engines have room.
func TestCrashTogether(t *testing.T) {
	runScenario(t, runCrashTogether, Options{
		Seed:           8,
		Regions:        3,
		VMs:            2,
		Engines:        4,
		Clients:        18,
		FaultDuration:  time.Second,
		ExcludedFaults: withoutRestores,
	})
}

// TestStopAnswers guards against calls that a stopping VM accepts and does not answer, on
// connections that clients use until the process is gone.
func TestStopAnswers(t *testing.T) {
	runScenario(t, runStops, Options{
		Seed:          9,
		Regions:       3,
		VMs:           2,
		Engines:       2,
		Clients:       6,
		FaultDuration: 12 * time.Second,
	})
}

// runScenario runs a scenario and fails the test on any violation.
func runScenario(t *testing.T, s scenario, o Options) {
	t.Helper()
	o.Gateway = gateway
	o.Dir = t.TempDir()
	out, err := os.Create(filepath.Join(o.Dir, "schedule.log"))
	assert.NilError(t, err)
	defer func() { _ = out.Close() }()
	o.Schedule = out
	report, err := s.run(t.Context(), o)
	assert.NilError(t, err)
	assert.Assert(t, report.Attempts > 100, report.Attempts)
	t.Logf("%d of %d resumed streams went on", report.GoneOn, report.Resumed)
	for _, v := range report.Violations {
		t.Errorf("%s: %s", v.Check, v.Detail)
	}
}

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
			l.vmDown["v"] = []interval{{from: now}}
			l.attempts = []attempt{{id: "a", path: slowPath, vm: "v", kept: true, connectionLost: true, sentAt: now.Add(3100 * time.Millisecond), endedAt: now.Add(7 * time.Second)}}
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
			l := newLedger(defaultRetryRatio, defaultRetrySlack)
			c.make(l)
			got := l.check()
			assert.Assert(t, len(got) == 1 && got[0].Check == c.check, "%v", got)
		})
	}
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
