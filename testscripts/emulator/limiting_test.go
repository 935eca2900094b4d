package emulator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestNamedLimit plays engines that name limits, which bind all VMs together.
func TestNamedLimit(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name     string
		Seeds    uint64
		Limiting Limiting
	}](t, "testdata/limiting.json") {
		if c.Limiting.Regions*c.Limiting.VMs > mostVMs {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			sum := PlayAll(Options{
				Seed:     1,
				For:      playFor,
				Limiting: c.Limiting,
			}, max(c.Seeds/slower, 1))
			t.Logf("%d requests, %d runs, %d answered; engines with limits got %.2f of what these allowed",
				sum.Requests, sum.Runs, sum.Answered, float64(sum.Limited)/sum.Allowed)
			for _, r := range sum.Bad[:min(len(sum.Bad), shownMost)] {
				t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
			}
			assert.Equal(t, len(sum.Bad), 0)
		})
	}
}
