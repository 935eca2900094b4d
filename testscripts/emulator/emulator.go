// Package emulator runs the packages that decide (roster, discovery, routing,
// retry) on a small fleet in virtual time, through random faults drawn from a
// seed, and checks what must hold from what callers and endpoints see. The
// same seed always gives the same run.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault names a deliberate mistake in the fleet's use of its decisions. Each
// shows that a check can fail.
type Fault string

// The deliberate mistakes; NoFault is none.
const (
	NoFault          Fault = ""
	RepeatUnsafe     Fault = "repeat_unsafe"
	ForgetUncertain  Fault = "forget_uncertain"
	ServeCold        Fault = "serve_cold"
	WholeBudget      Fault = "whole_budget"
	TakeOlder        Fault = "take_older"
	NameDead         Fault = "name_dead"
	IgnoreHomes      Fault = "ignore_homes"
	UnboundedRuns    Fault = "unbounded_runs"
	IgnoreEvacuation Fault = "ignore_evacuation"
	IgnoreLeaving    Fault = "ignore_leaving"
	TrustOld         Fault = "trust_old"
	// SteadyClock decides by a clock that stands still while the VM does.
	SteadyClock   Fault = "steady_clock"
	ForgetCrashes Fault = "forget_crashes"
	TellNoCrashes Fault = "tell_no_crashes"
	IgnoreLimits  Fault = "ignore_limits"
	// LimitsAlone has each VM keep to limits by itself.
	LimitsAlone Fault = "limits_alone"
)

// Options are one run.
type Options struct {
	Seed  uint64
	Fault Fault
	// For is the virtual time in which requests come and faults are injected.
	For time.Duration
	// Crashing are calls that crash the endpoints which run them; they change nothing
	// that a seed draws otherwise.
	Crashing Crashing
	// Limiting are engines that name limits; they change nothing that a seed draws
	// otherwise.
	Limiting Limiting
}

// Report is what became of a run.
type Report struct {
	Seed     uint64
	Requests int
	Answered int
	Runs     int
	Faults   int
	// Crashed counts the endpoints that calls have crashed.
	Crashed int
	// Repeated counts requests that were sent again as they broke off, Wronged those that
	// were held although they crash nothing.
	Repeated int
	Wronged  int
	// Limited counts what reached engines while they named limits, and Allowed what these
	// allowed.
	Limited int
	Allowed float64
	// Steps are the events that were handled.
	Steps      int
	Violations []Violation
}

// Violation is something that must not happen.
type Violation struct {
	Check Check
	At    time.Duration
	Text  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", v.Check, v.At.Seconds(), v.Text)
}

// settleFor is how long a run goes on after the last request: the longest
// deadline and the time that a region takes to recover.
const settleFor = 12 * time.Second

// Run plays one seed.
func Run(o Options) Report {
	w := newWorld(o)
	w.start()
	if !o.Crashing.Calm && !o.Limiting.Calm {
		w.injectFaults()
	}
	w.sendRequests()
	w.sendCrashing(o.Crashing)
	w.nameLimits(o.Limiting)
	w.clock.run(w.end.Add(settleFor))
	return Report{
		Seed:       o.Seed,
		Requests:   len(w.ledger.requests),
		Answered:   w.ledger.answered,
		Runs:       w.ledger.runs,
		Faults:     w.faults,
		Steps:      w.clock.steps,
		Crashed:    w.ledger.crashedInAll(),
		Repeated:   w.ledger.repeated,
		Wronged:    w.ledger.heldWrongly,
		Limited:    w.ledger.limited,
		Allowed:    w.allowed,
		Violations: w.ledger.violations,
	}
}

// world is one fleet with its callers, store and endpoints.
type world struct {
	fault   Fault
	rand    *rand.Rand
	clock   *clock
	network *network
	store   *store
	engines []*engine
	vms     []*vm
	ledger  *ledger
	shape   shape
	end     time.Time
	faults  int
	lives   uint64
	serial  int
	// crashDraws are the draws of the crashing calls.
	crashDraws *rand.Rand
	// allowed is how many requests the limits that engines named have allowed.
	allowed float64
	// repeats is how often a caller sends a request again that broke off.
	repeats int
}

// shape is what the seed draws for the deployment.
type shape struct {
	regions   int
	perRegion int
	engines   int
	perSecond float64
	homes     bool
}

func newWorld(o Options) *world {
	begin := time.Unix(1e9, 0)
	w := &world{
		fault:      o.Fault,
		rand:       rand.New(rand.NewPCG(o.Seed, seedStream)),
		crashDraws: rand.New(rand.NewPCG(o.Seed, crashStream)),
		clock:      newClock(begin),
		end:        begin.Add(o.For),
	}
	w.shape = shape{
		regions:   2 + w.rand.IntN(2),
		perRegion: 1 + w.rand.IntN(3),
		engines:   2 + w.rand.IntN(2),
		perSecond: leastRequests + w.rand.Float64()*(mostRequests-leastRequests),
		homes:     w.rand.IntN(2) == 0,
	}
	o.Crashing.shape(&w.shape)
	o.Limiting.shape(&w.shape)
	w.repeats = o.Crashing.Repeats
	w.network = newNetwork(w)
	w.ledger = newLedger(w)
	w.store = newStore(w)
	for r := range w.shape.regions {
		for range w.shape.engines {
			w.addEngine(regionName(r))
		}
		for i := range w.shape.perRegion {
			w.vms = append(w.vms, newVM(w, r, i))
		}
	}
	return w
}

const (
	// seedStream separates these draws from those of other users of a seed.
	seedStream  = 7
	crashStream = 11
	// leastRequests and mostRequests a second over all regions keep a cold
	// endpoint's part of them, until it is known to be cold, below its bound.
	leastRequests = 4
	mostRequests  = 10
	// startWithin is the time within which the processes start.
	startWithin = 300 * time.Millisecond
	// quietStart is the time without requests and faults at the beginning.
	quietStart = 5 * time.Second
)

func (w *world) start() {
	w.store.publish()
	for _, v := range w.vms {
		w.after(w.between(0, startWithin), v.start)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.clock.at(w.clock.now.Add(d), do)
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rand.Int64N(int64(most-least)+1))
}

func regionName(i int) string {
	return fmt.Sprintf("r%d", i)
}
