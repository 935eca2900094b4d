package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestWindowBoundsFleetRetries checks that all VMs together keep the limit in any
// window, also when VMs restart.
func TestWindowBoundsFleetRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		fleet := newSimulatedFleet(vms, 20)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			fleet.now = fleet.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				fleet.start(vm)
			}
			if rapid.Bool().Draw(t, "request") {
				fleet.request(vm)
			} else {
				fleet.retry(vm)
			}
		}
		assert.Assert(t, fleet.overrun() <= 0, "%.1f retries above the bound", fleet.overrun())
	})
}

// TestWindowUnknownVMCount checks that no slack is used while the number of VMs is
// unknown.
func TestWindowUnknownVMCount(t *testing.T) {
	w := NewWindow(WindowOptions{
		Ratio:  0.2,
		Slack:  100,
		Length: 10 * time.Second,
		VMs:    func() int { return 0 },
		Now:    func() time.Time { return time.Unix(1e9, 0) },
	})
	assert.Assert(t, !w.Allow())
	for range 10 {
		w.OnRequest()
	}
	assert.Assert(t, w.Allow())
	assert.Assert(t, !w.Allow())
}

// TestWindowDoesNotAllocate guards the path of each request.
func TestWindowDoesNotAllocate(t *testing.T) {
	fleet := newSimulatedFleet(1, 10)
	w := fleet.windows[0]
	assert.Equal(t, testing.AllocsPerRun(100, w.OnRequest), 0.0)
	assert.Equal(t, testing.AllocsPerRun(100, func() { w.Allow() }), 0.0)
}

func BenchmarkOnRequest(b *testing.B) {
	w := newSimulatedFleet(1, 10).windows[0]
	for b.Loop() {
		w.OnRequest()
	}
}

func BenchmarkAllow(b *testing.B) {
	w := newSimulatedFleet(1, 10).windows[0]
	for b.Loop() {
		w.Allow()
	}
}
