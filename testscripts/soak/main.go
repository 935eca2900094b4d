// Command soak runs gateways as separate processes, injects faults from outside on a
// seeded schedule, and checks the gateway's guarantees against what clients and endpoints
// observe.
package main

import (
	"context"
	// For the embedded regression seeds.
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
	app := kingpin.New("soak", "Inject random faults into real gateways and check their guarantees.")
	seed := app.Flag("seed", "The first seed.").Default("1").Uint64()
	count := app.Flag("count", "Number of seeds, run one after the other.").Default("1").Int()
	faultDuration := app.Flag("for", "Duration of fault injection for each seed.").Default("30s").Duration()
	vms := app.Flag("vms", "VMs per region.").Default("2").Int()
	engines := app.Flag("engines", "Engines per region.").Default("2").Int()
	clients := app.Flag("clients", "Total number of clients.").Default("18").Int()
	regression := app.Flag("kept", "Run the regression seeds, which failed before, instead of --seed and --count.").Bool()
	crashing := app.Flag("crashing", "Send calls that crash the replicas running them, instead of random faults.").Bool()
	crashingParts := app.Flag("crashing-parts", "Send calls with a part of their prompts that crashes the replicas answering it, instead of random faults.").Bool()
	limited := app.Flag("limited", "Have replicas announce rate limits, before and during the random faults.").Bool()
	notices := app.Flag("notices", "Have replicas leave and refuse with a rest while the store is silent, before the random faults.").Bool()
	restores := app.Flag("restores", "Have the store come back from older copies, before the random faults.").Bool()
	retries := app.Flag("retries", "Have all replicas fail in two bursts with all VMs killed between, before the random faults.").Bool()
	streams := app.Flag("streams", "Have engines of several versions and VMs end while streams are under way, before the random faults.").Bool()
	versionJoins := app.Flag("version-joins", "Have engines of a later version join while half of the VMs stand still and streams break off, instead of random faults.").Bool()
	oddEntries := app.Flag("odd-entries", "Write odd entries among those of the engines, instead of random faults.").Bool()
	crashTogether := app.Flag("crash-together", "Have a quarter of the engines crash and return cold at once, before the random faults.").Bool()
	stops := app.Flag("stops", "Stop VMs in series that overlap, under clients that use connections until they end, instead of random faults.").Bool()
	overlapping := app.Flag("overlapping-stops", "As --stops, with calls that are sent to other regions and last as long as a stop.").Bool()
	onceLimit := app.Flag("once-limit", "The longest time of calls that may run once, with --overlapping-stops; 0 means up to their deadline.").Default("7s").Duration()
	lateRefusals := app.Flag("late-refusals", "Have replicas send refusals twice, before the random faults.").Bool()
	largeBodies := app.Flag("large-bodies", "Number of clients that send bodies of the largest size while their region is evacuated, before the random faults.").Int()
	endless := app.Flag("endless", "Have half of the engines send answers without end of this kind, instead of random faults.").Enum(append([]string{""}, endlessNames()...)...)
	endlessClients := app.Flag("endless-clients", "Number of clients that call only engines meanwhile.").Default("240").Int()
	memory := app.Flag("memory", "Memory of each VM in MB.").Default("284").Int()
	processingTime := app.Flag("processing-time", "How long replicas of the plain service take.").Default("10ms").Duration()
	versions := app.Flag("versions", "Number of software versions of engines side by side.").Default("2").Int()
	plotFile := app.Flag("plot", "Write an SVG plot of the last seed to this file.").String()
	logDir := app.Flag("keep", "Directory for the schedules and logs of failed seeds.").Default("soak-logs").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	seeds := seedRange(*seed, *count)
	if *regression {
		var err error
		seeds, err = regressionSeeds()
		app.FatalIfError(err, "read regression seeds")
	}
	failed, err := runSeeds(ctx, *logDir, seeds, Options{
		Regions:        3,
		VMs:            *vms,
		Engines:        *engines,
		Clients:        *clients,
		FaultDuration:  *faultDuration,
		Plot:           *plotFile,
		CrashingCalls:  *crashing,
		CrashingParts:  *crashingParts,
		EndpointLimits: *limited,

		EndpointNotices:  *notices,
		StoreRestores:    *restores,
		StreamVersions:   *streams,
		VersionJoins:     *versionJoins,
		OddEntries:       *oddEntries,
		RetryBursts:      *retries,
		LateRefusals:     *lateRefusals,
		CrashTogether:    *crashTogether,
		Stops:            *stops || *overlapping,
		OverlappingStops: *overlapping,
		OnceLimit:        *onceLimit,
		Versions:         *versions,
		LargeBodies:      *largeBodies,
		ProcessingTime:   *processingTime,
		MemoryMB:         *memory,
		EndlessAnswers:   *endless,
		EndlessClients:   *endlessClients,
	})
	stop()
	app.FatalIfError(err, "build gateway")
	if failed > 0 {
		fmt.Printf("%d seeds failed; schedules and logs are in %s\n", failed, *logDir)
		os.Exit(1)
	}
}

// runSeeds runs seeds one after the other and returns the number of failed ones.
func runSeeds(ctx context.Context, logDir string, seeds []regressionSeed, o Options) (failed int, err error) {
	o.Gateway, err = buildGateway()
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(filepath.Dir(o.Gateway)) }()
	for _, seed := range seeds {
		o.Seed = seed.Seed
		o.ExcludedFaults = seed.ExcludedFaults
		run := o
		if seed.OverlappingStops {
			run.Stops = true
			run.OverlappingStops = true
		}
		report, err := runSeed(ctx, logDir, run)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return failed + 1, nil
		}
		fmt.Printf("seed %d: %d requests, %.3f served, %d of %d resumed streams went on, faults %v, %d violations\n",
			report.Seed, report.Attempts, report.Served, report.GoneOn, report.Resumed, report.Faults, len(report.Violations))
		if run.Stops {
			fmt.Printf("  calls to stopping VMs: %+v\n", report.Stopping)
			for _, line := range report.Unread {
				fmt.Printf("  crossed the end of its connection: %s\n", line)
			}
		}
		if len(report.MostMemory) > 0 {
			fmt.Printf("  most memory in MB: %v\n", report.MostMemory)
		}
		for _, v := range report.Violations[:min(len(report.Violations), 10)] {
			fmt.Printf("  %s: %s\n", v.Check, v.Detail)
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	return failed, nil
}

// seedRange returns count consecutive seeds.
func seedRange(first uint64, count int) []regressionSeed {
	seeds := make([]regressionSeed, 0, count)
	for i := range count {
		seeds = append(seeds, regressionSeed{Seed: first + uint64(i)})
	}
	return seeds
}

// regressionSeed is a seed that failed before, with the cause.
type regressionSeed struct {
	Seed  uint64 `json:"seed"`
	Cause string `json:"cause"`
	// ExcludedFaults names faults added since the failure. Excluding them reproduces the
	// schedule that failed.
	ExcludedFaults []string `json:"without"`
	// OverlappingStops is set for a seed of stops that overlap instead of random faults.
	OverlappingStops bool `json:"overlapping_stops"`
}

//go:embed testdata/seeds.json
var regressionSeedData []byte

func regressionSeeds() ([]regressionSeed, error) {
	var seeds []regressionSeed
	err := json.Unmarshal(regressionSeedData, &seeds)
	return seeds, err
}

// buildGateway builds the gateway into a temporary directory and returns the binary's path.
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

// runSeed runs one seed and, if it fails, copies its schedule and logs to logDir.
func runSeed(ctx context.Context, logDir string, o Options) (*Report, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", o.Seed))
	if err != nil {
		return nil, err
	}
	schedule, err := os.Create(filepath.Join(dir, "schedule.log"))
	if err != nil {
		return nil, err
	}
	o.Dir = dir
	o.Schedule = schedule
	selected := scenario(runRandomFaults)
	switch {
	case o.CrashingCalls:
		selected = runCrashingCalls
	case o.CrashingParts:
		selected = runCrashingParts
	case o.EndpointLimits:
		selected = runEndpointLimits
	case o.EndpointNotices:
		selected = runEndpointNotices
	case o.Stops:
		selected = runStops
	case o.CrashTogether:
		selected = runCrashTogether
	case o.LateRefusals:
		selected = runLateRefusals
	case o.RetryBursts:
		selected = runRetryBursts
	case o.VersionJoins:
		selected = runVersionJoins
	case o.OddEntries:
		selected = runOddEntries
	case o.StreamVersions:
		selected = runStreamVersions
	case o.EndlessAnswers != "":
		selected = runEndlessAnswers
	case o.LargeBodies > 0:
		selected = runLargeBodies
	case o.StoreRestores:
		selected = runStoreRestores
	}
	report, err := selected.run(ctx, o)
	_ = schedule.Close()
	if err == nil && len(report.Violations) == 0 {
		return report, os.RemoveAll(dir)
	}
	failedDir := filepath.Join(logDir, fmt.Sprintf("seed-%d-%d", o.Seed, time.Now().Unix()))
	if mkdirErr := os.MkdirAll(logDir, 0o755); mkdirErr != nil {
		return report, mkdirErr
	}
	if copyErr := os.CopyFS(failedDir, os.DirFS(dir)); copyErr != nil {
		return report, copyErr
	}
	_ = os.RemoveAll(dir)
	return report, err
}
