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
		const ratio, slack, length = 0.2, 20.0, 10 * time.Second
		now := time.Unix(1e9, 0)
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		start := func(slackFrom time.Time) *Window {
			return NewWindow(WindowOptions{
				Ratio:     ratio,
				Slack:     slack,
				Length:    length,
				VMs:       func() int { return vms },
				SlackFrom: slackFrom,
				Now:       func() time.Time { return now },
			})
		}
		windows := make([]*Window, vms)
		for i := range windows {
			windows[i] = start(time.Time{})
		}
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				windows[vm] = start(now.Add(length))
			}
			w := windows[vm]
			if rapid.Bool().Draw(t, "request") {
				w.OnRequest()
				requests = append(requests, now)
			} else if w.Allow() {
				retries = append(retries, now)
			}
			assert.Assert(t, float64(countWithin(retries, now, length)) <= ratio*float64(countWithin(requests, now, length))+slack)
		}
	})
}

func countWithin(times []time.Time, now time.Time, length time.Duration) int {
	n := 0
	for _, at := range times {
		// The window advances by whole buckets, so it may forget one bucket early.
		if now.Sub(at) < length-length/windowBuckets {
			n++
		}
	}
	return n
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
