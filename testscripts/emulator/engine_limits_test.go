package emulator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestNamedLimit checks that all VMs together respect the limits that engines set.
func TestNamedLimit(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name     string
		Seeds    uint64
		Limiting EngineLimits
	}](t, "testdata/limiting.json") {
		if c.Limiting.Regions*c.Limiting.VMsPerRegion > maxVMs {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			sum := RunAll(Options{
				Seed:         1,
				Duration:     runDuration,
				EngineLimits: c.Limiting,
			}, max(c.Seeds/raceDivisor, 1))
			t.Logf("%d requests, %d runs, %d answered; engines with limits received %.2f of the allowed requests",
				sum.Requests, sum.Runs, sum.Answered, float64(sum.LimitedRequests)/sum.AllowedRequests)
			for _, r := range sum.Failed[:min(len(sum.Failed), maxShown)] {
				t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
			}
			assert.Equal(t, len(sum.Failed), 0)
		})
	}
}
