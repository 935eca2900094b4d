package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
	runAlone(t, runLargeBodies, Options{
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
	runAlone(t, runEndlessAnswers, Options{
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
	runScenario(t, runVersionJoins, Options{
		Seed:    11,
		Regions: 1,
		VMs:     4,
		Engines: 6,
		Clients: 100,
	})
}

// TestOddEntries guards against VMs that end at an odd entry among those of the engines, or no
// longer follow the others.
func TestOddEntries(t *testing.T) {
	runScenario(t, runOddEntries, Options{
		Seed:    13,
		Regions: 1,
		VMs:     3,
		Engines: 3,
		Clients: 6,
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

// TestOverlappingStops guards against calls that end with another VM's stop, against those that are
// begun too late in a stop to end, and against VMs that exceed their memory or end by themselves.
func TestOverlappingStops(t *testing.T) {
	runScenario(t, runStops, Options{
		Seed:             224,
		Regions:          3,
		VMs:              2,
		Engines:          2,
		Clients:          6,
		FaultDuration:    20 * time.Second,
		OverlappingStops: true,
		OnceLimit:        7 * time.Second,
	})
}

// running bounds the scenarios at a time, which wait most of their time.
var running = make(chan struct{}, 2)

// runScenario runs a scenario beside another one and fails the test on any violation.
func runScenario(t *testing.T, s scenario, o Options) {
	t.Helper()
	t.Parallel()
	running <- struct{}{}
	defer func() { <-running }()
	runAlone(t, s, o)
}

// runAlone runs a scenario before those that run beside each other, for one that needs the
// throughput of the machine.
func runAlone(t *testing.T, s scenario, o Options) {
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
