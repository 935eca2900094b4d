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
	// holdSeconds is about how long a warm call keeps a slot of a nearly full engine.
	holdSeconds = 2.1
	warmUp      = 30 * time.Second
	runFor      = 150 * time.Second
	reportLag   = 300 * time.Millisecond
)

// scene is one measured situation.
type scene struct {
	name      string
	policy    string
	vms       int
	endpoints int
	load      float64
	// slow, silent and lying name the endpoints with a fault, -1 for none.
	slow, silent, lying int
	// foreign is the load that others put on the first two endpoints.
	foreign float64
}

// figures are the outcome of one run.
type figures struct {
	p50, p99, cold float64
}

// BenchmarkDecision compares the policies; run it with -benchtime 1x.
func BenchmarkDecision(b *testing.B) {
	for _, s := range scenes() {
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

// report returns the median over the seeds and half of the range around it.
func report(b *testing.B, name string, values []float64) {
	slices.Sort(values)
	b.ReportMetric(values[len(values)/2], name)
	b.ReportMetric((values[len(values)-1]-values[0])/2, name+"±")
}

func scenes() []scene {
	var all []scene
	add := func(s scene, fault string) {
		for _, policy := range []string{"affinity", "least_in_flight", "round_robin"} {
			s.policy = policy
			s.name = fmt.Sprintf("vms=%d/endpoints=%d/load=%.0f/fault=%s/%s", s.vms, s.endpoints, 100*s.load, fault, policy)
			all = append(all, s)
		}
	}
	for _, size := range [][2]int{{3, 4}, {8, 40}, {32, 50}} {
		for _, load := range []float64{0.7, 0.9, 1.1} {
			add(scene{
				vms:       size[0],
				endpoints: size[1],
				load:      load,
				slow:      -1,
				silent:    -1,
				lying:     -1,
			}, "none")
		}
		add(scene{
			vms:       size[0],
			endpoints: size[1],
			load:      0.7,
			slow:      0,
			silent:    -1,
			lying:     -1,
		}, "slow")
		add(scene{
			vms:       size[0],
			endpoints: size[1],
			load:      0.7,
			slow:      -1,
			silent:    0,
			lying:     -1,
		}, "silent")
		add(scene{
			vms:       size[0],
			endpoints: size[1],
			load:      0.7,
			slow:      -1,
			silent:    -1,
			lying:     0,
		}, "lying")
		add(scene{
			vms:       size[0],
			endpoints: size[1],
			load:      0.7,
			slow:      0,
			silent:    -1,
			lying:     0,
		}, "slow_lying")
		add(scene{
			vms:       size[0],
			endpoints: size[1],
			load:      0.5,
			slow:      -1,
			silent:    -1,
			lying:     -1,
			foreign:   0.7,
		}, "foreign")
	}
	return all
}

// rig is one run of a scene.
type rig struct {
	scene
	clock   *enginetest.Clock
	random  *rand.Rand
	zipf    *rand.Zipf
	engines []*enginetest.Engine
	list    []fleet.Endpoint
	pools   []*routing.Pool
	first   *enginetest.Latencies
	from    time.Time
}

func (s scene) run(seed uint64) figures {
	r := &rig{
		scene:  s,
		clock:  enginetest.NewClock(),
		random: rand.New(rand.NewPCG(seed, 1)),
		first:  enginetest.NewLatencies(),
	}
	r.zipf = rand.NewZipf(r.random, 1.1, 5, uint64(12*s.endpoints-1))
	r.from = r.clock.Now().Add(warmUp)
	r.startEngines()
	r.startPools()
	end := r.clock.Now().Add(runFor)
	rate := s.load * float64(s.endpoints*engineSlots) / holdSeconds
	r.clock.Poisson(r.random, rate, end, r.arrive)
	if s.foreign > 0 {
		r.clock.Poisson(r.random, s.foreign*2*engineSlots/holdSeconds, end, r.arriveForeign)
	}
	r.clock.Run(end.Add(5 * time.Minute))
	prompt, cold := 0, 0
	for _, e := range r.engines {
		prompt += e.PromptTokens
		cold += e.ColdTokens
	}
	return figures{
		p50:  r.first.Milliseconds(50),
		p99:  r.first.Milliseconds(99),
		cold: 100 * float64(cold) / float64(prompt),
	}
}

func (r *rig) startEngines() {
	for i := range r.endpoints {
		e := &enginetest.Engine{
			Clock:    r.clock,
			Slots:    engineSlots,
			Speed:    100,
			Prefill:  8000,
			Prefixes: 10,
			Lies:     i == r.lying,
		}
		if i == r.slow {
			e.Speed /= 4
			e.Prefill /= 4
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

func (r *rig) startPools() {
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

func (r *rig) report(i int) {
	l := r.engines[i].Load()
	r.clock.After(reportLag, func() {
		for _, p := range r.pools {
			p.Report(r.list[i].ID, l, r.clock.Now())
		}
	})
}

// arriveForeign sends one call that no pool knows of.
func (r *rig) arriveForeign() {
	r.engines[r.random.IntN(2)].Send(enginetest.Job{
		PromptTokens: suffixTokens,
		Tokens:       20 + r.random.IntN(160),
		Priority:     call.PriorityChat,
		First:        func() {},
		End:          func(call.Usage) {},
	})
}

// arrive sends one call through the prefix's entry VM, or its second one.
func (r *rig) arrive() {
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
		First: func() {
			firstAt = r.clock.Now()
			if sentAt.After(r.from) {
				r.first.Add(firstAt.Sub(sentAt))
			}
		},
		End: func(u call.Usage) {
			r.pools[vm].Done(choice, routing.Outcome{
				Code:    result.Done,
				Usage:   u,
				Sent:    true,
				FirstAt: firstAt,
			}, r.clock.Now())
		},
	})
}
