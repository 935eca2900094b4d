package emulator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestRunsOnLostVMs guards against a request that runs on more endpoints than its route allows,
// as a VM that was lost had run it on more than one.
func TestRunsOnLostVMs(t *testing.T) {
	t.Parallel()
	for _, c := range datatest.Read[[]struct {
		Name    string
		Seeds   uint64
		Planned PlannedFaults
		// Runs is the least number of runs for each seed.
		Runs int
	}](t, "testdata/lost_runs.json") {
		t.Run(c.Name, func(t *testing.T) {
			count := max(c.Seeds/raceDivisor, 1)
			sum := RunAll(Options{
				Seed:          1,
				Duration:      runDuration,
				PlannedFaults: c.Planned,
			}, count)
			t.Logf("%d requests, %d runs, %d beyond what routes allow", sum.Requests, sum.Runs, sum.RunOverruns)
			for _, r := range sum.Failed[:min(len(sum.Failed), maxShown)] {
				t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
			}
			assert.Equal(t, sum.RunOverruns, 0)
			assert.Assert(t, sum.Runs >= c.Runs*int(count), sum.Runs)
		})
	}
}
