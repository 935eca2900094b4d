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
	// strategyCoordinator is the one implemented by Throttle.
	strategyCoordinator strategy = "keeper"
	// strategyEven gives each VM an equal share, strategyRanked one to as many VMs by
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
	sent                map[string][]time.Time
	coordinatorRequests int
}

type simulatedVM struct {
	fleet.VM
	index     int
	startedAt time.Time
	throttle  *Throttle
	buckets   map[string]*tokenBucket
	// region is the VM's cached view of the others, valid until regionUntil, and
	// senders the highest-ranked VMs of each endpoint.
	region      RegionView
	regionUntil time.Time
	senders     map[string][]fleet.VM
}

var origin = time.Unix(1e9, 0)

func newSimulation(c scenario, chosen strategy, seed uint64) *simulation {
	s := &simulation{
		scenario: c,
		strategy: chosen,
		rand:     rand.New(rand.NewPCG(seed, 1)),
		now:      origin,
		sent:     make(map[string][]time.Time),
	}
	for i := range c.VMs {
		v := &simulatedVM{
			VM: fleet.VM{
				ID: fmt.Sprintf("vm-%d", i),
			},
			index: i,
		}
		s.vms = append(s.vms, v)
		s.start(v, origin.Add(-time.Minute))
	}
	return s
}

// start starts a VM, which knows all limits from its first exchange.
func (s *simulation) start(v *simulatedVM, at time.Time) {
	v.startedAt = at
	v.regionUntil = at
	v.buckets = make(map[string]*tokenBucket)
	v.throttle = New(Options{
		VM:        v.ID,
		StartedAt: at,
	})
	for i := range s.Endpoints {
		v.throttle.Learn(Limit{
			Endpoint:  endpointName(i),
			Version:   1,
			Active:    true,
			PerSecond: s.PerSecond,
		}, at)
	}
}

func endpointName(i int) string { return fmt.Sprintf("e-%d", i) }

func simTime(s float64) time.Time { return origin.Add(time.Duration(s * float64(time.Second))) }

// reaches reports whether two VMs are on the same side of a partition.
func (s *simulation) reaches(a, b *simulatedVM, at time.Time) bool {
	parted := s.Halves > 0 && !at.Before(simTime(s.Halves))
	return a == b || !parted || a.index%2 == b.index%2
}

// regionInterval is how long a VM's view of the others is cached.
const regionInterval = 50 * time.Millisecond

// regionOf returns the VM's view of the others.
func (s *simulation) regionOf(v *simulatedVM) RegionView {
	if !s.now.Before(v.regionUntil) {
		v.region = s.observeRegion(v)
		v.regionUntil = s.now.Add(regionInterval)
		v.senders = make(map[string][]fleet.VM)
	}
	return v.region
}

func (s *simulation) observeRegion(v *simulatedVM) RegionView {
	var r RegionView
	for _, other := range s.vms {
		known := other == v || s.now.Sub(v.startedAt) >= membershipDelay
		if known && s.reaches(v, other, s.now.Add(-partitionNoticeDelay)) {
			r.Reachable = append(r.Reachable, other.VM)
		}
	}
	r.Known = len(r.Reachable)
	return r
}

// timeStep is the resolution of the simulated time.
const timeStep = 10 * time.Millisecond

func (s *simulation) run() {
	killed, rolled := s.Killed > 0, 0
	dueCalls := 0.0
	for ; s.now.Before(simTime(s.Length)); s.now = s.now.Add(timeStep) {
		if killed && !s.now.Before(simTime(s.Killed)) {
			killed = false
			for _, v := range s.vms {
				s.start(v, s.now.Add(time.Second))
			}
		}
		if next := simTime(s.Rolled * float64(rolled+1)); s.Rolled > 0 && !s.now.Before(next) {
			s.start(s.vms[rolled%len(s.vms)], s.now)
			rolled++
		}
		if s.now.Before(simTime(s.From)) {
			continue
		}
		for dueCalls += s.Calls * timeStep.Seconds(); dueCalls >= 1; dueCalls-- {
			s.simulateCall()
		}
	}
}

// simulateCall delivers a call to a VM, which tries the endpoints in random order.
func (s *simulation) simulateCall() {
	v := s.vms[0]
	if !s.OneVM {
		v = s.vms[s.rand.IntN(len(s.vms))]
	}
	if s.now.Before(v.startedAt) {
		return
	}
	r := s.regionOf(v)
	for _, i := range s.rand.Perm(s.Endpoints) {
		id := endpointName(i)
		if s.mayTake(v, id, r) {
			s.sent[id] = append(s.sent[id], s.now)
			return
		}
	}
}

func (s *simulation) mayTake(v *simulatedVM, endpointID string, r RegionView) bool {
	switch s.strategy {
	case strategyCoordinator:
		return s.askCoordinator(v, endpointID, r)
	case strategyEven:
		return v.takeToken(endpointID, s.PerSecond/float64(max(len(r.Reachable), 1)), s.now)
	case strategyRanked:
		senders := s.senders(v, endpointID, r)
		isSender := slices.ContainsFunc(senders, func(vm fleet.VM) bool { return vm.ID == v.ID })
		return isSender && v.takeToken(endpointID, s.PerSecond/float64(len(senders)), s.now)
	default:
		return v.takeToken(endpointID, s.PerSecond, s.now)
	}
}

// senders are the highest-ranked VMs, which alone send to an endpoint. The bound allows
// for the first request of each.
func (s *simulation) senders(v *simulatedVM, endpointID string, r RegionView) []fleet.VM {
	if v.senders[endpointID] == nil {
		ranked := entry.Rank(endpointID, r.Reachable)
		v.senders[endpointID] = ranked[:min(len(ranked), int(s.PerSecond)+2)]
	}
	return v.senders[endpointID]
}

// askCoordinator asks for a permit as the gateway does.
func (s *simulation) askCoordinator(v *simulatedVM, endpointID string, r RegionView) bool {
	verdict := v.throttle.Acquire(fleet.Endpoint{ID: endpointID}, r, s.now)
	if verdict.Coordinator == nil {
		return verdict.Permit != nil
	}
	s.coordinatorRequests++
	coordinator := s.vms[slices.IndexFunc(s.vms, func(o *simulatedVM) bool { return o.ID == verdict.Coordinator.ID })]
	if !s.reaches(v, coordinator, s.now) || s.now.Before(coordinator.startedAt) {
		return v.throttle.HandleTimeout(verdict, s.now).Permit != nil
	}
	a := coordinator.throttle.HandleRequest(verdict.Limit, s.regionOf(coordinator), s.now)
	return v.throttle.HandleAnswer(verdict, a, s.now).Permit != nil
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

// maxShare is the largest share of its bound that any endpoint received.
func (s *simulation) maxShare() float64 {
	bound := boundFactor*s.PerSecond*boundWindow.Seconds() + boundExtra
	maxShare := 0.0
	for _, times := range s.sent {
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
func (s *simulation) utilization() float64 {
	count := 0
	for _, times := range s.sent {
		count += len(times)
	}
	duration := s.Length - s.From
	return float64(count) / (min(float64(s.Endpoints)*s.PerSecond, s.Calls) * duration)
}
