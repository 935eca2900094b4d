package retry

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

const (
	fleetRatio  = 0.2
	fleetWindow = 10 * time.Second
)

// fleetTraffic is the traffic of a fleet for some time: which VMs get requests, which of them
// start first, and whether endpoints fail.
type fleetTraffic struct {
	Milliseconds int `json:"ms"`
	PerSecond    int `json:"per_second"`
	// VMs are the VMs that get requests, in turn; Starts are those that start before.
	VMs    []int `json:"vms"`
	Starts []int `json:"starts"`
	// Fails says that each request is retried as often as the budget allows.
	Fails bool `json:"fails"`
}

// simulatedFleet plays traffic on the windows of several VMs, in one clock.
type simulatedFleet struct {
	slack    float64
	now      time.Time
	windows  []*Window
	requests []time.Time
	retries  []time.Time
	// sentBefore is for how long requests are on their way to the VMs, and arrivesAfter for
	// how long retries are on their way from them.
	sentBefore   time.Duration
	arrivesAfter time.Duration
}

// newSimulatedFleet returns a fleet whose VMs started a window ago.
func newSimulatedFleet(vms int, slack float64) *simulatedFleet {
	f := &simulatedFleet{
		slack:   slack,
		now:     time.Unix(1e9, 0),
		windows: make([]*Window, vms),
	}
	for i := range f.windows {
		f.start(i)
	}
	f.now = f.now.Add(fleetWindow)
	return f
}

func (f *simulatedFleet) start(vm int) {
	vms := len(f.windows)
	f.windows[vm] = NewWindow(WindowOptions{
		Ratio:     fleetRatio,
		Slack:     f.slack,
		Length:    fleetWindow,
		VMs:       func() int { return vms },
		SlackFrom: f.now.Add(fleetWindow),
		Now:       func() time.Time { return f.now },
	})
}

func (f *simulatedFleet) play(traffic fleetTraffic) {
	for _, vm := range traffic.Starts {
		f.start(vm)
	}
	end := f.now.Add(time.Duration(traffic.Milliseconds) * time.Millisecond)
	for i := 0; f.now.Before(end); i++ {
		if len(traffic.VMs) > 0 {
			vm := traffic.VMs[i%len(traffic.VMs)]
			f.request(vm)
			for traffic.Fails && f.retry(vm) {
			}
		}
		f.now = f.now.Add(time.Second / time.Duration(traffic.PerSecond))
	}
}

// request counts a request of a VM, which its caller sent a moment before.
func (f *simulatedFleet) request(vm int) {
	f.windows[vm].OnRequest()
	f.requests = append(f.requests, f.now.Add(-f.sentBefore))
}

// retry makes a retry of a VM, if the budget allows one. It arrives a moment later.
func (f *simulatedFleet) retry(vm int) bool {
	granted := f.windows[vm].Allow()
	if granted {
		f.retries = append(f.retries, f.now.Add(f.arrivesAfter))
	}
	return granted
}

// overrun returns by how many retries the window that exceeds the bound most does so: the
// ratio of the requests of that window, of the one before it or of the one half a window
// before it, and the slack.
func (f *simulatedFleet) overrun() float64 {
	most := 0.0
	for _, from := range f.retries {
		requests := 0
		for _, before := range []time.Duration{0, fleetWindow / 2, fleetWindow} {
			requests = max(requests, countFrom(f.requests, from.Add(-before)))
		}
		most = max(most, float64(countFrom(f.retries, from))-fleetRatio*float64(requests)-f.slack)
	}
	return most
}

// countFrom counts the sorted times in the window that begins at a time.
func countFrom(times []time.Time, from time.Time) int {
	search := func(at time.Time) int {
		i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
		return i
	}
	return search(from.Add(fleetWindow)) - search(from)
}

// TestRetriesAcrossStartsAndMovedTraffic guards against windows of VMs that don't add up to
// one of the fleet.
func TestRetriesAcrossStartsAndMovedTraffic(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name  string
		VMs   int
		Slack float64
		// Retries are to be granted in all.
		Retries int
		Traffic []fleetTraffic
	}](t, "testdata/fleet.json") {
		t.Run(c.Name, func(t *testing.T) {
			fleet := newSimulatedFleet(c.VMs, c.Slack)
			for _, traffic := range c.Traffic {
				fleet.play(traffic)
			}
			assert.Assert(t, fleet.overrun() <= 0, "%.1f retries above the bound", fleet.overrun())
			assert.Assert(t, len(fleet.retries) >= c.Retries, len(fleet.retries))
		})
	}
}

// TestRandomFleets guards against the same with random traffic and starts.
func TestRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 6).Draw(t, "VMs")
		fleet := newSimulatedFleet(vms, float64(rapid.IntRange(0, 30).Draw(t, "slack")))
		fleet.sentBefore = time.Duration(rapid.IntRange(0, 250).Draw(t, "ms until counted")) * time.Millisecond
		fleet.arrivesAfter = time.Duration(rapid.IntRange(0, 250).Draw(t, "ms until arrived")) * time.Millisecond
		someVMs := rapid.SliceOfNDistinct(rapid.IntRange(0, vms-1), 0, vms, rapid.ID[int])
		for range rapid.IntRange(1, 8).Draw(t, "times") {
			fleet.play(fleetTraffic{
				Milliseconds: rapid.IntRange(100, 12_000).Draw(t, "ms"),
				PerSecond:    rapid.IntRange(1, 200).Draw(t, "per second"),
				VMs:          someVMs.Draw(t, "VMs with requests"),
				Starts:       someVMs.Draw(t, "VMs that start"),
				Fails:        rapid.Bool().Draw(t, "fails"),
			})
		}
		assert.Assert(t, fleet.overrun() <= 0, "%.1f retries above the bound", fleet.overrun())
	})
}
