package emulator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestRetriesOfFleet guards against more retries by all VMs together than the budget allows.
func TestRetriesOfFleet(t *testing.T) {
	t.Parallel()
	for _, c := range datatest.Read[[]struct {
		Name    string
		Seeds   uint64
		Planned PlannedFaults
		// Retries is the least number of retries that the faults must bring about.
		Retries int
	}](t, "testdata/retries.json") {
		t.Run(c.Name, func(t *testing.T) {
			sum := RunAll(Options{
				Seed:          1,
				Duration:      runDuration,
				PlannedFaults: c.Planned,
			}, max(c.Seeds/raceDivisor, 1))
			t.Logf("%d requests, %d retries, %.3f served", sum.Requests, sum.Retries, float64(sum.Served)/float64(sum.Requests))
			for _, r := range sum.Failed[:min(len(sum.Failed), maxShown)] {
				t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
			}
			assert.Equal(t, len(sum.Failed), 0)
			assert.Assert(t, sum.Retries >= c.Retries, sum.Retries)
		})
	}
}
