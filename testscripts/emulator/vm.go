package emulator

import (
	"fmt"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/roster"
	"github.com/fuchsianotch/fuchsianotch/route"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const (
	// The intervals and bounds below are those of the gateway.
	gossipEvery = 500 * time.Millisecond
	stepEvery   = 100 * time.Millisecond
	dutyEvery   = 250 * time.Millisecond
	healthEvery = 500 * time.Millisecond
	coldEvery   = 150 * time.Millisecond
	readers     = 2
	spreadTo    = 2
	coldTellTo  = 8
	// watchFor is how long a silent store goes unnoticed; readEvery stands in for
	// the answers of a watch.
	watchFor   = 2500 * time.Millisecond
	readEvery  = 100 * time.Millisecond
	storeTakes = 4 * time.Millisecond
	// askAllTakes is how long it takes to ask all endpoints of a region.
	askAllTakes = 5 * time.Millisecond
)

// vm is one gateway, put together from the packages that decide.
type vm struct {
	world     *world
	vm        fleet.VM
	up        bool
	frozen    bool
	life      uint64
	startedAt time.Time
	// suspended is how long the VM stood still since it started.
	suspended time.Duration
	// waiting is what a frozen VM takes when it wakes.
	waiting []func()
	// disturbedAt is when the VM was last harmed.
	disturbedAt time.Time

	roster    *roster.Roster
	mirror    *discovery.Mirror
	discovery *discovery.State
	// pictured is the roster's picture, nil after what may have changed it.
	pictured *roster.Picture
	pool     *routing.Pool
	window   *retry.Window
	crashes  *crashes
	throttle *throttle.Throttle
	whole    bool
	// reading is set while a read is under way.
	reading bool
	// readsAt is when this VM looks next whether it is to read.
	readsAt time.Time
	// endpointsAt is when the endpoints change by themselves, changed is set when
	// something else has changed them.
	endpointsAt time.Time
	changed     bool
	// waking is what the roster said of a pause at the last step.
	waking bool
	// heardTable is the table that a peer told last.
	heardTable *route.Table
}

func newVM(w *world, region, number int) *vm {
	id := fmt.Sprintf("r%d-%d", region, number)
	return &vm{
		world: w,
		vm: fleet.VM{
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
	w.lives++
	v.life = w.lives
	v.up = true
	v.frozen = false
	v.waiting = nil
	v.whole = true
	v.reading = false
	v.heardTable = nil
	v.startedAt = w.clock.now
	v.suspended = 0
	v.disturbed()
	v.roster = roster.New(roster.Options{
		Self:        v.vm,
		Incarnation: v.life,
		Seeds:       w.seeds(),
		Every:       gossipEvery,
		Rand:        w.rand.Uint64,
	})
	v.mirror = discovery.NewMirror()
	v.discovery = discovery.New(discovery.Options{
		Grace: returnWithin,
	})
	v.pool = routing.New(routing.Options{
		Rand: w.rand.Uint64,
	})
	v.pictured = nil
	v.readsAt = time.Time{}
	v.endpointsAt = time.Time{}
	v.changed = true
	v.waking = false
	v.window = v.newWindow()
	v.crashes = newCrashes(v)
	v.throttle = v.newThrottle()
	life := v.life
	w.after(0, func() { v.step(life) })
	w.after(w.between(0, healthEvery), func() { v.askHealth(life) })
	w.after(0, v.crashes.run)
}

func (v *vm) newWindow() *retry.Window {
	slackFrom := v.now().Add(retryWindow)
	if v.world.fault == WholeBudget {
		slackFrom = time.Time{}
	}
	return retry.NewWindow(retry.WindowOptions{
		Ratio:  retryRatio,
		Slack:  retrySlack,
		Length: retryWindow,
		VMs: func() int {
			if v.world.fault == WholeBudget {
				return 1
			}
			return v.picture().Most
		},
		SlackFrom: slackFrom,
		Now:       func() time.Time { return v.now() },
	})
}

func (w *world) seeds() []string {
	var out []string
	for _, v := range w.vms {
		if v.vm.ID == v.vm.Region+"-0" {
			out = append(out, v.vm.PeerAddr)
		}
	}
	return out
}

// disturbed notes that the VM was harmed now.
func (v *vm) disturbed() {
	v.disturbedAt = v.world.clock.now
}

// now is the time by the VM's own clock.
func (v *vm) now() time.Time {
	if v.world.fault == SteadyClock {
		return v.world.clock.now.Add(-v.suspended)
	}
	return v.world.clock.now
}

// running reports whether a life of the VM runs now.
func (v *vm) running(life uint64) bool {
	return v.up && v.life == life && !v.frozen
}

// do has the VM handle something now, or when it wakes, if it still lives.
func (v *vm) do(life uint64, what func()) {
	switch {
	case !v.up || v.life != life:
	case v.frozen:
		v.waiting = append(v.waiting, func() { v.do(life, what) })
	default:
		what()
	}
}

func (v *vm) kill(lasts time.Duration) {
	v.up = false
	v.disturbed()
	v.world.after(lasts, v.start)
}

func (v *vm) freeze(lasts time.Duration) {
	if !v.up || v.frozen {
		return
	}
	v.frozen = true
	v.disturbed()
	life := v.life
	v.world.after(lasts, func() {
		if !v.up || v.life != life {
			return
		}
		v.frozen = false
		v.suspended += lasts
		v.disturbed()
		waiting := v.waiting
		v.waiting = nil
		for _, what := range waiting {
			what()
		}
	})
}

// step is one turn of the control goroutine.
func (v *vm) step(life uint64) {
	v.do(life, func() {
		now := v.now()
		targets := v.roster.Step(now)
		v.pictured = nil
		v.askAfterPause(life)
		v.exchange(targets)
		v.publish()
		v.read()
		v.world.after(stepEvery, func() { v.step(life) })
	})
}

// publish makes the state visible to traffic.
func (v *vm) publish() {
	now := v.now()
	v.roster.SetReady(v.discovery.Table() != nil)
	due := !v.endpointsAt.IsZero() && !now.Before(v.endpointsAt)
	if !v.changed && !due {
		return
	}
	v.changed = false
	v.discovery.Step(now)
	v.endpointsAt = v.discovery.Next(now)
	v.pool.SetVMs(len(v.picture().Members))
	v.pool.SetEndpoints(v.endpoints(), now)
}

// picture is what the roster shows now.
func (v *vm) picture() *roster.Picture {
	if v.pictured == nil {
		v.pictured = v.roster.Picture()
	}
	return v.pictured
}

// endpoints are those of the own region that take work.
func (v *vm) endpoints() []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range v.discovery.Endpoints(v.now()) {
		cold := !e.ColdUntil.IsZero() && v.world.fault != ServeCold
		if e.Region == v.vm.Region && !cold {
			out = append(out, e.Endpoint)
		}
	}
	return out
}

// directory returns the VMs that callers of the own region are told.
func (v *vm) directory() []*vm {
	var out []*vm
	for _, other := range v.world.vms {
		if v.names(other) {
			out = append(out, other)
		}
	}
	return out
}

// table is the one that requests are handled by.
func (v *vm) table() *route.Table {
	if v.world.fault == TakeOlder && v.heardTable != nil {
		return v.heardTable
	}
	return v.discovery.Table()
}

func (v *vm) names(other *vm) bool {
	if v.world.fault == NameDead {
		return other.vm.Region == v.vm.Region
	}
	for _, m := range v.picture().Members {
		if m.VM.ID == other.vm.ID {
			return m.Reachable && m.Ready && m.VM.Region == v.vm.Region
		}
	}
	return false
}
