package emulator

import (
	"fmt"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/origin"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/roster"
	"github.com/fuchsianotch/fuchsianotch/route"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const (
	// These values equal those of the gateway.
	gossipInterval      = 500 * time.Millisecond
	stepInterval        = 100 * time.Millisecond
	readerCheckInterval = 250 * time.Millisecond
	probeInterval       = 500 * time.Millisecond
	fastProbeInterval   = 150 * time.Millisecond
	storeReaders        = 2
	configFanout        = 2
	coldFanout          = 8
	// readTimeout is when a read of a silent store fails. readInterval approximates the
	// gateway's watch by polling.
	readTimeout  = 2500 * time.Millisecond
	readInterval = 100 * time.Millisecond
	storeLatency = 4 * time.Millisecond
	// probeAllDuration is how long it takes to probe all endpoints of a region.
	probeAllDuration = 5 * time.Millisecond
)

// vm simulates a gateway process, built from the tested packages.
type vm struct {
	world       *world
	member      fleet.VM
	up          bool
	frozen      bool
	incarnation uint64
	startedAt   time.Time
	// totalFrozen is how long the VM was frozen since it started.
	totalFrozen time.Duration
	// pending holds the tasks to run when a frozen VM resumes.
	pending []func()
	// disturbedAt is when a fault last affected the VM.
	disturbedAt time.Time

	roster    *roster.Roster
	mirror    *discovery.Mirror
	discovery *discovery.State
	// cachedSnapshot caches the roster's picture; nil if it may be outdated.
	cachedSnapshot *roster.Snapshot
	pool           *routing.Pool
	retryBudget    retry.Allowance
	crashTracker   *crashTracker
	throttle       *throttle.Throttle
	// probedAt is when this VM last probed each engine for its health.
	probedAt map[string]time.Time
	origins  *origin.Register
	// servingVersions are those of the endpoints that accepted calls last, by id.
	servingVersions map[string]string
	// firstPosition is that of the first contents of the store, read at firstReadAt.
	firstPosition discovery.Position
	firstReadAt   time.Time
	historyRead   bool
	runGrants     *retry.RunGrants
	needsFullRead bool
	// readInFlight is set while a read of the store is in flight.
	readInFlight bool
	// nextReadCheck is when the VM next checks whether it is a store reader.
	nextReadCheck time.Time
	// endpointsDueAt is when the endpoints change by timeout; endpointsChanged is set if
	// they have changed otherwise.
	endpointsDueAt   time.Time
	endpointsChanged bool
	// resuming is whether the roster was recovering from a pause at the last step.
	resuming bool
	// peerTable is the last route table received from a peer.
	peerTable *route.Table
}

func newVM(w *world, region, number int) *vm {
	id := fmt.Sprintf("r%d-%d", region, number)
	return &vm{
		world: w,
		member: fleet.VM{
			ID:       id,
			Region:   regionName(region),
			PeerAddr: "peer-" + id,
			State:    fleet.StateLive,
		},
	}
}

func (v *vm) start() {
	if v.up {
		return
	}
	w := v.world
	w.lastIncarnation++
	v.incarnation = w.lastIncarnation
	v.up = true
	v.frozen = false
	v.pending = nil
	v.needsFullRead = true
	v.readInFlight = false
	v.peerTable = nil
	v.startedAt = w.clock.now
	v.totalFrozen = 0
	v.markDisturbed()
	v.roster = roster.New(roster.Options{
		Self:        v.member,
		Incarnation: v.incarnation,
		Seeds:       w.seeds(),
		Every:       gossipInterval,
		Rand:        w.rand.Uint64,
	})
	v.mirror = discovery.NewMirror()
	v.discovery = discovery.New(discovery.Options{
		Grace: reregistrationTime,
	})
	v.pool = routing.New(routing.Options{
		Rand: w.rand.Uint64,
	})
	v.cachedSnapshot = nil
	v.nextReadCheck = time.Time{}
	v.endpointsDueAt = time.Time{}
	v.endpointsChanged = true
	v.resuming = false
	v.retryBudget = v.newRetryBudget()
	v.crashTracker = newCrashTracker(v)
	v.throttle = v.newThrottle()
	v.probedAt = make(map[string]time.Time)
	v.origins = origin.NewRegister()
	v.servingVersions = nil
	v.firstPosition, v.historyRead = discovery.Position{}, false
	v.runGrants = retry.NewRunGrants()
	incarnation := v.incarnation
	w.after(0, func() { v.step(incarnation) })
	w.after(w.randomDuration(0, probeInterval), func() { v.probeHealth(incarnation) })
	w.after(0, v.crashTracker.run)
}

func (w *world) seeds() []string {
	var out []string
	for _, v := range w.vms {
		if v.member.ID == v.member.Region+"-0" {
			out = append(out, v.member.PeerAddr)
		}
	}
	return out
}

// markDisturbed records that a fault affects the VM now.
func (v *vm) markDisturbed() {
	v.disturbedAt = v.world.clock.now
}

// now returns the time of the VM's own clock.
func (v *vm) now() time.Time {
	if v.world.defect == ClockStopsWhileFrozen {
		return v.world.clock.now.Add(-v.totalFrozen)
	}
	return v.world.clock.now
}

// running reports whether the given incarnation of the VM is running.
func (v *vm) running(incarnation uint64) bool {
	return v.up && v.incarnation == incarnation && !v.frozen
}

// run runs a task now, or when a frozen VM resumes, unless the incarnation has ended.
func (v *vm) run(incarnation uint64, task func()) {
	switch {
	case !v.up || v.incarnation != incarnation:
	case v.frozen:
		v.pending = append(v.pending, func() { v.run(incarnation, task) })
	default:
		task()
	}
}

func (v *vm) kill(duration time.Duration) {
	v.up = false
	v.markDisturbed()
	v.world.ledger.recordLostVM(v)
	v.world.after(duration, v.start)
}

func (v *vm) freeze(duration time.Duration) {
	if !v.up || v.frozen {
		return
	}
	v.frozen = true
	v.markDisturbed()
	incarnation := v.incarnation
	v.world.after(duration, func() {
		if !v.up || v.incarnation != incarnation {
			return
		}
		v.frozen = false
		v.totalFrozen += duration
		v.markDisturbed()
		pending := v.pending
		v.pending = nil
		for _, task := range pending {
			task()
		}
	})
}

// step is one iteration of the control loop.
func (v *vm) step(incarnation uint64) {
	v.run(incarnation, func() {
		now := v.now()
		targets := v.roster.Step(now)
		v.cachedSnapshot = nil
		v.probeAfterPause(incarnation)
		v.gossipTo(targets)
		v.applyState()
		v.readStore()
		v.world.after(stepInterval, func() { v.step(incarnation) })
	})
}

// applyState passes the current state on to request handling.
func (v *vm) applyState() {
	now := v.now()
	v.roster.SetReady(v.discovery.Table() != nil)
	due := !v.endpointsDueAt.IsZero() && !now.Before(v.endpointsDueAt)
	if !v.endpointsChanged && !due {
		return
	}
	v.endpointsChanged = false
	v.discovery.Advance(now)
	v.endpointsDueAt = v.discovery.NextChange()
	v.pool.SetVMs(v.throttleRegion().Known)
	v.pool.SetEndpoints(v.endpoints(), now)
	v.observeVersions()
}

// snapshot returns the roster's current picture.
func (v *vm) snapshot() *roster.Snapshot {
	if v.cachedSnapshot == nil {
		v.cachedSnapshot = v.roster.Snapshot()
	}
	return v.cachedSnapshot
}

// endpoints returns the endpoints of the own region that accept requests.
func (v *vm) endpoints() []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range v.discovery.Endpoints(v.now()) {
		cold := !e.ColdUntil.IsZero() && v.world.defect != RouteToCold
		if e.Region == v.member.Region && !cold {
			out = append(out, e.Endpoint)
		}
	}
	return out
}

// directory returns the VMs that callers of the own region may use.
func (v *vm) directory() []*vm {
	var out []*vm
	for _, other := range v.world.vms {
		if v.lists(other) {
			out = append(out, other)
		}
	}
	return out
}

// table returns the route table that requests are handled with.
func (v *vm) table() *route.Table {
	if v.world.defect == UsePeerTable && v.peerTable != nil {
		return v.peerTable
	}
	return v.discovery.Table()
}

func (v *vm) lists(other *vm) bool {
	if v.world.defect == ListDeadVMs {
		return other.member.Region == v.member.Region
	}
	for _, m := range v.snapshot().Members {
		if m.VM.ID == other.member.ID {
			return m.Reachable && m.Ready && m.VM.Region == v.member.Region
		}
	}
	return false
}
