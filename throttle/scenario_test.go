package throttle

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestScenarios holds that endpoints never get more than their bound from all VMs together,
// and in steady states most of what they take.
func TestScenarios(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		scenario
		// Used is the part of the limits that must be used at least.
		Used float64
	}](t, "testdata/scenarios.json") {
		t.Run(c.Name, func(t *testing.T) {
			w := newWorld(c.scenario, wayKeeper, 1)
			w.play()
			t.Logf("bound %.2f, used %.2f, asks %.2f a VM and second", w.most(), w.used(), float64(w.asks)/float64(c.VMs)/c.Length)
			assert.Assert(t, w.most() <= 1, w.most())
			assert.Assert(t, w.used() >= c.Used, w.used())
		})
	}
}

// TestWays compares the ways that were weighed: those that are not built break the bound or
// leave most of the limits unused in some load.
func TestWays(t *testing.T) {
	for _, by := range []way{wayKeeper, wayRanked, wayEven, wayAlone} {
		t.Run(string(by), func(t *testing.T) {
			worst, least := 0.0, 1.0
			for _, c := range datatest.Read[[]scenario](t, "testdata/scenarios.json") {
				w := newWorld(c, by, 1)
				w.play()
				t.Logf("%-45s bound %.2f, used %.2f, asks %.2f", c.Name, w.most(), w.used(), float64(w.asks)/float64(c.VMs)/c.Length)
				worst, least = max(worst, w.most()), min(least, w.used())
			}
			isGood := worst <= 1 && least >= 0.5
			assert.Equal(t, isGood, by == wayKeeper)
		})
	}
}
