package emulator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestLeavingInAnswers guards against requests to an endpoint that has said in an answer
// that it leaves, while the store cannot tell.
func TestLeavingInAnswers(t *testing.T) {
	t.Parallel()
	runNotices(t, "testdata/leaving.json")
}

// TestRestInAnswers guards against requests to an endpoint in the time that its refusal
// names.
func TestRestInAnswers(t *testing.T) {
	t.Parallel()
	runNotices(t, "testdata/resting.json")
}

func runNotices(t *testing.T, path string) {
	t.Helper()
	for _, c := range datatest.Read[[]struct {
		Name    string
		Seeds   uint64
		Notices EngineNotices
		// Served is the least fraction of the requests that must be served.
		Served float64
	}](t, path) {
		if c.Notices.Regions*c.Notices.VMsPerRegion > maxVMs {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			sum := RunAll(Options{
				Seed:          1,
				Duration:      runDuration,
				EngineNotices: c.Notices,
			}, max(c.Seeds/raceDivisor, 1))
			served := float64(sum.Served) / float64(sum.Requests)
			t.Logf("%d requests, %d runs, %.3f served", sum.Requests, sum.Runs, served)
			for _, r := range sum.Failed[:min(len(sum.Failed), maxShown)] {
				t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
			}
			assert.Equal(t, len(sum.Failed), 0)
			assert.Assert(t, served >= c.Served, served)
		})
	}
}
