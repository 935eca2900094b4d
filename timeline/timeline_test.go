package timeline

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestMain fixes the seed to make the property tests deterministic.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func readRows[T any](t *testing.T, name string) []T {
	rows := datatest.Read[[]T](t, name)
	return rows
}

func TestClock(t *testing.T) {
	type step struct {
		Wall    int64  `json:"wall"`
		Witness string `json:"witness"`
		Want    string `json:"want"`
	}
	type row struct {
		Name  string `json:"name"`
		Steps []step `json:"steps"`
	}
	for _, row := range readRows[row](t, "testdata/clocks.json") {
		t.Run(row.Name, func(t *testing.T) {
			var wall int64
			ring := New(Options{
				Now: func() time.Time { return time.UnixMilli(wall) },
			})
			for _, step := range row.Steps {
				wall = step.Wall
				if step.Witness != "" {
					ring.Observe(parseStamp(t, step.Witness))
				}
				assert.Equal(t, ring.Stamp(), parseStamp(t, step.Want))
			}
		})
	}
}

// parseStamp parses "milliseconds.counter".
func parseStamp(t *testing.T, text string) Stamp {
	millis, counter, _ := strings.Cut(text, ".")
	m, err := strconv.ParseUint(millis, 10, 64-logicalBits)
	assert.NilError(t, err)
	c, err := strconv.ParseUint(counter, 10, logicalBits)
	assert.NilError(t, err)
	return Stamp(m<<logicalBits | c)
}

func TestRing(t *testing.T) {
	type row struct {
		Name      string   `json:"name"`
		Capacity  int      `json:"capacity"`
		Added     int      `json:"added"`
		Request   string   `json:"request"`
		Workspace string   `json:"workspace"`
		From      int64    `json:"from"`
		To        int64    `json:"to"`
		Kept      []string `json:"kept"`
	}
	for _, row := range readRows[row](t, "testdata/rings.json") {
		t.Run(row.Name, func(t *testing.T) {
			var wall int64
			ring := New(Options{
				VM:       "a1",
				Capacity: row.Capacity,
				Now:      func() time.Time { return time.UnixMilli(wall) },
			})
			for i := range row.Added {
				wall = int64(i)
				ring.Add(Event{
					Request:   fmt.Sprintf("e%d", i),
					Workspace: fmt.Sprintf("w%d", i%2),
				})
			}
			q := Query{
				Request:   row.Request,
				Workspace: row.Workspace,
			}
			if row.To > 0 {
				q.From = time.UnixMilli(row.From)
				q.To = time.UnixMilli(row.To)
			}
			var kept []string
			for _, e := range ring.Select(q) {
				assert.Equal(t, e.VM, "a1")
				kept = append(kept, e.Request)
			}
			assert.DeepEqual(t, kept, row.Kept)
		})
	}
}

// execution is a random run of VMs with skewed clocks. Each step is an event on
// one VM, which may first receive the message sent by an earlier step.
type execution struct {
	Steps []executionStep
}

type executionStep struct {
	VM   int
	Wall int64
	// Cause is the step whose message is received; -1 means none.
	Cause int
}

const executionVMs = 4

var executions = rapid.Custom(func(t *rapid.T) execution {
	var x execution
	n := rapid.IntRange(2, 40).Draw(t, "steps")
	for i := range n {
		x.Steps = append(x.Steps, executionStep{
			VM:    rapid.IntRange(0, executionVMs-1).Draw(t, "vm"),
			Wall:  rapid.Int64Range(0, 50).Draw(t, "wall"),
			Cause: rapid.IntRange(-1, i-1).Draw(t, "cause"),
		})
	}
	return x
})

// checkCausality runs the steps and returns an error if Merge places an effect
// before its cause.
func (x execution) checkCausality(witness func(*Ring, Stamp)) error {
	var wall int64
	rings := make([]*Ring, executionVMs)
	for i := range rings {
		rings[i] = New(Options{
			VM:       fmt.Sprintf("vm%d", i),
			Capacity: len(x.Steps),
			Now:      func() time.Time { return time.UnixMilli(wall) },
		})
	}
	sent := make([]Stamp, len(x.Steps))
	for i, step := range x.Steps {
		wall = step.Wall
		ring := rings[step.VM]
		if step.Cause >= 0 {
			witness(ring, sent[step.Cause])
		}
		ring.Add(Event{
			Request: strconv.Itoa(i),
		})
		sent[i] = ring.Stamp()
	}
	var parts [][]Event
	for _, ring := range rings {
		parts = append(parts, ring.Select(Query{}))
	}
	parts = append(parts, parts[0])
	return x.checkOrder(Merge(parts...))
}

func (x execution) checkOrder(merged []Event) error {
	if len(merged) != len(x.Steps) {
		return fmt.Errorf("merged %d events, want %d", len(merged), len(x.Steps))
	}
	at := func(step int) int {
		return slices.IndexFunc(merged, func(e Event) bool { return e.Request == strconv.Itoa(step) })
	}
	for i, step := range x.Steps {
		if step.Cause >= 0 && at(step.Cause) > at(i) {
			return fmt.Errorf("step %d is ordered after its effect, step %d", step.Cause, i)
		}
		for j := range i {
			if x.Steps[j].VM == step.VM && at(j) > at(i) {
				return fmt.Errorf("step %d is ordered after step %d of the same VM", j, i)
			}
		}
	}
	return nil
}

func TestMergeIsCausal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assert.NilError(t, executions.Draw(t, "exchange").checkCausality((*Ring).Observe))
	})
}

// TestMergeCheckCatchesNoWitness checks that checkCausality fails for clocks
// that ignore received stamps.
func TestMergeCheckCatchesNoWitness(t *testing.T) {
	noWitness := func(*Ring, Stamp) {}
	for seed := range 100 {
		if executions.Example(seed).checkCausality(noWitness) != nil {
			return
		}
	}
	t.Fatal("no execution failed although the clocks ignore received stamps")
}
