package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSizeEstimate checks that departed VMs count for some minutes, and that a VM that has
// just started doesn't assume that it is the only one.
func TestSizeEstimate(t *testing.T) {
	start := time.Unix(1e9, 0)
	e := SizeEstimate{
		StartedAt: start,
	}
	at := start.Add
	assert.Equal(t, e.VMs(at(0)), minVMsAtStart)
	e.Observe(1, 1, at(0))
	assert.Equal(t, e.ReachableShare(at(time.Second)), 1.0/minVMsAtStart)
	assert.Equal(t, e.ReachableShare(at(StartupPeriod)), 1.0)
	e.Observe(4, 5, at(2*time.Second))
	assert.Equal(t, e.VMs(at(2*time.Second)), 5)
	assert.Equal(t, e.ReachableShare(at(2*time.Second)), 0.8)
	e.Observe(2, 2, at(3*time.Second))
	assert.Equal(t, e.ReachableShare(at(3*time.Second)), 0.4)
	assert.Equal(t, e.StableFor(at(5*time.Second)), 2*time.Second)
	e.Observe(2, 2, at(3*time.Second+departedRetention))
	assert.Equal(t, e.ReachableShare(at(3*time.Second+departedRetention)), 1.0)
}
