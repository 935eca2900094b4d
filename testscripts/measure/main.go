// Command measure runs the decisions against their named baselines on whole
// deployments of processes, interleaved and over several seeds, and writes the
// records with a table of medians and spreads.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// bench is what every experiment shares.
type bench struct {
	bin   string
	out   string
	seeds int
	sizes []int
	// only limits an experiment to the variants that contain it.
	only string
	// rest is how long a deployment rests before its idle figures are taken.
	rest time.Duration
}

// experiment measures one kind of decision and gives its report.
type experiment struct {
	name string
	help string
	run  func(*bench, context.Context, *report) error
}

func experiments() []experiment {
	return []experiment{
		{
			name: "overhead",
			help: "Time and processor time that the gateway adds to a direct call.",
			run:  (*bench).overhead,
		},
		{
			name: "routing",
			help: "Choice of endpoints, with a slow, a silent and a lying one.",
			run:  (*bench).routing,
		},
		{
			name: "admission",
			help: "Urgent calls under heavy reports.",
			run:  (*bench).admission,
		},
		{
			name: "goodput",
			help: "Goodput at 100 and 200% load, with retries.",
			run:  (*bench).goodput,
		},
		{
			name: "regions",
			help: "A region loses half, then all its endpoints.",
			run:  (*bench).regions,
		},
		{
			name: "limits",
			help: "Admitted over contract under skewed entry.",
			run:  (*bench).limits,
		},
		{
			name: "entry",
			help: "Loss of an entry VM.",
			run:  (*bench).entry,
		},
		{
			name: "spread",
			help: "Spread of a change of configuration, and the cost of idle control.",
			run:  (*bench).spread,
		},
		{
			name: "workspaces",
			help: "Memory and processor time against the number of workspaces.",
			run:  (*bench).workspaces,
		},
		{
			name: "front",
			help: "Processor time of calls by their tokens, and of a forward.",
			run:  (*bench).front,
		},
		{
			name: "fit",
			help: "Project the spread measurement to a larger fleet.",
			run:  (*bench).fit,
		},
		{
			name: "days",
			help: "Both users' mixes over a compressed day with peaks at other hours.",
			run:  (*bench).days,
		},
	}
}

func main() {
	app := kingpin.New("measure", "Measure the decisions against their baselines.")
	b := &bench{}
	app.Flag("bin", "Folder of the built binaries.").Required().StringVar(&b.bin)
	app.Flag("out", "Folder for records and tables.").Default("docs/measurements").StringVar(&b.out)
	app.Flag("seeds", "Number of seeds.").Default("3").IntVar(&b.seeds)
	app.Flag("size", "Number of VMs of a deployment; repeatable.").IntsVar(&b.sizes)
	app.Flag("rest", "How long a deployment rests before its idle figures are taken.").Default(warmIdleFor.String()).DurationVar(&b.rest)
	app.Flag("only", "Run only the loads, entries or losses whose name contains this text.").StringVar(&b.only)
	for _, e := range experiments() {
		app.Command(e.name, e.help).Action(func(*kingpin.ParseContext) error {
			return b.measure(context.Background(), e)
		})
	}
	_, err := app.Parse(os.Args[1:])
	app.FatalIfError(err, "")
}

// skips reports whether the run is limited to other variants.
func (b *bench) skips(name string) bool {
	return !strings.Contains(name, b.only)
}

// file is where an experiment's report goes; a limited run has its own.
func (b *bench) file(experiment string) string {
	if b.only != "" {
		experiment += "-" + strings.ReplaceAll(strings.ReplaceAll(b.only, " ", "-"), "%", "")
	}
	if b.rest != warmIdleFor {
		experiment += "-after-" + b.rest.String()
	}
	return filepath.Join(b.out, experiment)
}

// measure runs one experiment and writes its report, also a partial one.
func (b *bench) measure(ctx context.Context, e experiment) error {
	r := newReport(e, "go run ./testscripts/measure --bin BIN "+strings.Join(flagsOf(os.Args[1:]), " "))
	err := e.run(b, ctx, r)
	if err != nil {
		r.note("The run ended early: %v", err)
	}
	if writeErr := r.write(b.file(e.name)); writeErr != nil {
		return writeErr
	}
	return err
}

// flagsOf leaves out the folders, which differ from machine to machine.
func flagsOf(args []string) []string {
	var out []string
	for i := 0; i < len(args); i++ {
		if args[i] == "--bin" || args[i] == "--out" {
			i++
			continue
		}
		out = append(out, args[i])
	}
	return out
}

// machine describes where and beside what the run was made.
func machine() string {
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		load = []byte("unknown")
	}
	fields := strings.Fields(string(load))
	return fmt.Sprintf("%d processors, load average over one minute %s, %s", runtime.NumCPU(), fields[0], runtime.Version())
}
