package emulator

import (
	"flag"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// schedules is how many seeds TestSchedules plays; a million are played by hand.
var schedules = flag.Uint64("schedules", 10_000, "seeds that TestSchedules plays, a twentieth of them with the race detector")

// playFor is the virtual time of one run.
const playFor = 25 * time.Second

// TestSchedules plays random schedules of the decision packages.
func TestSchedules(t *testing.T) {
	count := *schedules / slower
	sum := PlayAll(Options{
		Seed: 1,
		For:  playFor,
	}, count)
	t.Logf("%d seeds: %d requests, %d answered, %d runs, %d faults, %d steps", count, sum.Requests, sum.Answered, sum.Runs, sum.Faults, sum.Steps)
	for _, r := range sum.Bad[:min(len(sum.Bad), shownMost)] {
		t.Errorf("seed %d: %s (and %d more)", r.Seed, r.Violations[0], len(r.Violations)-1)
	}
	assert.Equal(t, len(sum.Bad), 0)
}

// shownMost bounds the seeds that are printed.
const shownMost = 10

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
		Seeds    uint64
		Crashing Crashing
		Limiting Limiting
	}](t, "testdata/faults.json") {
		t.Run(string(c.Fault), func(t *testing.T) {
			for first := uint64(1); first <= c.Seeds; first += atOnce {
				sum := PlayAll(Options{
					Seed:     first,
					Fault:    c.Fault,
					For:      playFor,
					Crashing: c.Crashing,
					Limiting: c.Limiting,
				}, atOnce)
				if slices.ContainsFunc(sum.Bad, func(r Report) bool { return r.violates(c.Check) }) {
					return
				}
			}
			t.Errorf("%s in none of %d seeds", c.Check, c.Seeds)
		})
	}
}

// atOnce is how many seeds are played before looking whether a mistake showed.
const atOnce = 20

func (r Report) violates(check Check) bool {
	return slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Check == check })
}
