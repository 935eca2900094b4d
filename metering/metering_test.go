package metering

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/route"
)

var seeds = flag.Uint64("metering.seeds", 1, "how many seeds of each scenario are played")

// TestScenarios holds, under loads and faults, that what all VMs together admit of a
// workspace stays within the operators' bound, and that nearly all is admitted that
// one bucket for the whole fleet would admit.
func TestScenarios(t *testing.T) {
	for _, s := range datatest.Read[[]scenario](t, "testdata/scenarios.json") {
		for seed := uint64(1); seed <= *seeds; seed++ {
			t.Run(fmt.Sprintf("%s/%d", s.Name, seed), func(t *testing.T) {
				t.Parallel()
				o := playScenario(s, wayKeeper, seed)
				t.Log(s.Name, o)
				assert.Assert(t, o.most <= 1, "%.2f of the bound of workspace %s", o.most, o.workspace)
				assert.Assert(t, o.served >= s.Served, "served %.3f", o.served)
				assert.Assert(t, o.back >= s.Back, "served %.3f after the return", o.back)
			})
		}
	}
}

// outcome is what came of a scenario.
type outcome struct {
	// most is the greatest part of its bound that a workspace came to.
	most      float64
	workspace string
	// back is like served, of the seconds after VMs that were killed are back.
	back float64
	// served is the part of what one bucket would admit that was admitted, and waits the
	// part of the calls that waited for a keeper's word.
	served float64
	waits  float64
	// notes is how many a VM sends in a second.
	notes float64
}

// String returns the figures.
func (o outcome) String() string {
	return fmt.Sprintf("%.2f of the bound, back %.3f, served %.3f, waits %.3f, notes %.1f", o.most, o.back, o.served, o.waits, o.notes)
}

func playScenario(s scenario, by way, seed uint64) outcome {
	w := newWorld(s, by, seed)
	w.play()
	o := outcome{
		served: w.served / w.owed,
		back:   w.backServed / max(w.backOwed, 1),
		waits:  float64(w.waits) / float64(w.calls),
		notes:  float64(w.notes) / float64(len(w.vms)) / s.Length,
	}
	o.most, o.workspace = w.most()
	return o
}

// TestWays holds that the checks of TestScenarios fail on ways which do not do: each VM
// with the whole limit breaks the bound, and an even part for each refuses too much.
func TestWays(t *testing.T) {
	scenarios := datatest.Read[[]scenario](t, "testdata/scenarios.json")
	for _, c := range datatest.Read[[]struct {
		Way      way
		Scenario string
		Breaks   bool
		Refuses  bool
	}](t, "testdata/ways.json") {
		t.Run(fmt.Sprintf("%s in %s", c.Way, c.Scenario), func(t *testing.T) {
			t.Parallel()
			i := slices.IndexFunc(scenarios, func(s scenario) bool { return s.Name == c.Scenario })
			o := playScenario(scenarios[i], c.Way, 1)
			t.Log(c.Way, c.Scenario, o)
			assert.Equal(t, o.most > 1, c.Breaks, "%.2f of the bound", o.most)
			assert.Equal(t, o.served < scenarios[i].Served, c.Refuses, "served %.3f", o.served)
		})
	}
}

// single returns a meter that is the only VM of the only region, with its fleet.
func single(now time.Time) (*Meter, Fleet) {
	vm := fleet.VM{
		ID:     "a",
		Region: "r",
	}
	m := New(Options{
		VM:        vm.ID,
		Region:    vm.Region,
		Regions:   []string{vm.Region},
		StartedAt: now.Add(-time.Minute),
	})
	return m, Fleet{
		Near:  []fleet.VM{vm},
		Known: 1,
	}
}

// TestComeBack holds that a refused call is told when it will be admitted, and is
// admitted then.
func TestComeBack(t *testing.T) {
	now := time.Unix(1e9, 0)
	m, f := single(now)
	for _, unit := range []route.Unit{route.UnitRequests, route.UnitTokens} {
		w := &route.Workspace{
			Name: string(unit),
			Limit: route.Limit{
				Unit:      unit,
				PerSecond: 2,
				Burst:     2,
			},
		}
		for m.Take(w, 1, f, now).Refusal == nil {
		}
		refused := m.Take(w, 1, f, now).Refusal
		want := result.LimitRequests
		if unit == route.UnitTokens {
			want = result.LimitTokens
		}
		assert.Equal(t, refused.Code, want)
		assert.Assert(t, refused.ComeBackAt.After(now))
		assert.Assert(t, m.Take(w, 1, f, refused.ComeBackAt.Add(-time.Millisecond)).Refusal != nil)
		assert.Assert(t, m.Take(w, 1, f, refused.ComeBackAt).Refusal == nil)
	}
}

// TestGiveBack holds that what did not run is not charged.
func TestGiveBack(t *testing.T) {
	now := time.Unix(1e9, 0)
	m, f := single(now)
	w := &route.Workspace{
		Name: "w",
		Limit: route.Limit{
			Unit:      route.UnitRequests,
			PerSecond: 1,
			Burst:     1,
		},
	}
	for range 100 {
		assert.Assert(t, m.Take(w, 1, f, now).Refusal == nil)
		m.GiveBack(w, 1, f, now)
	}
}

// TestRemembersScarcity holds that a VM goes on asking for the calls of a scarce limit
// that were all asked for so far, and forgets a workspace that has no calls.
func TestRemembersScarcity(t *testing.T) {
	now := time.Unix(1e9, 0)
	f := Fleet{
		Near:  []fleet.VM{{ID: "a", Region: "r"}, {ID: "b", Region: "r"}},
		Known: 2,
	}
	w := &route.Workspace{
		Name: "w",
		Limit: route.Limit{
			Unit:      route.UnitRequests,
			PerSecond: 1000,
			Burst:     1000,
		},
	}
	table := route.New(route.Options{
		Keyed:      true,
		Workspaces: []route.Workspace{*w},
	})
	self := "a"
	if keeper, _ := keeperOf(w.Name, f.Near); keeper.ID == self {
		self = "b"
	}
	m := New(Options{
		VM:        self,
		Region:    "r",
		Regions:   []string{"r"},
		StartedAt: now.Add(-time.Minute),
	})
	const large = 5000
	assert.Assert(t, m.Take(w, large, f, now).Keeper != nil)
	m.Answered(w, large, Answer{
		Kept:     true,
		Admitted: true,
		Scarce:   true,
		At:       now,
	})
	m.Notes(table, f, now)
	m.Notes(table, f, now.Add(time.Second))
	assert.Assert(t, m.Take(w, 1, f, now.Add(time.Second)).Keeper != nil)
	m.Notes(table, f, now.Add(idleFor+2*time.Second))
	assert.Equal(t, len(m.uses), 0)
}
