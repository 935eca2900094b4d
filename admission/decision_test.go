package admission

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
	seeds       = 5
	vms         = 3
	engines     = 4
	engineSlots = 8
	warmUp      = 60 * time.Second
	runFor      = 360 * time.Second
	reportLag   = 300 * time.Millisecond
	// policyOpen sends every call at once, as without admission.
	policyOpen = "open"
)

// class is one kind of calls. hold is about the seconds one keeps a slot.
type class struct {
	part                float64
	prompt, prefix      int
	tokens, more, bound int
	hold                float64
	firstBy, wholeBy    time.Duration
}

var classes = [call.Priorities]class{
	call.PriorityUrgent: {
		part:    0.10,
		prompt:  120,
		prefix:  100,
		tokens:  10,
		more:    10,
		bound:   32,
		hold:    0.35,
		firstBy: 500 * time.Millisecond,
		wholeBy: 2 * time.Second,
	},
	call.PriorityChat: {
		part:    0.50,
		prompt:  1100,
		prefix:  1000,
		tokens:  20,
		more:    160,
		bound:   256,
		hold:    2,
		firstBy: 1500 * time.Millisecond,
		wholeBy: 10 * time.Second,
	},
	call.PriorityReport: {
		part:    0.40,
		prompt:  700,
		prefix:  600,
		tokens:  400,
		more:    800,
		bound:   1500,
		hold:    16,
		wholeBy: 120 * time.Second,
	},
}

type scene struct {
	policy string
	load   float64
	// surge ends the reports' steady arrival: all of a minute come in its first seconds.
	surge bool
	alone bool
}

// BenchmarkDecision compares the policies; run it with -benchtime 1x.
func BenchmarkDecision(b *testing.B) {
	for _, load := range []float64{0.7, 1, 2} {
		for _, surge := range []bool{false, true} {
			for _, policy := range []string{PolicyPriority, PolicyBackfill, PolicyFIFO, policyOpen} {
				s := scene{
					policy: policy,
					load:   load,
					surge:  surge,
				}
				b.Run(fmt.Sprintf("load=%.0f/surge=%v/%s", 100*load, surge, policy), s.benchmark)
			}
		}
	}
	b.Run("urgent_alone", scene{
		policy: PolicyPriority,
		load:   1,
		alone:  true,
	}.benchmark)
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

// rig is one run of a scene.
type rig struct {
	scene
	clock   *enginetest.Clock
	random  *rand.Rand
	engines []*enginetest.Engine
	list    []fleet.Endpoint
	pools   []*routing.Pool
	queues  []*Queue
	from    time.Time

	first   [call.Priorities]*enginetest.Latencies
	refusal *enginetest.Latencies
	came    [call.Priorities]float64
	inTime  [call.Priorities]float64
	late    [call.Priorities]float64
	// work is the slot seconds of answers in time.
	work float64
}

func (s scene) run(seed uint64) map[string]float64 {
	r := &rig{
		scene:   s,
		clock:   enginetest.NewClock(),
		random:  rand.New(rand.NewPCG(seed, 2)),
		refusal: enginetest.NewLatencies(),
	}
	r.from = r.clock.Now().Add(warmUp)
	for p := range r.first {
		r.first[p] = enginetest.NewLatencies()
	}
	r.start()
	end := r.clock.Now().Add(runFor)
	for p, c := range classes {
		if s.alone && call.Priority(p) != call.PriorityUrgent {
			continue
		}
		rate := s.load * c.part * engines * engineSlots / c.hold
		if s.surge && call.Priority(p) == call.PriorityReport {
			r.clock.Every(time.Minute, func() {
				r.clock.Poisson(r.random, rate*6, r.clock.Now().Add(10*time.Second), func() { r.arrive(call.PriorityReport) })
			})
			continue
		}
		r.clock.Poisson(r.random, rate, end, func() { r.arrive(call.Priority(p)) })
	}
	r.clock.Run(end)
	measured := (runFor - warmUp).Seconds()
	share := func(p call.Priority) float64 { return 100 * r.inTime[p] / max(r.came[p], 1) }
	return map[string]float64{
		"urgent_p99_ms": r.first[call.PriorityUrgent].Milliseconds(99),
		"chat_p99_ms":   r.first[call.PriorityChat].Milliseconds(99),
		"urgent_pct":    share(call.PriorityUrgent), "urgent_late": 100 * r.late[0] / max(r.came[0], 1), "chat_late": 100 * r.late[1] / max(r.came[1], 1),
		"chat_pct":       share(call.PriorityChat),
		"report_pct":     share(call.PriorityReport),
		"late_pct":       100 * (r.late[0] + r.late[1] + r.late[2]) / (r.came[0] + r.came[1] + r.came[2]),
		"goodput":        r.work / measured / (engines * engineSlots),
		"refusal_p99_ms": r.refusal.Milliseconds(99),
	}
}

func (r *rig) start() {
	for i := range engines {
		r.engines = append(r.engines, &enginetest.Engine{
			Clock:    r.clock,
			Slots:    engineSlots,
			Speed:    100,
			Prefill:  8000,
			Prefixes: 40,
		})
		r.list = append(r.list, fleet.Endpoint{
			ID:    fmt.Sprintf("endpoint-%d", i),
			Slots: engineSlots,
			State: fleet.StateLive,
		})
		r.clock.After(time.Duration(r.random.IntN(1000))*time.Millisecond, func() {
			r.clock.Every(time.Second, func() { r.report(i) })
		})
	}
	for range vms {
		p := routing.New(routing.Options{Rand: r.random.Uint64})
		p.SetVMs(vms)
		p.SetEndpoints(r.list, r.clock.Now())
		q := New(Options{
			Policy: r.policy,
			Now:    r.clock.Now,
		}, p)
		q.schedule = r.clock.After
		r.pools = append(r.pools, p)
		r.queues = append(r.queues, q)
	}
}

func (r *rig) report(i int) {
	l := r.engines[i].Load()
	r.clock.After(reportLag, func() {
		for vm, p := range r.pools {
			p.Report(r.list[i].ID, l, r.clock.Now())
			r.queues[vm].Poke(r.clock.Now())
		}
	})
}

// arrive brings one call to the entry VM of its prefix or to the second one.
func (r *rig) arrive(p call.Priority) {
	c := classes[p]
	prefix := uint64(r.random.IntN(40)) + 1
	vm := int(prefix) % vms
	if r.random.IntN(10) < 3 {
		vm = (vm + 1) % vms
	}
	now := r.clock.Now()
	request := Request{
		Priority:     p,
		WholeBy:      now.Add(c.wholeBy),
		PrefixHash:   prefix * 0x9e3779b97f4a7c15,
		PromptTokens: c.prompt,
		MaxTokens:    c.bound,
	}
	if c.firstBy > 0 {
		request.FirstBy = now.Add(c.firstBy)
	}
	if now.After(r.from) {
		r.came[p]++
	}
	tokens := c.tokens + r.random.IntN(c.more)
	if r.policy == policyOpen {
		choice, _ := r.pools[vm].Choose(request.routing(), now)
		r.send(vm, request, prefix, tokens, Slot{Choice: choice}, now)
		return
	}
	r.queues[vm].arrive(waiter{
		request: request,
		answer: func(a answer) {
			if a.refusal == nil {
				r.send(vm, request, prefix, tokens, a.slot, now)
			} else if now.After(r.from) {
				r.refusal.Add(r.clock.Now().Sub(now))
			}
		},
	}, now)
}

func (r *rig) send(vm int, request Request, prefix uint64, tokens int, slot Slot, cameAt time.Time) {
	p := request.Priority
	var firstAt time.Time
	i := slices.IndexFunc(r.list, func(e fleet.Endpoint) bool { return e.ID == slot.Choice.Endpoint.ID })
	r.engines[i].Send(enginetest.Job{
		Prefix:       prefix,
		PrefixTokens: classes[p].prefix,
		PromptTokens: request.PromptTokens,
		Tokens:       tokens,
		Priority:     p,
		First: func() {
			firstAt = r.clock.Now()
			if cameAt.After(r.from) {
				r.first[p].Add(firstAt.Sub(cameAt))
			}
		},
		End: func(u call.Usage) {
			now := r.clock.Now()
			r.count(request, firstAt, now, cameAt, tokens)
			o := routing.Outcome{
				Code:    result.Done,
				Usage:   u,
				Sent:    true,
				FirstAt: firstAt,
			}
			if r.policy == policyOpen {
				r.pools[vm].Done(slot.Choice, o, now)
				return
			}
			r.queues[vm].Release(slot, o, now)
		},
	})
}

func (r *rig) count(request Request, firstAt, endAt, cameAt time.Time, tokens int) {
	if !cameAt.After(r.from) {
		return
	}
	p := request.Priority
	if endAt.After(request.WholeBy) || (!request.FirstBy.IsZero() && firstAt.After(request.FirstBy)) {
		r.late[p]++
		return
	}
	r.inTime[p]++
	c := classes[p]
	r.work += c.hold * float64(tokens) / (float64(c.tokens) + float64(c.more)/2)
}
