// Command emulate plays random schedules of the packages that decide in virtual
// time, and prints what must not happen.
package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/testscripts/emulator"
)

// shownMost bounds the seeds that are printed.
const shownMost = 20

func main() {
	app := kingpin.New("emulate", "Play random schedules of the decision packages in virtual time.")
	seed := app.Flag("seed", "The first seed.").Default("1").Uint64()
	count := app.Flag("count", "How many seeds.").Default("10000").Uint64()
	long := app.Flag("for", "Virtual time in which requests come and faults are injected.").Default("25s").Duration()
	fault := app.Flag("fault", "A deliberate mistake of the fleet, to see that it is found.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	began := time.Now()
	total := playAll(*seed, *count, emulator.Options{
		Fault: emulator.Fault(*fault),
		For:   *long,
	})
	fmt.Printf("%d seeds: %d requests, %d answered, %d runs, %d faults, %d steps, %d seeds with a violation, in %s\n",
		*count, total.requests, total.answered, total.runs, total.faults, total.steps, total.bad, time.Since(began).Round(time.Second))
	if total.bad > 0 {
		os.Exit(1)
	}
}

// sum adds reports up.
type sum struct {
	mu                                           sync.Mutex
	requests, answered, runs, faults, steps, bad int
}

// playAll plays seeds on all processors.
func playAll(first, count uint64, o emulator.Options) *sum {
	var total sum
	var next atomic.Uint64
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for i := next.Add(1) - 1; i < count; i = next.Add(1) - 1 {
				one := o
				one.Seed = first + i
				total.add(emulator.Run(one))
			}
		})
	}
	all.Wait()
	return &total
}

func (s *sum) add(r emulator.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests += r.Requests
	s.answered += r.Answered
	s.runs += r.Runs
	s.faults += r.Faults
	s.steps += r.Steps
	if len(r.Violations) == 0 {
		return
	}
	s.bad++
	if s.bad <= shownMost {
		fmt.Printf("seed %d: %s (and %d more)\n", r.Seed, r.Violations[0], len(r.Violations)-1)
	}
}
