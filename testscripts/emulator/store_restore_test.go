package emulator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// restoreRunDuration leaves time for the bounds to apply after the last restore.
const restoreRunDuration = 36 * time.Second

// TestStoreComesBackOlder guards against VMs that ignore what a store says which has come
// back from an older copy and gives out revisions again.
func TestStoreComesBackOlder(t *testing.T) {
	t.Parallel()
	for _, c := range datatest.Read[[]struct {
		Name     string
		Seeds    uint64
		Restores StoreRestores
	}](t, "testdata/restores.json") {
		if c.Restores.Regions*c.Restores.VMsPerRegion > maxVMs {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			sum := RunAll(Options{
				Seed:          1,
				Duration:      restoreRunDuration,
				StoreRestores: c.Restores,
			}, max(c.Seeds/raceDivisor, 1))
			t.Logf("%d requests, %.3f served", sum.Requests, float64(sum.Served)/float64(sum.Requests))
			for _, r := range sum.Failed[:min(len(sum.Failed), maxShown)] {
				t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
			}
			assert.Equal(t, len(sum.Failed), 0)
		})
	}
}
