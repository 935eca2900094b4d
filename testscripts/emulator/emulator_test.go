package emulator

import (
	"flag"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

var schedules = flag.Uint64("schedules", 10_000, "number of seeds for TestSchedules, divided by 20 with the race detector")

// runDuration is the virtual time of one run.
const runDuration = 25 * time.Second

// TestSchedules checks all invariants under random faults.
func TestSchedules(t *testing.T) {
	count := *schedules / raceDivisor
	sum := RunAll(Options{
		Seed:     1,
		Duration: runDuration,
	}, count)
	t.Logf("%d seeds: %d requests, %d answered, %d runs, %d faults, %d events", count, sum.Requests, sum.Answered, sum.Runs, sum.Faults, sum.Events)
	for _, r := range sum.Failed[:min(len(sum.Failed), maxShown)] {
		t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
	}
	assert.Equal(t, len(sum.Failed), 0)
}

// TestDenseSchedules checks all invariants under random faults that come close together.
func TestDenseSchedules(t *testing.T) {
	t.Parallel()
	for _, c := range datatest.Read[[]struct {
		Name    string
		Seeds   uint64
		Random  RandomFaults
		Planned PlannedFaults
	}](t, "testdata/dense.json") {
		t.Run(c.Name, func(t *testing.T) {
			sum := RunAll(Options{
				Seed:          1,
				Duration:      runDuration,
				RandomFaults:  c.Random,
				PlannedFaults: c.Planned,
			}, max(c.Seeds/raceDivisor, 1))
			t.Logf("%d requests, %d served, %d faults", sum.Requests, sum.Served, sum.Faults)
			for _, r := range sum.Failed[:min(len(sum.Failed), maxShown)] {
				t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
			}
			assert.Equal(t, len(sum.Failed), 0)
		})
	}
}

// maxShown bounds the seeds that are printed.
const maxShown = 10

// TestSameSeed checks that a run is deterministic.
func TestSameSeed(t *testing.T) {
	for _, o := range []Options{
		{
			Seed:     17,
			Duration: runDuration,
		},
		{
			Seed:     271,
			Duration: partsDuration,
			CrashingParts: CrashingParts{
				Harmful:   1,
				AtSeconds: 6,
				PerSecond: 2,
				Others:    10,
				Conditions: Conditions{
					Regions:           3,
					VMsPerRegion:      3,
					EnginesPerRegion:  3,
					RequestsPerSecond: 40,
				},
			},
		},
	} {
		first := Run(o)
		for range 3 {
			assert.DeepEqual(t, first, Run(o))
		}
	}
}

// TestFaultsAreFound checks that each defect is detected by its check.
func TestFaultsAreFound(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Fault Defect
		Check Check
		// Seeds bounds the seeds within which the defect must be detected.
		Seeds    uint64
		Crashing CrashingCalls
		Parts    CrashingParts
		Limiting EngineLimits
		Notices  EngineNotices
		Restores StoreRestores
		Planned  PlannedFaults
		Streams  Streams
	}](t, "testdata/faults.json") {
		t.Run(string(c.Fault), func(t *testing.T) {
			for first := uint64(1); first <= c.Seeds; first += batchSize {
				duration := runDuration
				if c.Check == CheckSoundParts {
					duration = partsDuration
				}
				sum := RunAll(Options{
					Seed:          first,
					Defect:        c.Fault,
					Duration:      duration,
					CrashingParts: c.Parts,
					CrashingCalls: c.Crashing,
					EngineLimits:  c.Limiting,
					EngineNotices: c.Notices,
					StoreRestores: c.Restores,
					PlannedFaults: c.Planned,
					Streams:       c.Streams,
				}, min(batchSize, c.Seeds-first+1))
				if slices.ContainsFunc(sum.Failed, func(r Report) bool { return r.violates(c.Check) }) {
					return
				}
			}
			t.Errorf("check %s failed for none of %d seeds", c.Check, c.Seeds)
		})
	}
}

// batchSize is how many seeds run before the results are examined.
const batchSize = 5

func (r Report) violates(check Check) bool {
	return slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Check == check })
}
