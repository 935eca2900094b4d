package emulator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// maxFalseQuarantines is the fraction of retried harmless calls that may be quarantined.
const maxFalseQuarantines = 0.05

// TestCrashingCalls guards against one call crashing endpoint after endpoint because
// its caller keeps retrying it at other VMs.
func TestCrashingCalls(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name     string
		Seeds    uint64
		Crashing CrashingCalls
	}](t, "testdata/crashing.json") {
		if c.Crashing.Regions*c.Crashing.VMsPerRegion > maxVMs {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			sum := RunAll(Options{
				Seed:          1,
				Duration:      runDuration,
				CrashingCalls: c.Crashing,
			}, max(c.Seeds/raceDivisor, 1))
			t.Logf("%d requests, %d runs, %d endpoints crashed by calls; %d of %d retries of other calls were quarantined",
				sum.Requests, sum.Runs, sum.EndpointCrashes, sum.FalseQuarantines, sum.CallerRetries)
			for _, r := range sum.Failed[:min(len(sum.Failed), maxShown)] {
				t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
			}
			assert.Equal(t, len(sum.Failed), 0)
			assert.Assert(t, float64(sum.FalseQuarantines) <= maxFalseQuarantines*float64(sum.CallerRetries))
		})
	}
}
