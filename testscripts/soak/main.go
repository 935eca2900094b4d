// Command soak runs the real gateways as separate processes, injects faults
// from outside them by a seeded schedule, and checks the promises from what
// clients and endpoints see. It ends only the processes that it started.
package main

import (
	"context"
	// The seeds that ever failed are part of the program.
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("soak", "Play random faults against real gateways and check the promises.")
	seed := app.Flag("seed", "The first seed.").Default("1").Uint64()
	count := app.Flag("count", "How many seeds, one after the other.").Default("1").Int()
	long := app.Flag("for", "How long faults are injected for each seed.").Default("30s").Duration()
	vms := app.Flag("vms", "VMs in each region.").Default("2").Int()
	engines := app.Flag("engines", "Engines in each region.").Default("2").Int()
	clients := app.Flag("clients", "Clients in all.").Default("18").Int()
	kept := app.Flag("kept", "Play the seeds that ever failed in place of --seed and --count.").Bool()
	crashing := app.Flag("crashing", "Send calls that crash the replicas which run them in place of random faults.").Bool()
	limited := app.Flag("limited", "Let replicas name limits, before the random faults and while they last.").Bool()
	plotFile := app.Flag("plot", "File for an SVG of the last seed.").String()
	keep := app.Flag("keep", "Folder for the logs of seeds that fail.").Default("soak-logs").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	seeds := seedsFrom(*seed, *count)
	if *kept {
		var err error
		seeds, err = keptSeeds()
		app.FatalIfError(err, "kept seeds")
	}
	failed, err := playAll(ctx, *keep, seeds, Options{
		Regions:  3,
		VMs:      *vms,
		Engines:  *engines,
		Clients:  *clients,
		For:      *long,
		Plot:     *plotFile,
		Crashing: *crashing,
		Limited:  *limited,
	})
	stop()
	app.FatalIfError(err, "build")
	if failed > 0 {
		fmt.Printf("%d seeds failed; schedules and logs are in %s\n", failed, *keep)
		os.Exit(1)
	}
}

// playAll plays seeds one after the other and gives how many failed.
func playAll(ctx context.Context, keep string, seeds []keptSeed, o Options) (failed int, err error) {
	o.Gateway, err = buildGateway()
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(filepath.Dir(o.Gateway)) }()
	for _, seed := range seeds {
		o.Seed = seed.Seed
		o.Without = seed.Without
		report, err := playSeed(ctx, keep, o)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return failed + 1, nil
		}
		fmt.Printf("seed %d: %d requests, %.3f served, faults %v, %d violations\n",
			report.Seed, report.Attempts, report.Served, report.Faults, len(report.Violations))
		for _, v := range report.Violations[:min(len(report.Violations), 10)] {
			fmt.Printf("  %s: %s\n", v.Check, v.Detail)
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	return failed, nil
}

func seedsFrom(first uint64, count int) []keptSeed {
	seeds := make([]keptSeed, 0, count)
	for i := range count {
		seeds = append(seeds, keptSeed{Seed: first + uint64(i)})
	}
	return seeds
}

// keptSeed is a seed that once failed, with its cause.
type keptSeed struct {
	Seed  uint64 `json:"seed"`
	Cause string `json:"cause"`
	// Without names faults that there were not when it failed, so that its schedule
	// stays the same.
	Without []string `json:"without"`
}

//go:embed testdata/seeds.json
var keptData []byte

func keptSeeds() ([]keptSeed, error) {
	var kept []keptSeed
	err := json.Unmarshal(keptData, &kept)
	return kept, err
}

// buildGateway builds the program under test into a folder of its own.
func buildGateway() (string, error) {
	dir, err := os.MkdirTemp("", "fuchsianotch-soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "gateway")
	out, err := exec.Command("go", "build", "-o", path, "github.com/fuchsianotch/fuchsianotch/gateway").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return path, nil
}

// playSeed plays one seed and keeps its schedule and logs if it fails.
func playSeed(ctx context.Context, keep string, o Options) (*Report, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", o.Seed))
	if err != nil {
		return nil, err
	}
	schedule, err := os.Create(filepath.Join(dir, "schedule.log"))
	if err != nil {
		return nil, err
	}
	o.Dir = dir
	o.Out = schedule
	played := play(playFaults)
	switch {
	case o.Crashing:
		played = playCrashing
	case o.Limited:
		played = playLimited
	}
	report, err := played.run(ctx, o)
	_ = schedule.Close()
	if err == nil && len(report.Violations) == 0 {
		return report, os.RemoveAll(dir)
	}
	kept := filepath.Join(keep, fmt.Sprintf("seed-%d-%d", o.Seed, time.Now().Unix()))
	if keepErr := os.MkdirAll(keep, 0o755); keepErr != nil {
		return report, keepErr
	}
	if copyErr := os.CopyFS(kept, os.DirFS(dir)); copyErr != nil {
		return report, copyErr
	}
	_ = os.RemoveAll(dir)
	return report, err
}
