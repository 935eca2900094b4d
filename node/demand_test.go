package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDemandLeavesStrangersOut holds that lending does not look like own demand,
// neither while strangers run nor for the memory's length afterwards.
func TestDemandLeavesStrangersOut(t *testing.T) {
	const vms, ownSlots = 2, 10.0
	now := time.Unix(1e9, 0)
	d := newDemand()
	assert.Equal(t, d.own(vms, now), 0.0)
	for _, strangers := range []int{0, 4, 9, 2, 0} {
		d.lend(strangers)
		for range 20 {
			now = now.Add(100 * time.Millisecond)
			d.add(ownSlots+float64(strangers*vms), now)
			assert.Equal(t, d.own(vms, now), ownSlots)
		}
		d.lend(-strangers)
	}
	memory := demandBins * demandBinSeconds * time.Second
	assert.Equal(t, d.own(vms, now.Add(memory)), 0.0)
	d.lend(8)
	d.add(1, now.Add(memory))
	assert.Equal(t, d.own(vms, now.Add(memory)), 0.0)
}
