// Command ablate switches the mechanisms of the platform's decisions off, one by
// one, has the users' program play the standard days, and prints a table of
// what each mechanism is worth. It plays copies of the working tree, of which
// only the setting "without" differs.
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
	app := kingpin.New("ablate", "Measure what each mechanism is worth.")
	o := options{}
	app.Flag("bench", "The users' program that plays days.").Required().ExistingFileVar(&o.bench)
	app.Flag("site", "A users' file of a deployment; may be repeated.").Required().ExistingFilesVar(&o.sites)
	app.Flag("plays", "How often each deployment is played.").Default("3").IntVar(&o.plays)
	app.Flag("at-once", "How many variants are played side by side.").Default("2").IntVar(&o.atOnce)
	app.Flag("jobs", "Processors for each of them.").Default("4").IntVar(&o.jobs)
	app.Flag("work", "A directory for the copies; their journals stay there.").Required().ExistingDirVar(&o.work)
	app.Arg("mechanism", "Mechanisms; all by default.").EnumsVar(&o.mechanisms, settings.Mechanisms...)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if len(o.mechanisms) == 0 {
		o.mechanisms = settings.Mechanisms
	}
	rows, err := o.measure(context.Background())
	var out strings.Builder
	printTable(&out, o.sites, rows)
	fmt.Print(out.String())
	if err != nil {
		fmt.Fprintln(os.Stderr, "ablate:", err)
		os.Exit(1)
	}
}

// options are what is measured and how.
type options struct {
	bench      string
	sites      []string
	plays      int
	atOnce     int
	jobs       int
	work       string
	mechanisms []string
}

// allOn names the row without anything switched off.
const allOn = "(all on)"

// measure plays all variants, so many at once.
func (o options) measure(ctx context.Context) ([]row, error) {
	names := append([]string{allOn}, o.mechanisms...)
	rows := make([]row, len(names))
	errs := make([]error, len(names))
	places := make(chan struct{}, max(o.atOnce, 1))
	var all sync.WaitGroup
	for i, name := range names {
		all.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			rows[i], errs[i] = o.playVariant(ctx, name)
		})
	}
	all.Wait()
	return rows, errors.Join(errs...)
}
