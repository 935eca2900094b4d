package emulator

import (
	"flag"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// schedules is how many seeds TestSchedules plays; a million are played by hand.
var schedules = flag.Int("schedules", 10_000, "seeds that TestSchedules plays, a tenth of them with the race detector")

// playFor is the virtual time of one run.
const playFor = 25 * time.Second

// playAll plays seeds on all processors and gives the reports with violations.
func playAll(first, count int, fault Fault) (bad []Report, sum Report) {
	var next atomic.Int64
	var mu sync.Mutex
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for i := next.Add(1) - 1; i < int64(count); i = next.Add(1) - 1 {
				r := Run(Options{
					Seed:  uint64(first) + uint64(i),
					Fault: fault,
					For:   playFor,
				})
				mu.Lock()
				sum.Requests += r.Requests
				sum.Answered += r.Answered
				sum.Runs += r.Runs
				sum.Faults += r.Faults
				sum.Steps += r.Steps
				if len(r.Violations) > 0 {
					bad = append(bad, r)
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	slices.SortFunc(bad, func(a, b Report) int { return int(a.Seed) - int(b.Seed) })
	return bad, sum
}

// TestSchedules plays random schedules of the decision packages.
func TestSchedules(t *testing.T) {
	count := *schedules / slower
	bad, sum := playAll(1, count, NoFault)
	t.Logf("%d seeds: %d requests, %d answered, %d runs, %d faults, %d steps", count, sum.Requests, sum.Answered, sum.Runs, sum.Faults, sum.Steps)
	for i, r := range bad {
		if i < 10 {
			t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
		}
	}
	assert.Equal(t, len(bad), 0)
}

// TestSameSeed holds that a seed always gives the same run.
func TestSameSeed(t *testing.T) {
	o := Options{
		Seed: 17,
		For:  playFor,
	}
	assert.DeepEqual(t, Run(o), Run(o))
}

// TestFaultsAreFound holds that each check fails where the fleet makes the
// mistake that it is there for.
func TestFaultsAreFound(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Fault Fault
		Check Check
		// Seeds is within how many the mistake must show.
		Seeds int
	}](t, "testdata/faults.json") {
		t.Run(string(c.Fault), func(t *testing.T) {
			bad, _ := playAll(1, c.Seeds, c.Fault)
			found := slices.ContainsFunc(bad, func(r Report) bool {
				return slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Check == c.Check })
			})
			assert.Assert(t, found, "%s in none of %d seeds", c.Check, c.Seeds)
		})
	}
}
