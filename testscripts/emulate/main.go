// Command emulate plays random schedules of the packages that decide in virtual
// time, and prints what must not happen.
package main

import (
	"fmt"
	"os"
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
	sum := emulator.PlayAll(emulator.Options{
		Seed:  *seed,
		Fault: emulator.Fault(*fault),
		For:   *long,
	}, *count)
	for _, r := range sum.Bad[:min(len(sum.Bad), shownMost)] {
		fmt.Printf("seed %d: %s (and %d more)\n", r.Seed, r.Violations[0], len(r.Violations)-1)
	}
	fmt.Printf("%d seeds: %d requests, %d answered, %d runs, %d faults, %d steps, %d seeds with a violation, in %s\n",
		*count, sum.Requests, sum.Answered, sum.Runs, sum.Faults, sum.Steps, len(sum.Bad), time.Since(began).Round(time.Second))
	if len(sum.Bad) > 0 {
		os.Exit(1)
	}
}
