package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDemandExcludesBorrowedCalls checks that lent capacity is not counted as the
// region's own demand, while borrowed calls run and afterwards.
func TestDemandExcludesBorrowedCalls(t *testing.T) {
	const vms, ownSlots = 2, 10.0
	now := time.Unix(1e9, 0)
	d := newDemand()
	assert.Equal(t, d.localMean(vms, now), 0.0)
	for _, borrowed := range []int{0, 4, 9, 2, 0} {
		d.addBorrowed(borrowed)
		for range 20 {
			now = now.Add(100 * time.Millisecond)
			d.addSample(ownSlots+float64(borrowed*vms), now)
			assert.Equal(t, d.localMean(vms, now), ownSlots)
		}
		d.addBorrowed(-borrowed)
	}
	window := demandBinCount * demandBinSeconds * time.Second
	assert.Equal(t, d.localMean(vms, now.Add(window)), 0.0)
	d.addBorrowed(8)
	d.addSample(1, now.Add(window))
	assert.Equal(t, d.localMean(vms, now.Add(window)), 0.0)
}
