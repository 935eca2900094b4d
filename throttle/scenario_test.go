package throttle

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestScenarios checks that all VMs together never exceed an endpoint's bound, also
// under faults, and use the given share of its limit.
func TestScenarios(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		scenario
		// Used is the least share of the limits that must be used.
		Used float64
	}](t, "testdata/scenarios.json") {
		t.Run(c.Name, func(t *testing.T) {
			sim := newSimulation(c.scenario, strategyCoordinator, 1)
			sim.run()
			t.Logf("bound %.2f, used %.2f, asks %.2f a VM and second", sim.maxShare(), sim.utilization(), float64(sim.coordinatorRequests)/float64(c.VMs)/c.Length)
			assert.Assert(t, sim.maxShare() <= 1, sim.maxShare())
			assert.Assert(t, sim.utilization() >= c.Used, sim.utilization())
		})
	}
}

// TestWays checks that each alternative strategy exceeds the bound or leaves more than
// half of the limits unused in some scenario.
func TestWays(t *testing.T) {
	for _, candidate := range []strategy{strategyCoordinator, strategyRanked, strategyEven, strategyAlone} {
		t.Run(string(candidate), func(t *testing.T) {
			worstShare, leastUsed := 0.0, 1.0
			for _, c := range datatest.Read[[]scenario](t, "testdata/scenarios.json") {
				sim := newSimulation(c, candidate, 1)
				sim.run()
				t.Logf("%-45s bound %.2f, used %.2f, asks %.2f", c.Name, sim.maxShare(), sim.utilization(), float64(sim.coordinatorRequests)/float64(c.VMs)/c.Length)
				worstShare, leastUsed = max(worstShare, sim.maxShare()), min(leastUsed, sim.utilization())
			}
			isGood := worstShare <= 1 && leastUsed >= 0.5
			assert.Equal(t, isGood, candidate == strategyCoordinator)
		})
	}
}
