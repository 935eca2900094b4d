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
	seeds              = 5
	regions            = 3
	vmsPerRegion       = 3
	engines            = 4
	engineSlots        = 8
	oneWay             = 40 * time.Millisecond
	warmUp             = 60 * time.Second
	runFor             = 240 * time.Second
	meanServiceSeconds = 2.0
	// maxAttempts matches the limit in package serving.
	maxAttempts = 2
	// demandSamples is the number of one-second samples averaged as local demand.
	demandSamples     = 16
	promptTokens      = 1100
	prefixTokens      = 1000
	maxTokens         = 256
	firstTokenTimeout = 1500 * time.Millisecond
	answerTimeout     = 10 * time.Second
	target            = "advice"
	// policyUnlimited is PolicySurplus without the RateLimiter and the gate.
	policyUnlimited = "undamped"
)

type scenario struct {
	policy string
	load   float64
	// lostEngines is the number of the first region's engines that stop after the warm-up.
	lostEngines int
}

// BenchmarkDecision compares the policies. Run it with -benchtime 1x.
func BenchmarkDecision(b *testing.B) {
	for _, load := range []float64{0.5, 0.8} {
		for _, lost := range []int{2, 4} {
			for _, policy := range []string{borrow.PolicySurplus, policyUnlimited, borrow.PolicyNever, borrow.PolicyAlways} {
				s := scenario{
					policy:      policy,
					load:        load,
					lostEngines: lost,
				}
				b.Run(fmt.Sprintf("load=%.0f/lost=%d/%s", 100*load, lost, policy), s.benchmark)
			}
		}
	}
}

func (s scenario) benchmark(b *testing.B) {
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

// vm is an entry VM with its own view of its region.
type vm struct {
	region      int
	name        string
	pool        *routing.Pool
	state       *admission.State
	rateLimiter *borrow.RateLimiter
	gate        borrow.Gate
	pending     map[uint64]*job
	// localDemand holds samples of the region's demand without calls of other regions.
	localDemand []float64
	remoteCalls int
	offers      map[string]borrow.Offer
}

// job is one call.
type job struct {
	home, prefix int
	tokens       int
	arrivedAt    time.Time
	remote       bool
	// attempts is the number of VMs in other regions that the call was sent to.
	attempts  int
	onRefused func()
	// release is called when an accepted call of another region ends.
	release func()
}

type simulation struct {
	scenario
	clock       *enginetest.Clock
	random      *rand.Rand
	engines     map[string]*enginetest.Engine
	vms         []*vm
	lastID      uint64
	measureFrom time.Time
	// Counts are indexed by the caller's region; region 0 is the one that loses engines.
	arrived, inTime, sent, refusedRemotely [regions]float64
	firstToken                             [2]*enginetest.Latencies
}

func (s scenario) run(seed uint64) map[string]float64 {
	r := &simulation{
		scenario:   s,
		clock:      enginetest.NewClock(),
		random:     rand.New(rand.NewPCG(seed, 3)),
		engines:    map[string]*enginetest.Engine{},
		firstToken: [2]*enginetest.Latencies{enginetest.NewLatencies(), enginetest.NewLatencies()},
	}
	r.measureFrom = r.clock.Now().Add(warmUp)
	for region := range regions {
		r.startRegion(region)
	}
	r.clock.After(warmUp, func() { r.setEndpoints(0, engines-s.lostEngines) })
	end := r.clock.Now().Add(runFor)
	for region := range regions {
		r.clock.Poisson(r.random, s.load*engines*engineSlots/meanServiceSeconds, end, func() { r.arrive(region) })
	}
	r.clock.Run(end.Add(time.Minute))
	others := func(counts [regions]float64) float64 { return counts[1] + counts[2] }
	return map[string]float64{
		"home_in_time_pct":   100 * r.inTime[0] / r.arrived[0],
		"home_p99_ms":        r.firstToken[0].PercentileMS(99),
		"sent_away_pct":      100 * r.sent[0] / r.arrived[0],
		"bounced_pct":        100 * r.refusedRemotely[0] / max(r.sent[0], 1),
		"others_in_time_pct": 100 * others(r.inTime) / others(r.arrived),
		"others_p99_ms":      r.firstToken[1].PercentileMS(99),
	}
}

func endpointID(region, i int) string { return fmt.Sprintf("r%d-e%d", region, i) }

func (r *simulation) startRegion(region int) {
	for v := range vmsPerRegion {
		m := &vm{
			region:      region,
			name:        fmt.Sprintf("r%d-v%d", region, v),
			pool:        routing.New(routing.Options{Rand: r.random.Uint64}),
			state:       admission.NewState(admission.Options{}),
			rateLimiter: borrow.NewRateLimiter((regions - 1) * vmsPerRegion),
			pending:     map[uint64]*job{},
			offers:      map[string]borrow.Offer{},
		}
		m.pool.SetVMs(vmsPerRegion)
		r.vms = append(r.vms, m)
		r.clock.Every(20*time.Millisecond, func() { r.step(m, admission.Message{Kind: admission.MessageTick}) })
		r.clock.After(time.Duration(r.random.IntN(1000))*time.Millisecond, func() {
			r.clock.Every(time.Second, func() { r.publishOffer(m) })
		})
	}
	for i := range engines {
		e := &enginetest.Engine{
			Clock:       r.clock,
			Slots:       engineSlots,
			DecodeRate:  100,
			PrefillRate: 8000,
			CacheSize:   20,
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
	r.setEndpoints(region, engines)
}

func (r *simulation) setEndpoints(region, n int) {
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

// publishOffer sends the VM's surplus to the VMs of other regions.
func (r *simulation) publishOffer(m *vm) {
	supply := m.pool.Capacity(r.clock.Now())
	m.localDemand = append(m.localDemand, supply.Slots-supply.Free-float64(m.remoteCalls*vmsPerRegion))
	if len(m.localDemand) > demandSamples {
		m.localDemand = m.localDemand[1:]
	}
	o := borrow.Surplus(r.capacityState(m), r.clock.Now())
	o.NetworkDelay = oneWay
	r.clock.After(oneWay, func() {
		for _, other := range r.vms {
			if other.region != m.region {
				other.offers[m.name] = o
			}
		}
	})
}

func (r *simulation) capacityState(m *vm) borrow.RegionCapacity {
	now := r.clock.Now()
	supply := m.pool.Capacity(now)
	wait, _ := m.pool.Estimate(routing.Request{}, now)
	demand := 0.0
	for _, slots := range m.localDemand {
		demand += slots / float64(len(m.localDemand))
	}
	return borrow.RegionCapacity{
		Region:           fmt.Sprint(m.region),
		VM:               m.name,
		Target:           target,
		Slots:            supply.Slots,
		Free:             supply.Free,
		TokensPerSecond:  supply.SlotThroughput,
		PrefillPerSecond: supply.PrefillRate,
		Demand:           max(demand, 0),
		Waiting:          len(m.pending),
		Wait:             wait,
		VMs:              vmsPerRegion,
		Until:            now.Add(3 * time.Second),
	}
}

func (r *simulation) arrive(region int) {
	j := &job{
		home:      region,
		prefix:    r.random.IntN(40) + 1 + 100*region,
		tokens:    20 + r.random.IntN(160),
		arrivedAt: r.clock.Now(),
	}
	if j.arrivedAt.After(r.measureFrom) {
		r.arrived[region]++
	}
	m := r.vms[region*vmsPerRegion+j.prefix%vmsPerRegion]
	j.onRefused = func() { r.sendToOtherRegion(m, j) }
	r.admit(m, j)
}

func (j *job) request() admission.Request {
	return admission.Request{
		Priority:           call.PriorityChat,
		FirstTokenDeadline: j.arrivedAt.Add(firstTokenTimeout),
		Deadline:           j.arrivedAt.Add(answerTimeout),
		PrefixHash:         uint64(j.prefix) * 0x9e3779b97f4a7c15,
		PromptTokens:       promptTokens,
		MaxTokens:          maxTokens,
	}
}

func (r *simulation) admit(m *vm, j *job) {
	r.lastID++
	m.pending[r.lastID] = j
	r.step(m, admission.Message{
		Kind:    admission.MessageArrive,
		ID:      r.lastID,
		Request: j.request(),
	})
}

// step runs the VM's queue and executes the resulting actions.
func (r *simulation) step(m *vm, msg admission.Message) {
	now := r.clock.Now()
	msg.Supply = m.pool.Capacity(now)
	for _, a := range slices.Clone(m.state.Step(msg, now)) {
		j := m.pending[a.ID]
		delete(m.pending, a.ID)
		if a.Kind == admission.ActionRefuse {
			j.onRefused()
			continue
		}
		r.send(m, a.ID, j)
	}
}

// sendToOtherRegion decides on a call that its own region refused.
func (r *simulation) sendToOtherRegion(m *vm, j *job) {
	offers := make([]borrow.Offer, 0, len(m.offers))
	for _, name := range slices.Sorted(maps.Keys(m.offers)) {
		offers = append(offers, m.offers[name])
	}
	request := borrow.Request{
		Policy:             r.policy,
		Target:             target,
		Regions:            []string{"0", "1", "2"},
		Allowed:            true,
		Unavailable:        true,
		UntilFirstToken:    30 * time.Millisecond,
		Service:            2 * time.Second,
		FirstTokenDeadline: j.request().FirstTokenDeadline,
		Deadline:           j.request().Deadline,
		PromptTokens:       promptTokens,
		MaxTokens:          maxTokens,
		RateLimiter:        m.rateLimiter,
		Random:             r.random.Uint64(),
	}
	if r.policy == policyUnlimited {
		request.RateLimiter = nil
	}
	offer, ok := borrow.Decide(request, offers, r.clock.Now())
	if !ok {
		return
	}
	if j.arrivedAt.After(r.measureFrom) {
		r.sent[j.home]++
	}
	r.clock.After(oneWay, func() { r.receiveRemote(m, j, offer) })
}

// receiveRemote handles a call at the VM that offered capacity for it.
func (r *simulation) receiveRemote(from *vm, j *job, offer borrow.Offer) {
	i := slices.IndexFunc(r.vms, func(m *vm) bool { return m.name == offer.VM })
	m := r.vms[i]
	j.remote = true
	j.onRefused = func() {
		if j.arrivedAt.After(r.measureFrom) {
			r.refusedRemotely[j.home]++
		}
		r.clock.After(oneWay, func() {
			from.rateLimiter.Refused(offer, r.clock.Now())
			if j.attempts < maxAttempts {
				r.sendToOtherRegion(from, j)
			}
		})
	}
	j.attempts++
	if r.policy == borrow.PolicySurplus && !m.gate.Admit(r.capacityState(m), promptTokens+maxTokens, r.clock.Now()) {
		j.onRefused()
		return
	}
	r.clock.After(oneWay, func() { from.rateLimiter.Served(offer, r.clock.Now()) })
	m.remoteCalls++
	refused := j.onRefused
	j.release = func() { m.remoteCalls-- }
	j.onRefused = func() {
		j.release()
		refused()
	}
	r.admit(m, j)
}

func (r *simulation) send(m *vm, id uint64, j *job) {
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
		j.onRefused()
		return
	}
	back := time.Duration(0)
	if j.remote {
		back = oneWay
	}
	var firstAt time.Time
	r.engines[choice.Endpoint.ID].Send(enginetest.Job{
		Prefix:       uint64(j.prefix),
		PrefixTokens: prefixTokens,
		PromptTokens: promptTokens,
		Tokens:       j.tokens,
		Priority:     call.PriorityChat,
		OnFirstToken: func() { firstAt = r.clock.Now() },
		OnEnd: func(u call.Usage) {
			r.recordLatency(j, firstAt.Add(back), r.clock.Now().Add(back))
			if j.remote {
				j.release()
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

func (r *simulation) recordLatency(j *job, firstAt, endAt time.Time) {
	if !j.arrivedAt.After(r.measureFrom) {
		return
	}
	r.firstToken[min(j.home, 1)].Add(firstAt.Sub(j.arrivedAt))
	if !firstAt.After(j.request().FirstTokenDeadline) && !endAt.After(j.request().Deadline) {
		r.inTime[j.home]++
	}
}
