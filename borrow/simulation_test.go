package borrow_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsianotch/fuchsianotch/admission"
	"github.com/fuchsianotch/fuchsianotch/borrow"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/routing/enginetest"
)

const (
	seeds        = 5
	regions      = 3
	vmsPerRegion = 3
	engines      = 4
	engineSlots  = 8
	oneWay       = 40 * time.Millisecond
	warmUp       = 60 * time.Second
	runFor       = 240 * time.Second
	holdSeconds  = 2.0
	// lendersPerCall is as in package serving.
	lendersPerCall = 2
	// demandSeconds is the time over which own demand is averaged.
	demandSeconds = 16
	promptTokens  = 1100
	prefixTokens  = 1000
	maxTokens     = 256
	firstWithin   = 1500 * time.Millisecond
	wholeWithin   = 10 * time.Second
	target        = "advice"
	// policyUndamped is the decision without the damper and the gate.
	policyUndamped = "undamped"
)

type scene struct {
	policy string
	load   float64
	// lost is how many of the first region's engines end after the warm-up.
	lost int
}

// BenchmarkDecision compares the policies; run it with -benchtime 1x.
func BenchmarkDecision(b *testing.B) {
	for _, load := range []float64{0.5, 0.8} {
		for _, lost := range []int{2, 4} {
			for _, policy := range []string{borrow.PolicySurplus, policyUndamped, borrow.PolicyNever, borrow.PolicyAlways} {
				s := scene{
					policy: policy,
					load:   load,
					lost:   lost,
				}
				b.Run(fmt.Sprintf("load=%.0f/lost=%d/%s", 100*load, lost, policy), s.benchmark)
			}
		}
	}
}

func (s scene) benchmark(b *testing.B) {
	for b.Loop() {
		all := map[string][]float64{}
		for seed := range uint64(seeds) {
			for name, value := range s.run(seed + 1) {
				all[name] = append(all[name], value)
			}
		}
		for name, values := range all {
			slices.Sort(values)
			b.ReportMetric(values[len(values)/2], name)
			b.ReportMetric((values[len(values)-1]-values[0])/2, name+"±")
		}
	}
}

// vm is one entry VM with its own view of its region.
type vm struct {
	region int
	name   string
	pool   *routing.Pool
	state  *admission.State
	damper *borrow.Damper
	gate   borrow.Gate
	waits  map[uint64]*job
	// own are samples of the region's demand without strangers.
	own       []float64
	strangers int
	offers    map[string]borrow.Offer
}

// job is one call of a caller.
type job struct {
	home, prefix int
	tokens       int
	cameAt       time.Time
	away         bool
	// tries are the lenders that it was sent to.
	tries   int
	refused func()
	// ended is set for a stranger that was taken.
	ended func()
}

type rig struct {
	scene
	clock   *enginetest.Clock
	random  *rand.Rand
	engines map[string]*enginetest.Engine
	vms     []*vm
	lastID  uint64
	from    time.Time
	// The counts are by the caller's region; home is the one that lost engines.
	came, inTime, sent, bounced [regions]float64
	first                       [2]*enginetest.Latencies
}

func (s scene) run(seed uint64) map[string]float64 {
	r := &rig{
		scene:   s,
		clock:   enginetest.NewClock(),
		random:  rand.New(rand.NewPCG(seed, 3)),
		engines: map[string]*enginetest.Engine{},
		first:   [2]*enginetest.Latencies{enginetest.NewLatencies(), enginetest.NewLatencies()},
	}
	r.from = r.clock.Now().Add(warmUp)
	for region := range regions {
		r.startRegion(region)
	}
	r.clock.After(warmUp, func() { r.list(0, engines-s.lost) })
	end := r.clock.Now().Add(runFor)
	for region := range regions {
		r.clock.Poisson(r.random, s.load*engines*engineSlots/holdSeconds, end, func() { r.arrive(region) })
	}
	r.clock.Run(end.Add(time.Minute))
	others := func(counts [regions]float64) float64 { return counts[1] + counts[2] }
	return map[string]float64{
		"home_in_time_pct":   100 * r.inTime[0] / r.came[0],
		"home_p99_ms":        r.first[0].Milliseconds(99),
		"sent_away_pct":      100 * r.sent[0] / r.came[0],
		"bounced_pct":        100 * r.bounced[0] / max(r.sent[0], 1),
		"others_in_time_pct": 100 * others(r.inTime) / others(r.came),
		"others_p99_ms":      r.first[1].Milliseconds(99),
	}
}

func endpointID(region, i int) string { return fmt.Sprintf("r%d-e%d", region, i) }

func (r *rig) startRegion(region int) {
	for v := range vmsPerRegion {
		m := &vm{
			region: region,
			name:   fmt.Sprintf("r%d-v%d", region, v),
			pool:   routing.New(routing.Options{Rand: r.random.Uint64}),
			state:  admission.NewState(admission.Options{}),
			damper: borrow.NewDamper((regions - 1) * vmsPerRegion),
			waits:  map[uint64]*job{},
			offers: map[string]borrow.Offer{},
		}
		m.pool.SetVMs(vmsPerRegion)
		r.vms = append(r.vms, m)
		r.clock.Every(20*time.Millisecond, func() { r.step(m, admission.Message{Kind: admission.MessageTick}) })
		r.clock.After(time.Duration(r.random.IntN(1000))*time.Millisecond, func() {
			r.clock.Every(time.Second, func() { r.offer(m) })
		})
	}
	for i := range engines {
		e := &enginetest.Engine{
			Clock:    r.clock,
			Slots:    engineSlots,
			Speed:    100,
			Prefill:  8000,
			Prefixes: 20,
		}
		r.engines[endpointID(region, i)] = e
		r.clock.Every(time.Second, func() {
			l := e.Load()
			r.clock.After(300*time.Millisecond, func() {
				for _, m := range r.vms {
					m.pool.Report(endpointID(region, i), l, r.clock.Now())
				}
			})
		})
	}
	r.list(region, engines)
}

func (r *rig) list(region, n int) {
	var list []fleet.Endpoint
	for i := range n {
		list = append(list, fleet.Endpoint{
			ID:    endpointID(region, i),
			Slots: engineSlots,
			State: fleet.StateLive,
		})
	}
	for _, m := range r.vms {
		if m.region == region {
			m.pool.SetEndpoints(list, r.clock.Now())
		}
	}
}

// offer tells the VM's surplus to the VMs of other regions.
func (r *rig) offer(m *vm) {
	supply := m.pool.Supply(r.clock.Now())
	m.own = append(m.own, supply.Slots-supply.Free-float64(m.strangers*vmsPerRegion))
	if len(m.own) > demandSeconds {
		m.own = m.own[1:]
	}
	o := borrow.Surplus(r.surplus(m), r.clock.Now())
	o.OneWay = oneWay
	r.clock.After(oneWay, func() {
		for _, other := range r.vms {
			if other.region != m.region {
				other.offers[m.name] = o
			}
		}
	})
}

func (r *rig) surplus(m *vm) borrow.State {
	now := r.clock.Now()
	supply := m.pool.Supply(now)
	wait, _ := m.pool.Estimate(routing.Request{}, now)
	own := 0.0
	for _, slots := range m.own {
		own += slots / float64(len(m.own))
	}
	return borrow.State{
		Region:           fmt.Sprint(m.region),
		VM:               m.name,
		Target:           target,
		Slots:            supply.Slots,
		Free:             supply.Free,
		TokensPerSecond:  supply.SlotTokensPerSecond,
		PrefillPerSecond: supply.PrefillPerSecond,
		Demand:           max(own, 0),
		Waiting:          len(m.waits),
		Wait:             wait,
		VMs:              vmsPerRegion,
		Until:            now.Add(3 * time.Second),
	}
}

func (r *rig) arrive(region int) {
	j := &job{
		home:   region,
		prefix: r.random.IntN(40) + 1 + 100*region,
		tokens: 20 + r.random.IntN(160),
		cameAt: r.clock.Now(),
	}
	if j.cameAt.After(r.from) {
		r.came[region]++
	}
	m := r.vms[region*vmsPerRegion+j.prefix%vmsPerRegion]
	j.refused = func() { r.leave(m, j) }
	r.admit(m, j)
}

func (j *job) request() admission.Request {
	return admission.Request{
		Priority:     call.PriorityChat,
		FirstBy:      j.cameAt.Add(firstWithin),
		WholeBy:      j.cameAt.Add(wholeWithin),
		PrefixHash:   uint64(j.prefix) * 0x9e3779b97f4a7c15,
		PromptTokens: promptTokens,
		MaxTokens:    maxTokens,
	}
}

func (r *rig) admit(m *vm, j *job) {
	r.lastID++
	m.waits[r.lastID] = j
	r.step(m, admission.Message{
		Kind:    admission.MessageArrive,
		ID:      r.lastID,
		Request: j.request(),
	})
}

// step runs the VM's queue and carries its actions out.
func (r *rig) step(m *vm, msg admission.Message) {
	now := r.clock.Now()
	msg.Supply = m.pool.Supply(now)
	for _, a := range slices.Clone(m.state.Step(msg, now)) {
		j := m.waits[a.ID]
		delete(m.waits, a.ID)
		if a.Kind == admission.ActionRefuse {
			j.refused()
			continue
		}
		r.send(m, a.ID, j)
	}
}

// leave decides about a call that its own region refused.
func (r *rig) leave(m *vm, j *job) {
	offers := make([]borrow.Offer, 0, len(m.offers))
	for _, name := range slices.Sorted(maps.Keys(m.offers)) {
		offers = append(offers, m.offers[name])
	}
	request := borrow.Request{
		Policy:       r.policy,
		Target:       target,
		Regions:      []string{"0", "1", "2"},
		Allowed:      true,
		Unavailable:  true,
		First:        30 * time.Millisecond,
		Service:      2 * time.Second,
		FirstBy:      j.request().FirstBy,
		WholeBy:      j.request().WholeBy,
		PromptTokens: promptTokens,
		MaxTokens:    maxTokens,
		Damper:       m.damper,
		Draw:         r.random.Uint64(),
	}
	if r.policy == policyUndamped {
		request.Damper = nil
	}
	offer, ok := borrow.Decide(request, offers, r.clock.Now())
	if !ok {
		return
	}
	if j.cameAt.After(r.from) {
		r.sent[j.home]++
	}
	r.clock.After(oneWay, func() { r.receive(m, j, offer) })
}

// receive is the other side: it takes a stranger from its surplus alone.
func (r *rig) receive(from *vm, j *job, offer borrow.Offer) {
	i := slices.IndexFunc(r.vms, func(m *vm) bool { return m.name == offer.VM })
	m := r.vms[i]
	j.away = true
	j.refused = func() {
		if j.cameAt.After(r.from) {
			r.bounced[j.home]++
		}
		r.clock.After(oneWay, func() {
			from.damper.Refused(offer, r.clock.Now())
			if j.tries < lendersPerCall {
				r.leave(from, j)
			}
		})
	}
	j.tries++
	if r.policy == borrow.PolicySurplus && !m.gate.Accept(r.surplus(m), promptTokens+maxTokens, r.clock.Now()) {
		j.refused()
		return
	}
	r.clock.After(oneWay, func() { from.damper.Served(offer, r.clock.Now()) })
	m.strangers++
	refused := j.refused
	j.ended = func() { m.strangers-- }
	j.refused = func() {
		j.ended()
		refused()
	}
	r.admit(m, j)
}

func (r *rig) send(m *vm, id uint64, j *job) {
	now := r.clock.Now()
	choice, ok := m.pool.Choose(routing.Request{
		PrefixHash:   j.request().PrefixHash,
		PromptTokens: promptTokens,
		MaxTokens:    maxTokens,
	}, now)
	if !ok {
		r.step(m, admission.Message{
			Kind:   admission.MessageDone,
			ID:     id,
			Unsent: true,
		})
		j.refused()
		return
	}
	back := time.Duration(0)
	if j.away {
		back = oneWay
	}
	var firstAt time.Time
	r.engines[choice.Endpoint.ID].Send(enginetest.Job{
		Prefix:       uint64(j.prefix),
		PrefixTokens: prefixTokens,
		PromptTokens: promptTokens,
		Tokens:       j.tokens,
		Priority:     call.PriorityChat,
		First:        func() { firstAt = r.clock.Now() },
		End: func(u call.Usage) {
			r.count(j, firstAt.Add(back), r.clock.Now().Add(back))
			if j.away {
				j.ended()
			}
			m.pool.Done(choice, routing.Outcome{
				Code:    result.Done,
				Usage:   u,
				Sent:    true,
				FirstAt: firstAt,
			}, r.clock.Now())
			r.step(m, admission.Message{
				Kind: admission.MessageDone,
				ID:   id,
			})
		},
	})
}

func (r *rig) count(j *job, firstAt, endAt time.Time) {
	if !j.cameAt.After(r.from) {
		return
	}
	r.first[min(j.home, 1)].Add(firstAt.Sub(j.cameAt))
	if !firstAt.After(j.request().FirstBy) && !endAt.After(j.request().WholeBy) {
		r.inTime[j.home]++
	}
}
