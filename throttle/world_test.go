package throttle

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// way is how the VMs of a world keep to limits.
type way string

const (
	// wayKeeper is the one that is built.
	wayKeeper way = "keeper"
	// wayEven gives each VM an equal part, wayRanked as many VMs by rank as the bound has
	// room for.
	wayEven   way = "even"
	wayRanked way = "ranked"
	// wayAlone has each VM keep to the whole limit by itself.
	wayAlone way = "alone"
)

// The times of a world, and the bound that endpoints bear.
const (
	noticedAfter = 2500 * time.Millisecond
	learntAfter  = 300 * time.Millisecond
	knownAfter   = 6 * time.Second
	boundIn      = 4 * time.Second
	boundTimes   = 1.5
	boundMore    = 5
)

// scenario is one load of a region with its faults, as the table of scenarios has it.
// Times are seconds from the start.
type scenario struct {
	Name      string
	VMs       int
	Endpoints int
	PerSecond float64 `json:"per_second"`
	// Calls a second come from a moment on, at random VMs or all at the first one.
	Calls  float64
	From   float64
	OneVM  bool `json:"one_vm"`
	Length float64
	// Halves parts the VMs into two halves, Killed ends all of them for a second, from a
	// moment on; zero for never.
	Halves float64
	Killed float64
	// Rolled replaces one VM after the other, so many seconds apart; zero for never.
	Rolled float64
}

type world struct {
	scenario
	way  way
	rand *rand.Rand
	now  time.Time
	vms  []*worldVM
	// sent are the requests that reached each endpoint.
	sent map[string][]time.Time
	asks int
}

type worldVM struct {
	fleet.VM
	index     int
	startedAt time.Time
	throttle  *Throttle
	buckets   map[string]*bucket
	// believed is what the VM believes of the others until believedUntil, and senders the
	// VMs by rank for each endpoint.
	believed      Region
	believedUntil time.Time
	senders       map[string][]fleet.VM
}

var origin = time.Unix(1e9, 0)

func newWorld(s scenario, by way, seed uint64) *world {
	w := &world{
		scenario: s,
		way:      by,
		rand:     rand.New(rand.NewPCG(seed, 1)),
		now:      origin,
		sent:     make(map[string][]time.Time),
	}
	for i := range s.VMs {
		v := &worldVM{
			VM: fleet.VM{
				ID: fmt.Sprintf("vm-%d", i),
			},
			index: i,
		}
		w.vms = append(w.vms, v)
		w.start(v, origin.Add(-time.Minute))
	}
	return w
}

// start begins a life of a VM, which knows of all limits: they are told with the first
// exchange.
func (w *world) start(v *worldVM, at time.Time) {
	v.startedAt = at
	v.believedUntil = at
	v.buckets = make(map[string]*bucket)
	v.throttle = New(Options{
		VM:        v.ID,
		StartedAt: at,
	})
	for i := range w.Endpoints {
		v.throttle.Learn(Limit{
			Endpoint:  endpointName(i),
			Version:   1,
			Active:    true,
			PerSecond: w.PerSecond,
		}, at)
	}
}

func endpointName(i int) string { return fmt.Sprintf("e-%d", i) }

func after(s float64) time.Time { return origin.Add(time.Duration(s * float64(time.Second))) }

// reaches reports whether two VMs can talk, or take it that they can.
func (w *world) reaches(a, b *worldVM, at time.Time) bool {
	parted := w.Halves > 0 && !at.Before(after(w.Halves))
	return a == b || !parted || a.index%2 == b.index%2
}

// lookEvery is how often a VM looks at the others.
const lookEvery = 50 * time.Millisecond

// region is what a VM believes of the others.
func (w *world) region(v *worldVM) Region {
	if !w.now.Before(v.believedUntil) {
		v.believed = w.look(v)
		v.believedUntil = w.now.Add(lookEvery)
		v.senders = make(map[string][]fleet.VM)
	}
	return v.believed
}

func (w *world) look(v *worldVM) Region {
	var r Region
	for _, other := range w.vms {
		known := other == v || w.now.Sub(v.startedAt) >= learntAfter
		if known && w.reaches(v, other, w.now.Add(-noticedAfter)) {
			r.Near = append(r.Near, other.VM)
		}
	}
	r.Known = len(r.Near)
	return r
}

// step is the time between two looks at what happens besides calls.
const step = 10 * time.Millisecond

func (w *world) play() {
	killed, rolled := w.Killed > 0, 0
	due := 0.0
	for ; w.now.Before(after(w.Length)); w.now = w.now.Add(step) {
		if killed && !w.now.Before(after(w.Killed)) {
			killed = false
			for _, v := range w.vms {
				w.start(v, w.now.Add(time.Second))
			}
		}
		if next := after(w.Rolled * float64(rolled+1)); w.Rolled > 0 && !w.now.Before(next) {
			w.start(w.vms[rolled%len(w.vms)], w.now)
			rolled++
		}
		if w.now.Before(after(w.From)) {
			continue
		}
		for due += w.Calls * step.Seconds(); due >= 1; due-- {
			w.call()
		}
	}
}

// call comes to a VM, which tries the endpoints in a random order.
func (w *world) call() {
	v := w.vms[0]
	if !w.OneVM {
		v = w.vms[w.rand.IntN(len(w.vms))]
	}
	if w.now.Before(v.startedAt) {
		return
	}
	r := w.region(v)
	for _, i := range w.rand.Perm(w.Endpoints) {
		id := endpointName(i)
		if w.permits(v, id, r) {
			w.sent[id] = append(w.sent[id], w.now)
			return
		}
	}
}

func (w *world) permits(v *worldVM, id string, r Region) bool {
	switch w.way {
	case wayKeeper:
		return w.asksKeeper(v, id, r)
	case wayEven:
		return v.bucket(id, w.PerSecond/float64(max(len(r.Near), 1)), w.now)
	case wayRanked:
		senders := w.senders(v, id, r)
		isSender := slices.ContainsFunc(senders, func(vm fleet.VM) bool { return vm.ID == v.ID })
		return isSender && v.bucket(id, w.PerSecond/float64(len(senders)), w.now)
	default:
		return v.bucket(id, w.PerSecond, w.now)
	}
}

// senders are the VMs that send to an endpoint, by rank: the bound has room for the first
// request of each.
func (w *world) senders(v *worldVM, id string, r Region) []fleet.VM {
	if v.senders[id] == nil {
		ranked := entry.Rank(id, r.Near)
		v.senders[id] = ranked[:min(len(ranked), int(w.PerSecond)+2)]
	}
	return v.senders[id]
}

// asksKeeper asks for a permit as the gateway does.
func (w *world) asksKeeper(v *worldVM, id string, r Region) bool {
	verdict := v.throttle.Take(fleet.Endpoint{ID: id}, r, w.now)
	if verdict.Keeper == nil {
		return verdict.Permit != nil
	}
	w.asks++
	keeper := w.vms[slices.IndexFunc(w.vms, func(o *worldVM) bool { return o.ID == verdict.Keeper.ID })]
	if !w.reaches(v, keeper, w.now) || w.now.Before(keeper.startedAt) {
		return v.throttle.Unanswered(verdict, w.now).Permit != nil
	}
	a := keeper.throttle.Ask(verdict.Limit, w.region(keeper), w.now)
	return v.throttle.Decided(verdict, a, w.now).Permit != nil
}

func (v *worldVM) bucket(id string, rate float64, now time.Time) bool {
	b := v.buckets[id]
	if b == nil {
		b = &bucket{
			at: v.startedAt,
		}
		v.buckets[id] = b
	}
	b.fill(rate, now)
	return b.take()
}

// most is the greatest part of its bound that an endpoint got.
func (w *world) most() float64 {
	bound := boundTimes*w.PerSecond*boundIn.Seconds() + boundMore
	most := 0.0
	for _, times := range w.sent {
		from := 0
		for i, at := range times {
			for at.Sub(times[from]) >= boundIn {
				from++
			}
			if times[from].Sub(origin) >= knownAfter {
				most = max(most, float64(i-from+1)/bound)
			}
		}
	}
	return most
}

// used is the part that was sent of what the limits allow, or of the calls if these are less.
func (w *world) used() float64 {
	count := 0
	for _, times := range w.sent {
		count += len(times)
	}
	long := w.Length - w.From
	return float64(count) / (min(float64(w.Endpoints)*w.PerSecond, w.Calls) * long)
}
