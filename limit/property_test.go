package limit_test

import (
	"flag"
	"fmt"
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/limit"
)

const (
	// maxShareSum is the maximum sum of the shares of a workspace, with rounding.
	maxShareSum = 1 + 1e-9
	// maxDriftFactor is how far clock drift may raise a rate.
	maxDriftFactor = 1 + 2*clockDrift
	callCost       = 1
)

// runSchedule runs a schedule and describes the first violation, or returns "". The shares
// of a workspace must never sum to more than bound, and in any period all VMs together
// must admit at most bound times the limit, plus the burst.
func runSchedule(s schedule, v variant, bound float64) string {
	return checkBound(newNetwork(v, s.VMs), s, bound, 1)
}

// checkBound is like runSchedule for a given network, with a burst of burstSeconds times
// the limit.
func checkBound(n *network, s schedule, bound, burstSeconds float64) string {
	s.apply(n)
	breach := ""
	trackers := make(map[string]*excessTracker)
	for _, w := range n.workspaces {
		trackers[w] = &excessTracker{}
	}
	n.admitted = func(_ *process, w string, at time.Duration) {
		rate := n.terms.RequestsPerSecond * bound * maxDriftFactor
		burst := n.terms.RequestsPerSecond*bound*burstSeconds + callCost*float64(len(n.processes))
		if over := trackers[w].add(rate, at); over > burst && breach == "" {
			breach = fmt.Sprintf("at %v: %s: %.2f calls over the limit, burst %.2f", at, w, over, burst)
		}
	}
	var sample func()
	sample = func() {
		for _, w := range n.workspaces {
			if sum := n.totalShare(w); sum > bound*maxShareSum && breach == "" {
				breach = fmt.Sprintf("at %v: %s: shares sum to %.3f:%s", n.now, w, sum, n.formatShares(w))
			}
		}
		n.at(n.now+tickInterval/2, sample)
	}
	n.at(0, sample)
	n.run(s.Until)
	return breach
}

// excessTracker finds the period with the most calls above a rate.
type excessTracker struct {
	count float64
	least float64
}

// add records a call and returns the maximum excess over rate of all periods that end with
// it.
func (w *excessTracker) add(rate float64, at time.Duration) float64 {
	w.least = min(w.least, w.count-rate*at.Seconds())
	w.count++
	return w.count - rate*at.Seconds() - w.least
}

func drawDuration(t *rapid.T, from, to int, label string) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * 10 * time.Millisecond
}

func drawSchedule(t *rapid.T, ops []string) schedule {
	s := schedule{
		VMs:   rapid.IntRange(2, 6).Draw(t, "vms"),
		Lag:   drawDuration(t, 0, 20, "lag"),
		Until: 4 * time.Second,
	}
	names := make([]string, s.VMs)
	for i := range names {
		names[i] = vmName(i)
	}
	s.Steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step { return drawStep(t, ops, names) }), 0, 12).Draw(t, "steps")
	return s
}

func drawStep(t *rapid.T, ops, names []string) step {
	st := step{
		At: drawDuration(t, 80, 250, "at"),
		Op: rapid.SampledFrom(ops).Draw(t, "op"),
	}
	vm := rapid.SampledFrom(names)
	switch st.Op {
	case "cut", "slow":
		st.Args = []string{vm.Draw(t, "from"), vm.Draw(t, "to")}
	case "split":
		st.Args = rapid.SliceOfNDistinct(vm, 1, len(names)-1, rapid.ID).Draw(t, "part")
	case "list":
		st.Args = drawList(t, names)
	default:
		st.Args = []string{vm.Draw(t, "vm")}
	}
	switch st.Op {
	case "cut", "slow", "split", "freeze", "quiet":
		st.For = drawDuration(t, 1, 120, "for")
	}
	return st
}

// drawList draws a list in which each of the VMs, and possibly a new one, is live, leaving
// or absent.
func drawList(t *rapid.T, names []string) []string {
	var list []string
	for _, name := range append(names, "x") {
		switch rapid.IntRange(0, 4).Draw(t, "listed") {
		case 0:
		case 1:
			list = append(list, name+"-")
		default:
			list = append(list, name)
		}
	}
	if len(list) == 0 {
		list = names[:1]
	}
	return list
}

var (
	faults         = []string{"cut", "cut", "slow", "split", "freeze", "quiet", "kill", "restart", "leave"}
	faultsAndLists = append([]string{"list"}, faults...)
)

// TestBoundHolds runs random faults without changes of the VM list.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, faults)
		if breach := runSchedule(s, asBuilt, 1); breach != "" {
			t.Fatalf("%s\n%s", breach, s)
		}
	})
}

// TestBoundHoldsWithListChanges adds list changes that reach the VMs within the hold time.
func TestBoundHoldsWithListChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, faultsAndLists)
		if breach := runSchedule(s, asBuilt, 1); breach != "" {
			t.Fatalf("%s\n%s", breach, s)
		}
	})
}

// TestBoundWithStaleLists delays list changes far beyond the hold time. Each VM that is
// live in any list may then hold a share according to the shortest list.
func TestBoundWithStaleLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, faultsAndLists)
		s.Lag = drawDuration(t, 20, 300, "long_lag")
		if breach := runSchedule(s, asBuilt, s.staleListBound()); breach != "" {
			t.Fatalf("%s\n%s", breach, s)
		}
	})
}

// TestBoundWithDuplicateProcesses replaces VMs while the old process keeps running. Each
// duplicate may add at most its own share.
func TestBoundWithDuplicateProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, append([]string{"replace", "replace"}, faults...))
		doubles := 0
		for _, st := range s.Steps {
			if st.Op == "replace" {
				doubles++
			}
		}
		if breach := runSchedule(s, asBuilt, 1+float64(doubles)/float64(s.VMs)); breach != "" {
			t.Fatalf("%s\n%s", breach, s)
		}
	})
}

// TestBoundHoldsWithLeases lets VMs that are not the owner admit calls from leases, which
// extend the burst by one lease term.
func TestBoundHoldsWithLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, faults)
		n := newNetwork(asBuilt, s.VMs)
		n.leases = true
		if breach := checkBound(n, s, 1, 1+limit.LeaseTerm.Seconds()); breach != "" {
			t.Fatalf("%s\n%s", breach, s)
		}
	})
}

// TestSavedSchedules runs the schedules in testdata. Each lists faulty variants that must
// violate the bound, which proves that the check detects them.
func TestSavedSchedules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		assert.NilError(t, err)
		s, err := parseSchedule(section(archive, "schedule"))
		assert.NilError(t, err)
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			assert.Equal(t, runSchedule(s, asBuilt, 1), "")
			for _, name := range strings.Fields(section(archive, "breaks")) {
				breach := runSchedule(s, variant(name), 1)
				assert.Assert(t, breach != "", "the check does not detect %s", name)
				t.Logf("%s: %s", name, breach)
			}
		})
	}
}

func section(a *txtar.Archive, name string) string {
	for _, f := range a.Files {
		if f.Name == name {
			return string(f.Data)
		}
	}
	return ""
}

var searchVariant = flag.String("variant", "", "variant in which TestSearch searches for a violation")

// TestSearch searches for the shortest schedule in which the given variant violates the
// bound. It does nothing without the flag.
func TestSearch(t *testing.T) {
	if *searchVariant == "" {
		return
	}
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, faults)
		if breach := runSchedule(s, variant(*searchVariant), 1); breach != "" {
			t.Fatalf("%s\n%s", breach, s)
		}
	})
}

// TestFullLimitWithoutFaults checks that the simulated fleet admits the full limit when
// there are no faults.
func TestFullLimitWithoutFaults(t *testing.T) {
	n := newNetwork(asBuilt, 4)
	calls := 0
	n.admitted = func(*process, string, time.Duration) { calls++ }
	n.run(2 * time.Second)
	for _, w := range n.workspaces {
		assert.Equal(t, n.totalShare(w), 1.0)
	}
	from := calls
	n.run(7 * time.Second)
	contract := n.terms.RequestsPerSecond * 5 * float64(len(n.workspaces))
	assert.Assert(t, math.Abs(float64(calls-from)/contract-1) < 0.02, "%d of %v calls", calls-from, contract)
}
