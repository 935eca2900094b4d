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
		// Failures is the least number of requests that endpoints must refuse or run without
		// an answer, for each seed.
		Failures int
	}](t, "testdata/retries.json") {
		t.Run(c.Name, func(t *testing.T) {
			count := max(c.Seeds/raceDivisor, 1)
			sum := RunAll(Options{
				Seed:          1,
				Duration:      runDuration,
				PlannedFaults: c.Planned,
			}, count)
			t.Logf("%d requests, %d failures, %d retries, %.3f served", sum.Requests, sum.Failures, sum.Retries, float64(sum.Served)/float64(sum.Requests))
			for _, r := range sum.Failed[:min(len(sum.Failed), maxShown)] {
				t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
			}
			assert.Equal(t, len(sum.Failed), 0)
			assert.Assert(t, sum.Failures >= c.Failures*int(count), sum.Failures)
		})
	}
}
