// Command emulate simulates a fleet under random faults in virtual time and prints
// the invariants that were violated.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/testscripts/emulator"
)

// maxShown bounds the seeds that are printed.
const maxShown = 20

func main() {
	app := kingpin.New("emulate", "Simulate a fleet under random faults in virtual time.")
	seed := app.Flag("seed", "The first seed.").Default("1").Uint64()
	count := app.Flag("count", "The number of seeds.").Default("10000").Uint64()
	duration := app.Flag("for", "Virtual time during which requests are sent and faults are injected.").Default("25s").Duration()
	defect := app.Flag("fault", "A defect to build into the simulated fleet, to show that a check detects it.").String()
	parts := app.Flag("parts", "Prompts with a part that crashes endpoints, in the JSON form of a row of testdata/crashing_parts.json.").Default("{}").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	var crashingParts emulator.CrashingParts
	app.FatalIfError(json.Unmarshal([]byte(*parts), &crashingParts), "parse --parts")
	startedAt := time.Now()
	sum := emulator.RunAll(emulator.Options{
		Seed:     *seed,
		Defect:   emulator.Defect(*defect),
		Duration: *duration,

		CrashingParts: crashingParts,
	}, *count)
	for _, r := range sum.Failed[:min(len(sum.Failed), maxShown)] {
		fmt.Printf("seed %d: %s (and %d more)\n", r.Seed, r.Violations[0], len(r.Violations)-1)
	}
	fmt.Printf("%d seeds: %d requests, %d answered, %d runs, %d faults, %d events, %d seeds with a violation, in %s\n",
		*count, sum.Requests, sum.Answered, sum.Runs, sum.Faults, sum.Events, len(sum.Failed), time.Since(startedAt).Round(time.Second))
	if sum.EndpointCrashes > 0 {
		fmt.Printf("%d endpoints crashed by requests, %d harmless requests quarantined, %d notes of crashes\n", sum.EndpointCrashes, sum.FalseQuarantines, sum.CrashNotes)
	}
	if len(sum.Failed) > 0 {
		os.Exit(1)
	}
}
