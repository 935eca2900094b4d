package emulator

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

var largestFleet = flag.Int("vms", maxPartVMs, "size of the largest fleet that TestCrashingParts simulates")

// partsDuration leaves time for crashes, their quarantine, and harmless requests after it.
const partsDuration = 45 * time.Second

// TestCrashingParts guards against one part of prompts crashing endpoint after endpoint, in
// requests of which no two need be alike.
func TestCrashingParts(t *testing.T) {
	t.Parallel()
	for _, c := range datatest.Read[[]struct {
		Name    string
		Seeds   uint64
		Parts   CrashingParts
		Planned PlannedFaults
	}](t, "testdata/crashing_parts.json") {
		if c.Parts.Regions*c.Parts.VMsPerRegion > *largestFleet {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			sum := RunAll(Options{
				Seed:          1,
				Duration:      partsDuration,
				CrashingParts: c.Parts,
				PlannedFaults: c.Planned,
			}, max(c.Seeds/raceDivisor, 1))
			t.Logf("%d requests, %d served, %d runs, %d endpoints crashed by requests, %d harmless requests were quarantined",
				sum.Requests, sum.Served, sum.Runs, sum.EndpointCrashes, sum.FalseQuarantines)
			for _, r := range sum.Failed[:min(len(sum.Failed), maxShown)] {
				t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
			}
			assert.Equal(t, len(sum.Failed), 0)
		})
	}
}
