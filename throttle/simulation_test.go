package throttle

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// strategy is how the simulated VMs enforce limits.
type strategy string

const (
	// strategyKeeper is the one implemented by Throttle.
	strategyKeeper strategy = "keeper"
	// strategyEven gives each VM an equal share, strategyRanked only to as many VMs by
	// rank as the bound allows.
	strategyEven   strategy = "even"
	strategyRanked strategy = "ranked"
	// strategyAlone makes each VM enforce the whole limit independently.
	strategyAlone strategy = "alone"
)

// An endpoint must not get more than boundFactor times its limit plus boundExtra
// requests in any boundWindow.
const (
	partitionNoticeDelay = 2500 * time.Millisecond
	membershipDelay      = 300 * time.Millisecond
	measureFrom          = 6 * time.Second
	boundWindow          = 4 * time.Second
	boundFactor          = 1.5
	boundExtra           = 5
)

// scenario is one row of testdata/scenarios.json: a load on a region, with faults.
// Times are in seconds from the start.
type scenario struct {
	Name      string
	VMs       int
	Endpoints int
	PerSecond float64 `json:"per_second"`
	// Calls arrive per second, from From on, at random VMs or all at the first one.
	Calls  float64
	From   float64
	OneVM  bool `json:"one_vm"`
	Length float64
	// Halves is when the VMs are partitioned into two halves, Killed when all of them
	// are down for a second; zero for never.
	Halves float64
	Killed float64
	// Rolled is the interval at which one VM after the other is restarted; zero for
	// never.
	Rolled float64
}

type simulation struct {
	scenario
	strategy strategy
	rand     *rand.Rand
	now      time.Time
	vms      []*simulatedVM
	// sent are the times of the requests to each endpoint.
	sent           map[string][]time.Time
	keeperRequests int
}

type simulatedVM struct {
	fleet.VM
	index     int
	startedAt time.Time
	throttle  *Throttle
	buckets   map[string]*tokenBucket
	// region is the VM's cached view of the others, valid until regionUntil, and
	// senders the highest-ranked VMs of each endpoint.
	region      Region
	regionUntil time.Time
	senders     map[string][]fleet.VM
}

var origin = time.Unix(1e9, 0)

func newSimulation(s scenario, chosen strategy, seed uint64) *simulation {
	w := &simulation{
		scenario: s,
		strategy: chosen,
		rand:     rand.New(rand.NewPCG(seed, 1)),
		now:      origin,
		sent:     make(map[string][]time.Time),
	}
	for i := range s.VMs {
		v := &simulatedVM{
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

// start starts a VM, which knows all limits from its first exchange.
func (w *simulation) start(v *simulatedVM, at time.Time) {
	v.startedAt = at
	v.regionUntil = at
	v.buckets = make(map[string]*tokenBucket)
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

func simTime(s float64) time.Time { return origin.Add(time.Duration(s * float64(time.Second))) }

// reaches reports whether two VMs are on the same side of a partition.
func (w *simulation) reaches(a, b *simulatedVM, at time.Time) bool {
	parted := w.Halves > 0 && !at.Before(simTime(w.Halves))
	return a == b || !parted || a.index%2 == b.index%2
}

// regionInterval is how long a VM's view of the others is cached.
const regionInterval = 50 * time.Millisecond

// regionOf returns the VM's view of the others.
func (w *simulation) regionOf(v *simulatedVM) Region {
	if !w.now.Before(v.regionUntil) {
		v.region = w.observeRegion(v)
		v.regionUntil = w.now.Add(regionInterval)
		v.senders = make(map[string][]fleet.VM)
	}
	return v.region
}

func (w *simulation) observeRegion(v *simulatedVM) Region {
	var r Region
	for _, other := range w.vms {
		known := other == v || w.now.Sub(v.startedAt) >= membershipDelay
		if known && w.reaches(v, other, w.now.Add(-partitionNoticeDelay)) {
			r.Near = append(r.Near, other.VM)
		}
	}
	r.Known = len(r.Near)
	return r
}

// timeStep is the resolution of the simulated time.
const timeStep = 10 * time.Millisecond

func (w *simulation) run() {
	killed, rolled := w.Killed > 0, 0
	dueCalls := 0.0
	for ; w.now.Before(simTime(w.Length)); w.now = w.now.Add(timeStep) {
		if killed && !w.now.Before(simTime(w.Killed)) {
			killed = false
			for _, v := range w.vms {
				w.start(v, w.now.Add(time.Second))
			}
		}
		if next := simTime(w.Rolled * float64(rolled+1)); w.Rolled > 0 && !w.now.Before(next) {
			w.start(w.vms[rolled%len(w.vms)], w.now)
			rolled++
		}
		if w.now.Before(simTime(w.From)) {
			continue
		}
		for dueCalls += w.Calls * timeStep.Seconds(); dueCalls >= 1; dueCalls-- {
			w.simulateCall()
		}
	}
}

// simulateCall delivers a call to a VM, which tries the endpoints in random order.
func (w *simulation) simulateCall() {
	v := w.vms[0]
	if !w.OneVM {
		v = w.vms[w.rand.IntN(len(w.vms))]
	}
	if w.now.Before(v.startedAt) {
		return
	}
	r := w.regionOf(v)
	for _, i := range w.rand.Perm(w.Endpoints) {
		id := endpointName(i)
		if w.mayTake(v, id, r) {
			w.sent[id] = append(w.sent[id], w.now)
			return
		}
	}
}

func (w *simulation) mayTake(v *simulatedVM, endpointID string, r Region) bool {
	switch w.strategy {
	case strategyKeeper:
		return w.askKeeper(v, endpointID, r)
	case strategyEven:
		return v.takeToken(endpointID, w.PerSecond/float64(max(len(r.Near), 1)), w.now)
	case strategyRanked:
		senders := w.senders(v, endpointID, r)
		isSender := slices.ContainsFunc(senders, func(vm fleet.VM) bool { return vm.ID == v.ID })
		return isSender && v.takeToken(endpointID, w.PerSecond/float64(len(senders)), w.now)
	default:
		return v.takeToken(endpointID, w.PerSecond, w.now)
	}
}

// senders are the highest-ranked VMs, which alone send to an endpoint. The bound allows
// for the first request of each.
func (w *simulation) senders(v *simulatedVM, endpointID string, r Region) []fleet.VM {
	if v.senders[endpointID] == nil {
		ranked := entry.Rank(endpointID, r.Near)
		v.senders[endpointID] = ranked[:min(len(ranked), int(w.PerSecond)+2)]
	}
	return v.senders[endpointID]
}

// askKeeper asks for a permit as the gateway does.
func (w *simulation) askKeeper(v *simulatedVM, endpointID string, r Region) bool {
	verdict := v.throttle.Take(fleet.Endpoint{ID: endpointID}, r, w.now)
	if verdict.Keeper == nil {
		return verdict.Permit != nil
	}
	w.keeperRequests++
	keeper := w.vms[slices.IndexFunc(w.vms, func(o *simulatedVM) bool { return o.ID == verdict.Keeper.ID })]
	if !w.reaches(v, keeper, w.now) || w.now.Before(keeper.startedAt) {
		return v.throttle.Unanswered(verdict, w.now).Permit != nil
	}
	a := keeper.throttle.Ask(verdict.Limit, w.regionOf(keeper), w.now)
	return v.throttle.Decided(verdict, a, w.now).Permit != nil
}

func (v *simulatedVM) takeToken(id string, rate float64, now time.Time) bool {
	b := v.buckets[id]
	if b == nil {
		b = &tokenBucket{
			refilledAt: v.startedAt,
		}
		v.buckets[id] = b
	}
	b.refill(rate, now)
	return b.take()
}

// maxBoundShare is the largest share of its bound that any endpoint received.
func (w *simulation) maxShare() float64 {
	bound := boundFactor*w.PerSecond*boundWindow.Seconds() + boundExtra
	maxShare := 0.0
	for _, times := range w.sent {
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) >= boundWindow {
				first++
			}
			if times[first].Sub(origin) >= measureFrom {
				maxShare = max(maxShare, float64(i-first+1)/bound)
			}
		}
	}
	return maxShare
}

// utilization is the number of requests sent as a share of what the limits allow, or of
// the calls if these are fewer.
func (w *simulation) utilization() float64 {
	count := 0
	for _, times := range w.sent {
		count += len(times)
	}
	duration := w.Length - w.From
	return float64(count) / (min(float64(w.Endpoints)*w.PerSecond, w.Calls) * duration)
}
