package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// coldPropagation is a case in which VMs forward cold reports over slow links.
type coldPropagation struct {
	Name string
	VMs  int
	// Way is the one-way latency between two VMs.
	Way string
	// Cold is the cold period that the endpoint reports to the VM that probes it.
	Cold string
	// Again is a second, longer cold period, reported to the same VM after After.
	Again, After string
	// WarmAfter is when every VM must treat the endpoint as warm again.
	WarmAfter string `json:"warm_after"`
	// MostTold is the maximum number of broadcasts.
	MostTold int `json:"most_told"`
}

// coldMessage is a cold report in flight between two VMs.
type coldMessage struct {
	to        int
	deliverAt time.Time
	remaining time.Duration
	number    uint64
}

// TestColdPropagationEnds guards against VMs that forward a cold report to each other
// forever because its end shifts with network latency.
func TestColdPropagationEnds(t *testing.T) {
	for _, c := range datatest.Read[[]coldPropagation](t, "testdata/cold_propagation.json") {
		t.Run(c.Name, func(t *testing.T) {
			const step = 50 * time.Millisecond
			start := time.Unix(1e9, 0)
			states := newStates(c.VMs, start)
			var inFlight []coldMessage
			broadcasts := 0
			broadcast := func(from int, now time.Time) {
				broadcasts++
				ready := states[from].Endpoints(now)[0]
				for to := range states {
					if to != from {
						inFlight = append(inFlight, coldMessage{
							to:        to,
							deliverAt: now.Add(parseDuration(t, c.Way)),
							remaining: ready.ColdUntil.Sub(now),
							number:    ready.ColdReportNumber,
						})
					}
				}
			}
			if states[0].ReportCold("a", start.Add(parseDuration(t, c.Cold)), start, false) {
				broadcast(0, start)
			}
			end := start.Add(parseDuration(t, c.WarmAfter))
			for now := start.Add(step); !now.After(end); now = now.Add(step) {
				if c.Again != "" && now.Equal(start.Add(parseDuration(t, c.After))) {
					if states[0].ReportCold("a", now.Add(parseDuration(t, c.Again)), now, false) {
						broadcast(0, now)
					}
				}
				var undelivered []coldMessage
				var changed []int
				for _, m := range inFlight {
					switch {
					case m.deliverAt.After(now):
						undelivered = append(undelivered, m)
					case states[m.to].ReportColdFromPeer("a", m.number, now.Add(m.remaining), now):
						changed = append(changed, m.to)
					}
				}
				inFlight = undelivered
				for _, vm := range changed {
					broadcast(vm, now)
				}
			}
			for vm, s := range states {
				assert.Assert(t, s.Endpoints(end)[0].ColdUntil.IsZero(), "VM %d still treats the endpoint as cold", vm)
			}
			assert.Assert(t, broadcasts <= c.MostTold, "%d broadcasts, want at most %d", broadcasts, c.MostTold)
		})
	}
}

// TestExtendedColdPropagates checks that a VM that knows a cold report accepts a later,
// longer one.
func TestExtendedColdPropagates(t *testing.T) {
	now := time.Unix(1e9, 0)
	states := newStates(2, now)
	assert.Assert(t, reportAndTell(states[0], states[1], now.Add(time.Second), now))
	assert.Assert(t, reportAndTell(states[0], states[1], now.Add(3*time.Second), now))
	assert.Assert(t, states[1].Endpoints(now)[0].ColdUntil.Equal(now.Add(3*time.Second)))
	// A restarted VM numbers its reports from 1 again. They are accepted once the old
	// report is no longer retained.
	later := now.Add(3 * time.Second).Add(coldReportRetention)
	assert.Assert(t, states[1].ReportColdFromPeer("a", 1, later.Add(time.Second), later))
}

// TestColdReportsOfRestartedVM guards against reports that are taken for known ones, as the VM
// that tells them has started since an earlier cold period.
func TestColdReportsOfRestartedVM(t *testing.T) {
	now := time.Unix(1e9, 0)
	states := newStates(2, now)
	assert.Assert(t, reportAndTell(states[0], states[1], now.Add(time.Second), now))
	restarted := newStates(1, now)[0]
	now = now.Add(4 * time.Second)
	assert.Assert(t, reportAndTell(restarted, states[1], now.Add(time.Second), now))
}

// reportAndTell has a VM learn from the endpoint that it is cold and tell a peer, and reports
// whether it was new to both.
func reportAndTell(vm, peer *State, until, now time.Time) bool {
	if !vm.ReportCold("a", until, now, false) {
		return false
	}
	e := vm.Endpoints(now)[0]
	return peer.ReportColdFromPeer("a", e.ColdReportNumber, e.ColdUntil, now)
}

// TestColdReportAfterLateEntry guards against a VM that keeps what an endpoint says to itself, as
// it has received the entry of an earlier cold period a moment ago.
func TestColdReportAfterLateEntry(t *testing.T) {
	now := time.Unix(1e9, 0)
	s := New(Options{Grace: 2 * time.Second})
	s.Apply(Change{Endpoint: &Endpoint{
		Endpoint: fleet.Endpoint{
			ID:    "a",
			State: fleet.StateLive,
		},
		ColdFor: 3 * time.Second,
	}}, now)
	// What is left of a report of the earlier period is no report of this one.
	assert.Assert(t, !s.ReportColdFromPeer("a", 1, now.Add(time.Second), now))
	until := now.Add(2900 * time.Millisecond)
	assert.Assert(t, !s.ReportCold("a", until, now, false))
	assert.Assert(t, s.ReportCold("a", until, now, true))
	assert.Assert(t, s.Endpoints(now)[0].ColdUntil.Equal(until))
	assert.Assert(t, !s.ReportCold("a", until, now, true))
}

func newStates(count int, now time.Time) []*State {
	states := make([]*State, count)
	for i := range states {
		states[i] = New(Options{Grace: 2 * time.Second})
		states[i].Apply(Change{Endpoint: &Endpoint{
			Endpoint: fleet.Endpoint{
				ID:    "a",
				State: fleet.StateLive,
			},
		}}, now)
	}
	return states
}
