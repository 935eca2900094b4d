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
	// shareBound is what the shares of a workspace may sum up to.
	shareBound = 1 + 1e-9
	// rateBound is what clocks that differ in rate may add to a limit.
	rateBound = 1 + 2*driftStep
	callCost  = 1
)

// check runs a schedule and describes the first breach of the bound, "" if none:
// the shares of a workspace never sum up to more than bound, and the calls that
// all VMs together admit in any window are at most the limit times the window
// times bound, plus what may be saved up.
func check(s schedule, v variant, bound float64) string {
	return run(newNetwork(v, s.VMs), s, bound, 1)
}

// run checks a network in which a limit may be saved up for some seconds.
func run(n *network, s schedule, bound, savedUp float64) string {
	s.apply(n)
	breach := ""
	windows := make(map[string]*window)
	for _, w := range n.names {
		windows[w] = &window{}
	}
	n.admitted = func(_ *process, w string, at time.Duration) {
		rate := n.terms.RequestsPerSecond * bound * rateBound
		burst := n.terms.RequestsPerSecond*bound*savedUp + callCost*float64(len(n.processes))
		if over := windows[w].add(rate, at); over > burst && breach == "" {
			breach = fmt.Sprintf("at %v: %s: %.2f calls over the limit in one window, burst %.2f", at, w, over, burst)
		}
	}
	var sample func()
	sample = func() {
		for _, w := range n.names {
			if sum := n.shares(w); sum > bound*shareBound && breach == "" {
				breach = fmt.Sprintf("at %v: %s: shares sum up to %.3f:%s", n.now, w, sum, n.describe(w))
			}
		}
		n.at(n.now+tickEvery/2, sample)
	}
	n.at(0, sample)
	n.run(s.Until)
	return breach
}

// window finds the window with the most calls above a rate.
type window struct {
	count float64
	least float64
}

// add counts a call and gives the most calls above rate of all windows that end with it.
func (w *window) add(rate float64, at time.Duration) float64 {
	w.least = min(w.least, w.count-rate*at.Seconds())
	w.count++
	return w.count - rate*at.Seconds() - w.least
}

func millis(t *rapid.T, from, to int, label string) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * 10 * time.Millisecond
}

func drawSchedule(t *rapid.T, ops []string) schedule {
	s := schedule{
		VMs:   rapid.IntRange(2, 6).Draw(t, "vms"),
		Lag:   millis(t, 0, 20, "lag"),
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
		At: millis(t, 80, 250, "at"),
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
		st.For = millis(t, 1, 120, "for")
	}
	return st
}

// drawList returns a list with the first VMs as live, leaving or gone, and perhaps a new one.
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
	faults    = []string{"cut", "cut", "slow", "split", "freeze", "quiet", "kill", "restart", "leave"}
	withLists = append([]string{"list"}, faults...)
)

// TestBoundHolds draws schedules of all faults but changes of the list.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, faults)
		if breach := check(s, asBuilt, 1); breach != "" {
			t.Fatalf("%s\n%s", breach, s)
		}
	})
}

// TestBoundHoldsWhileListsLag draws changes of the list too, which reach the
// VMs within the hold.
func TestBoundHoldsWhileListsLag(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, withLists)
		if breach := check(s, asBuilt, 1); breach != "" {
			t.Fatalf("%s\n%s", breach, s)
		}
	})
}

// TestListsThatLagLong lets lists reach the VMs far later than the hold. Each
// VM that any list shows as live then holds a part by the shortest list at most.
func TestListsThatLagLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, withLists)
		s.Lag = millis(t, 20, 300, "long_lag")
		if breach := check(s, asBuilt, s.listBound()); breach != "" {
			t.Fatalf("%s\n%s", breach, s)
		}
	})
}

// TestReplacedBesideItself lets VMs be replaced while the old process runs on:
// each such one adds at most its own part.
func TestReplacedBesideItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, append([]string{"replace", "replace"}, faults...))
		doubles := 0
		for _, st := range s.Steps {
			if st.Op == "replace" {
				doubles++
			}
		}
		if breach := check(s, asBuilt, 1+float64(doubles)/float64(s.VMs)); breach != "" {
			t.Fatalf("%s\n%s", breach, s)
		}
	})
}

// TestBoundHoldsWithLeases lets VMs that are not owners admit by leases, whose
// amounts the owner saved up before and which may be used for a lease term.
func TestBoundHoldsWithLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, faults)
		n := newNetwork(asBuilt, s.VMs)
		n.leases = true
		if breach := run(n, s, 1, 1+limit.LeaseTerm.Seconds()); breach != "" {
			t.Fatalf("%s\n%s", breach, s)
		}
	})
}

// TestCases runs the schedules of testdata. Each names the variants that must
// breach the bound, so that the check is known to see what it is for.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		assert.NilError(t, err)
		s, err := parseSchedule(section(archive, "schedule"))
		assert.NilError(t, err)
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			assert.Equal(t, check(s, asBuilt, 1), "")
			for _, name := range strings.Fields(section(archive, "breaks")) {
				breach := check(s, variant(name), 1)
				assert.Assert(t, breach != "", "the check does not see %s", name)
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

var searched = flag.String("variant", "", "broken variant that TestSearch looks for a breach of")

// TestSearch looks for the shortest schedule that breaches the bound under the
// variant of the flag, to be kept as a case. Without the flag it does nothing.
func TestSearch(t *testing.T) {
	if *searched == "" {
		return
	}
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, faults)
		if breach := check(s, variant(*searched), 1); breach != "" {
			t.Fatalf("%s\n%s", breach, s)
		}
	})
}

// TestHealth shows that the fake fleet is not idle: in health the owners hold
// the whole limit and admit it.
func TestHealth(t *testing.T) {
	n := newNetwork(asBuilt, 4)
	calls := 0
	n.admitted = func(*process, string, time.Duration) { calls++ }
	n.run(2 * time.Second)
	for _, w := range n.names {
		assert.Equal(t, n.shares(w), 1.0)
	}
	from := calls
	n.run(7 * time.Second)
	contract := n.terms.RequestsPerSecond * 5 * float64(len(n.names))
	assert.Assert(t, math.Abs(float64(calls-from)/contract-1) < 0.02, "%d of %v calls", calls-from, contract)
}
