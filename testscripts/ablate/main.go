// Command ablate measures what each mechanism of the platform contributes. It disables
// the mechanisms one at a time with the setting "without", in copies of the working
// tree, runs the benchmark program on the standard days and prints a table.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fuchsianotch/fuchsianotch/settings"
)

func main() {
	app := kingpin.New("ablate", "Measure what each mechanism contributes.")
	o := options{}
	app.Flag("bench", "The benchmark program that runs the days.").Required().ExistingFileVar(&o.bench)
	app.Flag("site", "A deployment file; may be repeated.").Required().ExistingFilesVar(&o.sites)
	app.Flag("plays", "The number of runs of each deployment.").Default("3").IntVar(&o.runs)
	app.Flag("at-once", "The number of variants that run in parallel.").Default("2").IntVar(&o.parallel)
	app.Flag("jobs", "The number of processors for each variant.").Default("4").IntVar(&o.jobs)
	app.Flag("work", "The directory for the copies of the working tree, which are kept.").Required().ExistingDirVar(&o.workDir)
	app.Arg("mechanism", "Mechanisms to disable; all by default.").EnumsVar(&o.mechanisms, settings.Mechanisms...)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if len(o.mechanisms) == 0 {
		o.mechanisms = settings.Mechanisms
	}
	variants, err := o.runAll(context.Background())
	var out strings.Builder
	printTable(&out, o.sites, variants)
	fmt.Print(out.String())
	if err != nil {
		fmt.Fprintln(os.Stderr, "ablate:", err)
		os.Exit(1)
	}
}

// options are the command's parameters.
type options struct {
	bench      string
	sites      []string
	runs       int
	parallel   int
	jobs       int
	workDir    string
	mechanisms []string
}

// baseline is the row in which every mechanism is enabled.
const baseline = "(all on)"

// runAll runs all variants, at most o.parallel at a time.
func (o options) runAll(ctx context.Context) ([]variant, error) {
	names := append([]string{baseline}, o.mechanisms...)
	variants := make([]variant, len(names))
	errs := make([]error, len(names))
	slots := make(chan struct{}, max(o.parallel, 1))
	var workers sync.WaitGroup
	for i, name := range names {
		workers.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			variants[i], errs[i] = o.runVariant(ctx, name)
		})
	}
	workers.Wait()
	return variants, errors.Join(errs...)
}
