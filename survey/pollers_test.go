package survey

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

func regionVMs(count int) []fleet.VM {
	var vms []fleet.VM
	for i := range count {
		vms = append(vms, fleet.VM{ID: fmt.Sprintf("vm-%d", i)})
	}
	return vms
}

// assignments returns the poller of each engine of a region.
func assignments(vms []fleet.VM, engines int) map[string]string {
	p := NewPollers(vms, engines)
	out := make(map[string]string)
	for i := range engines {
		id := fmt.Sprintf("i-%d", i)
		out[id] = p.Poller(id)
	}
	return out
}

// TestPollers checks how evenly engines are shared, and that a lost VM moves the engines
// of few others. It guards against pollers whose work grows with the region.
func TestPollers(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name    string
		VMs     int
		Engines int
		// MostEngines bounds the engines of one poller, MostMoved those that the loss of any
		// VM moves. Pollers is the number of VMs that poll.
		MostEngines int `json:"most_engines"`
		MostMoved   int `json:"most_moved"`
		Pollers     int
	}](t, "testdata/pollers.json") {
		t.Run(c.Name, func(t *testing.T) {
			vms := regionVMs(c.VMs)
			before := assignments(vms, c.Engines)
			counts := make(map[string]int)
			most := 0
			for _, vm := range before {
				counts[vm]++
				most = max(most, counts[vm])
			}
			assert.Equal(t, len(counts), c.Pollers)
			assert.Assert(t, most <= c.MostEngines, "one VM polls %d engines", most)
			mostMoved := 0
			for lost := range vms {
				rest := append(append([]fleet.VM{}, vms[:lost]...), vms[lost+1:]...)
				moved := 0
				for engine, vm := range assignments(rest, c.Engines) {
					if vm != before[engine] && before[engine] != vms[lost].ID {
						moved++
					}
				}
				mostMoved = max(mostMoved, moved)
			}
			t.Logf("most engines %d, most moved %d", most, mostMoved)
			assert.Assert(t, mostMoved <= c.MostMoved, "a loss moves %d engines of other VMs", mostMoved)
		})
	}
}

// TestCollectors checks who collects reports in a large and in a small region.
func TestCollectors(t *testing.T) {
	vms := regionVMs(200)
	p := NewPollers(vms, 2600)
	assert.Assert(t, p.Broadcast())
	for i := range 2600 {
		id := fmt.Sprintf("i-%d", i)
		assert.Assert(t, p.IsCollector(p.Collector(id).ID))
		assert.Assert(t, p.Polls(p.Poller(id)))
	}
	small := NewPollers(regionVMs(9), 2600)
	assert.Assert(t, !small.Broadcast() && !small.IsCollector("vm-1") && small.Polls("vm-1"))
	assert.Equal(t, NewPollers(nil, 3).Poller("i-1"), "")
}
