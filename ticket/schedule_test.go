package ticket

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var find = flag.Bool("find", false, "search new schedules that break the variants, and write them to testdata")

// TestMain raises rapid's default number of checks; the flag -rapid.checks overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// schedule is one file of testdata/schedules. Variant injects a fault into the registry.
// The steps must cause Violation with the fault and no violation without it.
type schedule struct {
	Variant   string `json:"variant"`
	Why       string `json:"why"`
	Violation string `json:"violation"`
	Steps     []step `json:"steps"`
}

var stepGenerator = rapid.Custom(func(t *rapid.T) step {
	s := step{
		// Steps of a call are listed several times so that calls complete.
		Op: rapid.SampledFrom([]string{
			"issue", "ask", "ask", "ask", "advance", "advance", "advance", "advance", "abandon",
			"kill", "tick", "skew", "stop", "give_up", "offer", "offer", "deliver", "beat",
		}).Draw(t, "op"),
	}
	small := rapid.IntRange(0, 2)
	switch s.Op {
	case "ask":
		s.VM = small.Draw(t, "vm")
		s.Ticket = rapid.IntRange(0, 3).Draw(t, "ticket")
		s.Arg = rapid.IntRange(0, 3).Draw(t, "arg")
	case "advance", "abandon":
		s.Ask = rapid.IntRange(0, 7).Draw(t, "ask")
		s.Arg = small.Draw(t, "arg")
	case "tick":
		s.Arg = rapid.IntRange(1, 7).Draw(t, "arg")
	case "skew":
		s.VM = small.Draw(t, "vm")
		s.Arg = rapid.IntRange(-8, 8).Draw(t, "arg")
	case "offer":
		s.VM = small.Draw(t, "vm")
		s.Arg = rapid.IntRange(0, offerCount-1).Draw(t, "arg")
	case "deliver":
		s.Arg = small.Draw(t, "arg")
	default:
		s.VM = small.Draw(t, "vm")
	}
	return s
})

func runSchedule(variant string, steps []step) *simulation {
	sim := newSimulation(variant)
	for _, s := range steps {
		sim.applyStep(s)
	}
	return sim
}

// TestRandomSchedules checks the invariants under random kills, pauses, stops,
// hand-overs, lost and delayed messages, clock skew and full record stores.
func TestRandomSchedules(t *testing.T) {
	eventCounts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		sim := runSchedule("", rapid.SliceOfN(stepGenerator, 40, 120).Draw(t, "steps"))
		assert.Equal(t, sim.violation, "")
		for name, n := range sim.eventCounts {
			eventCounts[name] += n
		}
	})
	t.Log(eventCounts)
}

// TestVariants checks that each injected fault is detected.
func TestVariants(t *testing.T) {
	files, err := filepath.Glob("testdata/schedules/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			s := readCase[schedule](t, file)
			if *find {
				s.Steps = searchSteps(t, stepGenerator, s.Steps, func(steps []step) bool { return runSchedule(s.Variant, steps).violation == s.Violation })
				writeCase(t, file, s)
			}
			assert.Equal(t, runSchedule(s.Variant, s.Steps).violation, s.Violation)
			assert.Equal(t, runSchedule("", s.Steps).violation, "")
		})
	}
}

// searchSteps returns a shrunk schedule for which breaks is true, starting from steps.
func searchSteps(t *testing.T, one *rapid.Generator[step], steps []step, breaks func([]step) bool) []step {
	t.Helper()
	many := rapid.SliceOfN(one, 80, 80)
	for seed := range 100_000 {
		if breaks(steps) {
			return shrink(steps, breaks)
		}
		steps = many.Example(seed)
	}
	t.Fatal("no schedule found")
	return nil
}

// shrink removes steps while breaks stays true.
func shrink(steps []step, breaks func([]step) bool) []step {
	for i := 0; i < len(steps); {
		shorter := append(append([]step(nil), steps[:i]...), steps[i+1:]...)
		if breaks(shorter) {
			steps = shorter
			i = 0
		} else {
			i++
		}
	}
	return steps
}

func readCase[T any](t *testing.T, file string) T {
	t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	var v T
	assert.NilError(t, json.Unmarshal(data, &v))
	return v
}

func writeCase(t *testing.T, file string, v any) {
	t.Helper()
	data, err := json.MarshalIndent(v, "", "  ")
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(file, append(data, '\n'), 0o644))
}
