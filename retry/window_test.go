package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestWindowBoundsTheFleet holds that all VMs together keep the bound in any
// window, however their requests and failures fall, also while they are split
// or start again.
func TestWindowBoundsTheFleet(t *testing.T) {
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
		var requests, repeats []time.Time
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
				repeats = append(repeats, now)
			}
			assert.Assert(t, float64(within(repeats, now, length)) <= ratio*float64(within(requests, now, length))+slack)
		}
	})
}

func within(times []time.Time, now time.Time, length time.Duration) int {
	n := 0
	for _, at := range times {
		// A window's parts are whole, so it forgets up to one part early.
		if now.Sub(at) < length-length/windowParts {
			n++
		}
	}
	return n
}

// TestWindowWithoutVMs holds that nothing of the slack is used while the number
// of VMs that share it is not known.
func TestWindowWithoutVMs(t *testing.T) {
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
