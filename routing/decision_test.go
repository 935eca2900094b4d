package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/routing/enginetest"
)

const (
	seeds        = 5
	engineSlots  = 8
	prefixTokens = 1000
	suffixTokens = 100
	// slotSeconds is about how long a call with a cached prefix occupies a slot of a
	// nearly full engine.
	slotSeconds = 2.1
	warmUp      = 30 * time.Second
	runFor      = 150 * time.Second
	reportLag   = 300 * time.Millisecond
)

// scenario is one benchmarked situation.
type scenario struct {
	name      string
	policy    string
	vms       int
	endpoints int
	load      float64
	// slow, silent and misreporting are the indexes of faulty endpoints, -1 for none.
	slow, silent, misreporting int
	// otherLoad is the load from other sources on the first two endpoints.
	otherLoad float64
}

// runResult holds the TTFT percentiles in milliseconds and the percentage of prompt
// tokens that were not cached.
type runResult struct {
	p50, p99, cold float64
}

// BenchmarkDecision compares the policies; run it with -benchtime 1x.
func BenchmarkDecision(b *testing.B) {
	for _, s := range scenarios() {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				var p50, p99, cold []float64
				for seed := range uint64(seeds) {
					f := s.run(seed + 1)
					p50 = append(p50, f.p50)
					p99 = append(p99, f.p99)
					cold = append(cold, f.cold)
				}
				report(b, "first_p50_ms", p50)
				report(b, "first_p99_ms", p99)
				report(b, "cold_pct", cold)
			}
		})
	}
}

// report reports the median over the seeds and half of their range.
func report(b *testing.B, name string, values []float64) {
	slices.Sort(values)
	b.ReportMetric(values[len(values)/2], name)
	b.ReportMetric((values[len(values)-1]-values[0])/2, name+"±")
}

func scenarios() []scenario {
	var all []scenario
	add := func(s scenario, fault string) {
		for _, policy := range []string{"affinity", "least_in_flight", "round_robin"} {
			s.policy = policy
			s.name = fmt.Sprintf("vms=%d/endpoints=%d/load=%.0f/fault=%s/%s", s.vms, s.endpoints, 100*s.load, fault, policy)
			all = append(all, s)
		}
	}
	for _, size := range [][2]int{{3, 4}, {8, 40}, {32, 50}} {
		for _, load := range []float64{0.7, 0.9, 1.1} {
			add(scenario{
				vms:          size[0],
				endpoints:    size[1],
				load:         load,
				slow:         -1,
				silent:       -1,
				misreporting: -1,
			}, "none")
		}
		add(scenario{
			vms:          size[0],
			endpoints:    size[1],
			load:         0.7,
			slow:         0,
			silent:       -1,
			misreporting: -1,
		}, "slow")
		add(scenario{
			vms:          size[0],
			endpoints:    size[1],
			load:         0.7,
			slow:         -1,
			silent:       0,
			misreporting: -1,
		}, "silent")
		add(scenario{
			vms:          size[0],
			endpoints:    size[1],
			load:         0.7,
			slow:         -1,
			silent:       -1,
			misreporting: 0,
		}, "lying")
		add(scenario{
			vms:          size[0],
			endpoints:    size[1],
			load:         0.7,
			slow:         0,
			silent:       -1,
			misreporting: 0,
		}, "slow_lying")
		add(scenario{
			vms:          size[0],
			endpoints:    size[1],
			load:         0.5,
			slow:         -1,
			silent:       -1,
			misreporting: -1,
			otherLoad:    0.7,
		}, "foreign")
	}
	return all
}

// simulation is one run of a scenario.
type simulation struct {
	scenario
	clock       *enginetest.Clock
	random      *rand.Rand
	zipf        *rand.Zipf
	engines     []*enginetest.Engine
	list        []fleet.Endpoint
	pools       []*routing.Pool
	ttft        *enginetest.Latencies
	measureFrom time.Time
}

func (s scenario) run(seed uint64) runResult {
	r := &simulation{
		scenario: s,
		clock:    enginetest.NewClock(),
		random:   rand.New(rand.NewPCG(seed, 1)),
		ttft:     enginetest.NewLatencies(),
	}
	r.zipf = rand.NewZipf(r.random, 1.1, 5, uint64(12*s.endpoints-1))
	r.measureFrom = r.clock.Now().Add(warmUp)
	r.startEngines()
	r.startPools()
	end := r.clock.Now().Add(runFor)
	rate := s.load * float64(s.endpoints*engineSlots) / slotSeconds
	r.clock.Poisson(r.random, rate, end, r.arrive)
	if s.otherLoad > 0 {
		r.clock.Poisson(r.random, s.otherLoad*2*engineSlots/slotSeconds, end, r.arriveUnrouted)
	}
	r.clock.Run(end.Add(5 * time.Minute))
	prompt, cold := 0, 0
	for _, e := range r.engines {
		prompt += e.PromptTokens
		cold += e.UncachedTokens
	}
	return runResult{
		p50:  r.ttft.PercentileMS(50),
		p99:  r.ttft.PercentileMS(99),
		cold: 100 * float64(cold) / float64(prompt),
	}
}

func (r *simulation) startEngines() {
	for i := range r.endpoints {
		e := &enginetest.Engine{
			Clock:       r.clock,
			Slots:       engineSlots,
			DecodeRate:  100,
			PrefillRate: 8000,
			CacheSize:   10,
			ReportsIdle: i == r.misreporting,
		}
		if i == r.slow {
			e.DecodeRate /= 4
			e.PrefillRate /= 4
		}
		r.engines = append(r.engines, e)
		r.list = append(r.list, fleet.Endpoint{
			ID:    fmt.Sprintf("endpoint-%d", i),
			Slots: engineSlots,
			State: fleet.StateLive,
		})
		if i != r.silent {
			r.clock.After(time.Duration(r.random.IntN(1000))*time.Millisecond, func() {
				r.clock.Every(time.Second, func() { r.report(i) })
			})
		}
	}
}

func (r *simulation) startPools() {
	for range r.vms {
		p := routing.New(routing.Options{
			Policy: r.policy,
			Rand:   r.random.Uint64,
		})
		p.SetVMs(r.vms)
		p.SetEndpoints(r.list, r.clock.Now())
		r.pools = append(r.pools, p)
	}
}

func (r *simulation) report(i int) {
	l := r.engines[i].Load()
	r.clock.After(reportLag, func() {
		for _, p := range r.pools {
			p.Report(r.list[i].ID, l, r.clock.Now())
		}
	})
}

// arriveUnrouted sends a call that does not go through a pool.
func (r *simulation) arriveUnrouted() {
	r.engines[r.random.IntN(2)].Send(enginetest.Job{
		PromptTokens: suffixTokens,
		Tokens:       20 + r.random.IntN(160),
		Priority:     call.PriorityChat,
		OnFirstToken: func() {},
		OnEnd:        func(call.Usage) {},
	})
}

// arrive sends a call through one of the prefix's two entry VMs.
func (r *simulation) arrive() {
	prefix := r.zipf.Uint64() + 1
	vm := int(prefix) % r.vms
	if r.random.IntN(10) < 3 {
		vm = (vm + 1) % r.vms
	}
	sentAt := r.clock.Now()
	choice, _ := r.pools[vm].Choose(routing.Request{
		PrefixHash:   prefix * 0x9e3779b97f4a7c15,
		PromptTokens: prefixTokens + suffixTokens,
		MaxTokens:    256,
		Priority:     call.PriorityChat,
	}, sentAt)
	i := slices.IndexFunc(r.list, func(e fleet.Endpoint) bool { return e.ID == choice.Endpoint.ID })
	var firstAt time.Time
	r.engines[i].Send(enginetest.Job{
		Prefix:       prefix,
		PrefixTokens: prefixTokens,
		PromptTokens: prefixTokens + suffixTokens,
		Tokens:       20 + r.random.IntN(160),
		Priority:     call.PriorityChat,
		OnFirstToken: func() {
			firstAt = r.clock.Now()
			if sentAt.After(r.measureFrom) {
				r.ttft.Add(firstAt.Sub(sentAt))
			}
		},
		OnEnd: func(u call.Usage) {
			r.pools[vm].Done(choice, routing.Outcome{
				Code:    result.Done,
				Usage:   u,
				Sent:    true,
				FirstAt: firstAt,
			}, r.clock.Now())
		},
	})
}
