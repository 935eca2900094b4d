package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCensus checks that departed VMs count for some minutes, and that a VM that has
// just started doesn't assume that it is the only one.
func TestCensus(t *testing.T) {
	start := time.Unix(1e9, 0)
	c := SizeEstimate{
		StartedAt: start,
	}
	at := start.Add
	assert.Equal(t, c.VMs(at(0)), minVMsAtStart)
	c.Observe(1, 1, at(0))
	assert.Equal(t, c.ReachableShare(at(time.Second)), 1.0/minVMsAtStart)
	assert.Equal(t, c.ReachableShare(at(StartupPeriod)), 1.0)
	c.Observe(4, 5, at(2*time.Second))
	assert.Equal(t, c.VMs(at(2*time.Second)), 5)
	assert.Equal(t, c.ReachableShare(at(2*time.Second)), 0.8)
	c.Observe(2, 2, at(3*time.Second))
	assert.Equal(t, c.ReachableShare(at(3*time.Second)), 0.4)
	assert.Equal(t, c.StableFor(at(5*time.Second)), 2*time.Second)
	c.Observe(2, 2, at(3*time.Second+departedRetention))
	assert.Equal(t, c.ReachableShare(at(3*time.Second+departedRetention)), 1.0)
}
