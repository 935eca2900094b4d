package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/standin/load"
)

// loadFlags are the flags of "standin load".
type loadFlags struct {
	targets     string
	mix         string
	seed        uint64
	rate        float64
	duration    time.Duration
	warmUp      time.Duration
	day         time.Duration
	peak        float64
	direct      bool
	maxTries    int
	maxCalls    int
	maxInFlight int
	record      string
}

// loadCommand adds "standin load", which generates open-loop load and prints a
// table of the results. With --record it also writes them as JSON.
func loadCommand(app *kingpin.Application) {
	f := &loadFlags{}
	command := app.Command("load", "Generate open-loop load and report the results.")
	command.Flag("targets", "JSON file with the regions, endpoints and operator addresses.").Required().ExistingFileVar(&f.targets)
	command.Flag("mix", "Mix of calls: "+strings.Join(load.MixNames(), " or ")+".").Default(load.MixNames()[0]).EnumVar(&f.mix, load.MixNames()...)
	command.Flag("seed", "Seed of the schedule.").Default("1").Uint64Var(&f.seed)
	command.Flag("rate", "Mean number of calls per second over all regions.").Default("50").Float64Var(&f.rate)
	command.Flag("duration", "Length of the schedule.").Default("20s").DurationVar(&f.duration)
	command.Flag("warm-up", "Initial period whose calls are not recorded.").Default("2s").DurationVar(&f.warmUp)
	command.Flag("day", "Length of a simulated day; 0 keeps the rate constant.").Default("0s").DurationVar(&f.day)
	command.Flag("peak", "Relative amplitude of the daily cycle, from 0 to 1.").Default("0.5").Float64Var(&f.peak)
	command.Flag("direct", "Send calls directly to the endpoints, as a baseline.").BoolVar(&f.direct)
	command.Flag("max-tries", "Maximum number of attempts per call; 0 uses the caller's default.").IntVar(&f.maxTries)
	command.Flag("max-calls", "Maximum number of calls in the schedule.").Default("200000").IntVar(&f.maxCalls)
	command.Flag("max-in-flight", "Maximum number of calls in flight; calls over it are shed.").Default("8192").IntVar(&f.maxInFlight)
	command.Flag("record", "File to write the record to as JSON.").StringVar(&f.record)
	command.Action(func(*kingpin.ParseContext) error {
		return f.run(context.Background())
	})
}

func (f *loadFlags) run(ctx context.Context) error {
	o, err := f.options()
	if err != nil {
		return err
	}
	run, err := load.New(o)
	if err != nil {
		return err
	}
	record := run.Measure(ctx)
	if f.record != "" {
		data, err := json.MarshalIndent(record, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(f.record, append(data, '\n'), 0o600); err != nil {
			return err
		}
	}
	return load.WriteTable(os.Stdout, record)
}

func (f *loadFlags) options() (load.Options, error) {
	o := load.Options{
		Seed:        f.seed,
		Rate:        f.rate,
		Duration:    f.duration,
		WarmUp:      f.warmUp,
		DayLength:   f.day,
		Peak:        f.peak,
		Direct:      f.direct,
		MaxTries:    f.maxTries,
		MaxCalls:    f.maxCalls,
		MaxInFlight: f.maxInFlight,
	}
	o.Mix, _ = load.FindMix(f.mix)
	data, err := os.ReadFile(f.targets)
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(data, &o.Targets); err != nil {
		return o, fmt.Errorf("%s: %w", f.targets, err)
	}
	return o, nil
}
