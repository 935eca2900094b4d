// Package emulator is a deterministic simulation of a small fleet. It runs roster,
// discovery, routing and retry in virtual time, injects random faults and checks
// invariants on what callers and endpoints observe. Equal seeds give equal runs.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Defect selects a bug that is built into the simulated fleet, to show that a check
// detects it.
type Defect string

// The available defects. NoDefect is the zero value.
const (
	NoDefect             Defect = ""
	RetryNonIdempotent   Defect = "repeat_unsafe"
	ForgetUnknownOutcome Defect = "forget_uncertain"
	RouteToCold          Defect = "serve_cold"
	UnsharedRetryBudget  Defect = "whole_budget"
	// LocalRetryWindows bounds the retries of each VM by the requests of its own last window.
	LocalRetryWindows Defect = "local_windows"
	UsePeerTable      Defect = "take_older"
	ListDeadVMs       Defect = "name_dead"
	IgnoreHomeRegions Defect = "ignore_homes"
	UnboundedRuns     Defect = "unbounded_runs"
	IgnoreEvacuation  Defect = "ignore_evacuation"
	IgnoreDraining    Defect = "ignore_leaving"
	TrustStaleState   Defect = "trust_old"
	// ClockStopsWhileFrozen uses a clock that stops while the VM is frozen.
	ClockStopsWhileFrozen Defect = "steady_clock"
	IgnoreQuarantine      Defect = "forget_crashes"
	SkipCrashReports      Defect = "tell_no_crashes"
	// IgnoreParts attributes crashes to the contents of requests only.
	IgnoreParts Defect = "ignore_parts"
	// IgnoreAnswers counts crashes under parts whether requests with them are answered or not,
	// and SkipAnswerReports counts only answers that the VMs know which report crashes.
	IgnoreAnswers     Defect = "ignore_answers"
	SkipAnswerReports Defect = "tell_no_answers"
	// IgnoreLaterCrash counts answers at once, though their endpoints may still crash of them.
	IgnoreLaterCrash Defect = "ignore_later_crash"
	// IgnoreCompany weighs each subject as if no other were in its crashes.
	IgnoreCompany Defect = "ignore_company"
	// TakeCrashAsAnswer takes the end of a crashed endpoint's connection for that of an answer.
	TakeCrashAsAnswer Defect = "crash_as_answer"
	IgnoreLimits      Defect = "ignore_limits"
	// EnforceLimitsLocally makes each VM enforce limits without the others.
	EnforceLimitsLocally Defect = "limits_alone"
	// IgnoreLeavingNotices trusts the store alone on whether an endpoint leaves.
	IgnoreLeavingNotices Defect = "ignore_leaving_answers"
	IgnoreRests          Defect = "ignore_rests"
	// IgnoreEras compares revisions of different eras of the store.
	IgnoreEras Defect = "ignore_eras"
	// IgnoreVersions resumes streams at any software version.
	IgnoreVersions Defect = "ignore_versions"
	// KeepOriginsLocally sends no copies of the origins of streams.
	KeepOriginsLocally Defect = "keep_origins_locally"
	// TrustRefusals takes any refusal for the answer to the request that it follows.
	TrustRefusals Defect = "trust_refusals"
	// GiveUpUnreached tries no other endpoint after one that was not reached.
	GiveUpUnreached Defect = "give_up_unreached"
)

// Options configures one run.
type Options struct {
	Seed   uint64
	Defect Defect
	// Duration is the virtual time during which requests are sent and faults are injected.
	Duration time.Duration
	// CrashingCalls adds calls that crash endpoints, without changing the other random
	// choices of a seed.
	CrashingCalls CrashingCalls
	// CrashingParts adds prompts to all requests, and parts of them that crash endpoints.
	CrashingParts CrashingParts
	// EngineLimits adds engines with rate limits, without changing the other random
	// choices of a seed.
	EngineLimits EngineLimits
	// EngineNotices adds engines that say that they leave or rest, without changing the
	// other random choices of a seed.
	EngineNotices EngineNotices
	// StoreRestores adds restores of the store from older copies, without changing the other
	// random choices of a seed.
	StoreRestores StoreRestores
	// RandomFaults overrides the number of random faults and the time in which they begin.
	RandomFaults RandomFaults
	// PlannedFaults adds faults at fixed times, without changing the other random choices of
	// a seed.
	PlannedFaults PlannedFaults
	// Streams adds streams, without changing the other random choices of a seed.
	Streams Streams
}

// Report is the result of one run.
type Report struct {
	Seed     uint64
	Requests int
	Answered int
	// Served counts the requests that were answered with success.
	Served int
	Runs   int
	// Retries counts the arrivals at endpoints beyond the first of each request.
	Retries int
	// RunOverruns counts the runs of requests on more endpoints than their routes allow.
	RunOverruns int
	// Failures counts the arrivals that were refused or got no good answer.
	Failures int
	Faults   int
	// EndpointCrashes counts the endpoints that were crashed by calls.
	EndpointCrashes int
	// CallerRetries counts the interrupted requests that their callers sent again, and
	// FalseQuarantines the harmless requests that were quarantined.
	CallerRetries    int
	FalseQuarantines int
	// CrashNotes counts the notes of crashes, verdicts and answers between VMs.
	CrashNotes int
	// LimitedRequests counts the requests that reached engines with a limit, and
	// AllowedRequests those that the limits allowed.
	LimitedRequests int
	AllowedRequests float64
	// Streams counts the streams, ResumedStreams the requests of callers to resume one at
	// converged VMs while its version served, and StreamsGoneOn those that brought an event.
	Streams        int
	ResumedStreams int
	// DeducedStreams counts those whose version followed from what engines have read.
	DeducedStreams int
	StreamsGoneOn  int
	// Events is the number of events that were processed.
	Events     int
	Violations []Violation
}

// Violation is a failed check.
type Violation struct {
	Check   Check
	At      time.Duration
	Message string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Check, v.At.Seconds(), v.Message)
}

// settleDuration extends a run beyond the last request by the longest deadline plus
// the time that a region needs to recover.
const settleDuration = 12 * time.Second

// Run simulates one seed.
func Run(o Options) Report {
	w := newWorld(o)
	w.start()
	if !slices.ContainsFunc(o.conditions(), func(c Conditions) bool { return c.NoFaults }) {
		w.injectFaults(o.RandomFaults)
	}
	w.scheduleRequests()
	w.scheduleCrashingCalls(o.CrashingCalls)
	w.scheduleCrashingParts()
	w.scheduleLimits(o.EngineLimits)
	w.scheduleNotices(o.EngineNotices)
	w.scheduleRestores(o.StoreRestores)
	w.schedulePlannedFaults(o.PlannedFaults)
	w.scheduleStreams()
	w.clock.run(w.end.Add(settleDuration))
	w.ledger.checkStreams()
	w.ledger.checkSoundParts()
	return Report{
		Seed:             o.Seed,
		Requests:         len(w.ledger.requests),
		Answered:         w.ledger.answered,
		Served:           w.ledger.served,
		Runs:             w.ledger.runs,
		Retries:          len(w.ledger.retryArrivals),
		RunOverruns:      w.ledger.runOverruns,
		Failures:         w.ledger.failures,
		Faults:           w.injectedFaults,
		Events:           w.clock.events,
		EndpointCrashes:  w.ledger.totalCrashes(),
		CallerRetries:    w.ledger.callerRetries,
		FalseQuarantines: w.ledger.falseQuarantines,
		CrashNotes:       w.ledger.crashNotes,
		LimitedRequests:  w.ledger.limitedRequests,
		AllowedRequests:  w.allowedRequests,
		Streams:          len(w.streams.all),
		ResumedStreams:   w.streams.resumed,
		DeducedStreams:   w.streams.deduced,
		StreamsGoneOn:    w.streams.resumedOn,
		Violations:       w.ledger.violations,
	}
}

// world holds one simulated fleet with its callers, store and endpoints.
type world struct {
	defect          Defect
	rand            *rand.Rand
	clock           *clock
	network         *network
	store           *store
	engines         []*engine
	vms             []*vm
	ledger          *ledger
	topology        topology
	end             time.Time
	injectedFaults  int
	lastIncarnation uint64
	lastID          int
	parts           CrashingParts
	// crashRand is the source of randomness for crashing calls and parts.
	crashRand *rand.Rand
	// allowedRequests is how many requests the engines' limits allowed so far.
	allowedRequests float64
	streams         streamState
	// maxCallerRetries is how often a caller retries an interrupted request.
	maxCallerRetries int
	// callersTo are the numbers of the VMs of each region that callers send to; empty for
	// those that the directory lists.
	callersTo []int
}

func newWorld(o Options) *world {
	begin := time.Unix(1e9, 0)
	w := &world{
		defect:    o.Defect,
		rand:      rand.New(rand.NewPCG(o.Seed, randStream)),
		crashRand: rand.New(rand.NewPCG(o.Seed, crashRandStream)),
		clock:     newClock(begin),
		end:       begin.Add(o.Duration),
		parts:     o.CrashingParts,
		streams: streamState{
			Streams: o.Streams,
			rand:    rand.New(rand.NewPCG(o.Seed, streamRandStream)),
		},
	}
	w.topology = topology{
		regions:           2 + w.rand.IntN(2),
		vmsPerRegion:      1 + w.rand.IntN(3),
		enginesPerRegion:  2 + w.rand.IntN(2),
		requestsPerSecond: minRequestsPerSecond + w.rand.Float64()*(maxRequestsPerSecond-minRequestsPerSecond),
		homeRegions:       w.rand.IntN(2) == 0,
	}
	for _, c := range o.conditions() {
		c.override(&w.topology)
	}
	w.maxCallerRetries = max(o.CrashingCalls.CallerRetries, o.CrashingParts.CallerRetries)
	w.network = newNetwork(w)
	w.ledger = newLedger(w)
	w.store = newStore(w)
	for r := range w.topology.regions {
		for range w.topology.enginesPerRegion {
			w.addEngine(regionName(r))
		}
		for i := range w.topology.vmsPerRegion {
			w.vms = append(w.vms, newVM(w, r, i))
		}
	}
	return w
}

const (
	// randStream and crashRandStream separate the random streams of one seed.
	randStream      = 7
	crashRandStream = 11
	// The request rate, over all regions, is low enough that a cold endpoint stays below
	// maxColdRequests until the fleet knows that it is cold.
	minRequestsPerSecond = 4
	maxRequestsPerSecond = 10
	// maxStartDelay is the time within which the processes start.
	maxStartDelay = 300 * time.Millisecond
	// warmup precedes the first request and the first fault.
	warmup = 5 * time.Second
)

func (w *world) start() {
	w.store.publishConfig()
	for _, v := range w.vms {
		w.after(w.randomDuration(0, maxStartDelay), v.start)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.clock.at(w.clock.now.Add(d), do)
}

func (w *world) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(w.rand.Int64N(int64(longest-shortest)+1))
}

func regionName(i int) string {
	return fmt.Sprintf("r%d", i)
}
