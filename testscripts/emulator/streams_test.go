package emulator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestStreamVersions guards against streams that go on at another software version than began
// them, and against refusing to resume what a version still serves.
func TestStreamVersions(t *testing.T) {
	t.Parallel()
	for _, c := range datatest.Read[[]struct {
		Name    string
		Seeds   uint64
		Streams Streams
		Planned PlannedFaults
		// Resumed is the least number of resumed streams for each seed, Deduced that of streams
		// whose version followed from what engines have read.
		Resumed, Deduced int
	}](t, "testdata/streams.json") {
		if c.Planned.Regions*c.Planned.VMsPerRegion > maxVMs {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			count := max(c.Seeds/raceDivisor, 1)
			sum := RunAll(Options{
				Seed:          1,
				Duration:      runDuration,
				Streams:       c.Streams,
				PlannedFaults: c.Planned,
			}, count)
			t.Logf("%d streams, %d of %d resumed ones went on, %d deduced", sum.Streams, sum.StreamsGoneOn, sum.ResumedStreams, sum.DeducedStreams)
			for _, r := range sum.Failed[:min(len(sum.Failed), maxShown)] {
				t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
			}
			assert.Equal(t, len(sum.Failed), 0)
			assert.Assert(t, sum.ResumedStreams >= c.Resumed*int(count), sum.ResumedStreams)
			assert.Assert(t, sum.DeducedStreams >= c.Deduced*int(count), sum.DeducedStreams)
		})
	}
}
