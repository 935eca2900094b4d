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
	seeds           = 5
	vmCount         = 3
	engineCount     = 4
	engineSlots     = 8
	warmUp          = 60 * time.Second
	runDuration     = 360 * time.Second
	loadReportDelay = 300 * time.Millisecond
	// policyNone sends every call without admission control.
	policyNone = "open"
)

// callClass describes the calls of one priority. slotSeconds is about how long a call
// holds its slot.
type callClass struct {
	share                             float64
	promptTokens, prefixTokens        int
	minTokens, extraTokens, maxTokens int
	slotSeconds                       float64
	firstTokenWithin, completeWithin  time.Duration
}

var classes = [call.Priorities]callClass{
	call.PriorityUrgent: {
		share:            0.10,
		promptTokens:     120,
		prefixTokens:     100,
		minTokens:        10,
		extraTokens:      10,
		maxTokens:        32,
		slotSeconds:      0.35,
		firstTokenWithin: 500 * time.Millisecond,
		completeWithin:   2 * time.Second,
	},
	call.PriorityChat: {
		share:            0.50,
		promptTokens:     1100,
		prefixTokens:     1000,
		minTokens:        20,
		extraTokens:      160,
		maxTokens:        256,
		slotSeconds:      2,
		firstTokenWithin: 1500 * time.Millisecond,
		completeWithin:   10 * time.Second,
	},
	call.PriorityReport: {
		share:          0.40,
		promptTokens:   700,
		prefixTokens:   600,
		minTokens:      400,
		extraTokens:    800,
		maxTokens:      1500,
		slotSeconds:    16,
		completeWithin: 120 * time.Second,
	},
}

type workload struct {
	policy string
	load   float64
	// reportBurst makes the reports of each minute arrive within its first 10 seconds.
	reportBurst bool
	urgentOnly  bool
}

// BenchmarkDecision compares the policies; run it with -benchtime 1x.
func BenchmarkDecision(b *testing.B) {
	for _, load := range []float64{0.7, 1, 2} {
		for _, surge := range []bool{false, true} {
			for _, policy := range []string{PolicyPriority, PolicyBackfill, PolicyFIFO, policyNone} {
				s := workload{
					policy:      policy,
					load:        load,
					reportBurst: surge,
				}
				b.Run(fmt.Sprintf("load=%.0f/surge=%v/%s", 100*load, surge, policy), s.benchmark)
			}
		}
	}
	b.Run("urgent_alone", workload{
		policy:     PolicyPriority,
		load:       1,
		urgentOnly: true,
	}.benchmark)
}

func (w workload) benchmark(b *testing.B) {
	for b.Loop() {
		all := map[string][]float64{}
		for seed := range uint64(seeds) {
			for name, value := range w.run(seed + 1) {
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

// simulation is one run of a workload.
type simulation struct {
	workload
	clock       *enginetest.Clock
	random      *rand.Rand
	engines     []*enginetest.Engine
	endpoints   []fleet.Endpoint
	pools       []*routing.Pool
	queues      []*Queue
	measureFrom time.Time

	firstTokenLatency [call.Priorities]*enginetest.Latencies
	refusalLatency    *enginetest.Latencies
	arrived           [call.Priorities]float64
	inTime            [call.Priorities]float64
	late              [call.Priorities]float64
	// usefulSlotSeconds are the slot seconds spent on answers that met their deadlines.
	usefulSlotSeconds float64
}

func (w workload) run(seed uint64) map[string]float64 {
	s := &simulation{
		workload:       w,
		clock:          enginetest.NewClock(),
		random:         rand.New(rand.NewPCG(seed, 2)),
		refusalLatency: enginetest.NewLatencies(),
	}
	s.measureFrom = s.clock.Now().Add(warmUp)
	for p := range s.firstTokenLatency {
		s.firstTokenLatency[p] = enginetest.NewLatencies()
	}
	s.start()
	end := s.clock.Now().Add(runDuration)
	for p, c := range classes {
		if w.urgentOnly && call.Priority(p) != call.PriorityUrgent {
			continue
		}
		rate := w.load * c.share * engineCount * engineSlots / c.slotSeconds
		if w.reportBurst && call.Priority(p) == call.PriorityReport {
			s.clock.Every(time.Minute, func() {
				s.clock.Poisson(s.random, rate*6, s.clock.Now().Add(10*time.Second), func() { s.arrive(call.PriorityReport) })
			})
			continue
		}
		s.clock.Poisson(s.random, rate, end, func() { s.arrive(call.Priority(p)) })
	}
	s.clock.Run(end)
	measured := (runDuration - warmUp).Seconds()
	share := func(p call.Priority) float64 { return 100 * s.inTime[p] / max(s.arrived[p], 1) }
	return map[string]float64{
		"urgent_p99_ms": s.firstTokenLatency[call.PriorityUrgent].PercentileMS(99),
		"chat_p99_ms":   s.firstTokenLatency[call.PriorityChat].PercentileMS(99),
		"urgent_pct":    share(call.PriorityUrgent), "urgent_late": 100 * s.late[0] / max(s.arrived[0], 1), "chat_late": 100 * s.late[1] / max(s.arrived[1], 1),
		"chat_pct":       share(call.PriorityChat),
		"report_pct":     share(call.PriorityReport),
		"late_pct":       100 * (s.late[0] + s.late[1] + s.late[2]) / (s.arrived[0] + s.arrived[1] + s.arrived[2]),
		"goodput":        s.usefulSlotSeconds / measured / (engineCount * engineSlots),
		"refusal_p99_ms": s.refusalLatency.PercentileMS(99),
	}
}

func (s *simulation) start() {
	for i := range engineCount {
		s.engines = append(s.engines, &enginetest.Engine{
			Clock:       s.clock,
			Slots:       engineSlots,
			DecodeRate:  100,
			PrefillRate: 8000,
			CacheSize:   40,
		})
		s.endpoints = append(s.endpoints, fleet.Endpoint{
			ID:    fmt.Sprintf("endpoint-%d", i),
			Slots: engineSlots,
			State: fleet.StateLive,
		})
		s.clock.After(time.Duration(s.random.IntN(1000))*time.Millisecond, func() {
			s.clock.Every(time.Second, func() { s.reportLoad(i) })
		})
	}
	for range vmCount {
		p := routing.New(routing.Options{Rand: s.random.Uint64})
		p.SetVMs(vmCount)
		p.SetEndpoints(s.endpoints, s.clock.Now())
		q := New(Options{
			Policy: s.policy,
			Now:    s.clock.Now,
		}, p)
		q.schedule = s.clock.After
		s.pools = append(s.pools, p)
		s.queues = append(s.queues, q)
	}
}

func (s *simulation) reportLoad(i int) {
	l := s.engines[i].Load()
	s.clock.After(loadReportDelay, func() {
		for vm, p := range s.pools {
			p.Report(s.endpoints[i].ID, l, s.clock.Now())
			s.queues[vm].Reevaluate(s.clock.Now())
		}
	})
}

// arrive delivers a call to the primary or, in 30% of the cases, the secondary VM of
// its prefix.
func (s *simulation) arrive(p call.Priority) {
	c := classes[p]
	prefix := uint64(s.random.IntN(40)) + 1
	vm := int(prefix) % vmCount
	if s.random.IntN(10) < 3 {
		vm = (vm + 1) % vmCount
	}
	now := s.clock.Now()
	request := Request{
		Priority:     p,
		Deadline:     now.Add(c.completeWithin),
		PrefixHash:   prefix * 0x9e3779b97f4a7c15,
		PromptTokens: c.promptTokens,
		MaxTokens:    c.maxTokens,
	}
	if c.firstTokenWithin > 0 {
		request.FirstTokenDeadline = now.Add(c.firstTokenWithin)
	}
	if now.After(s.measureFrom) {
		s.arrived[p]++
	}
	tokens := c.minTokens + s.random.IntN(c.extraTokens)
	if s.policy == policyNone {
		choice, _ := s.pools[vm].Choose(request.routingRequest(), now)
		s.send(vm, request, prefix, tokens, Slot{Choice: choice}, now)
		return
	}
	s.queues[vm].enqueue(waiter{
		request: request,
		answer: func(a answer) {
			if a.refusal == nil {
				s.send(vm, request, prefix, tokens, a.slot, now)
			} else if now.After(s.measureFrom) {
				s.refusalLatency.Add(s.clock.Now().Sub(now))
			}
		},
	}, now)
}

func (s *simulation) send(vm int, request Request, prefix uint64, tokens int, slot Slot, arrivedAt time.Time) {
	p := request.Priority
	var firstAt time.Time
	i := slices.IndexFunc(s.endpoints, func(e fleet.Endpoint) bool { return e.ID == slot.Choice.Endpoint.ID })
	s.engines[i].Send(enginetest.Job{
		Prefix:       prefix,
		PrefixTokens: classes[p].prefixTokens,
		PromptTokens: request.PromptTokens,
		Tokens:       tokens,
		Priority:     p,
		OnFirstToken: func() {
			firstAt = s.clock.Now()
			if arrivedAt.After(s.measureFrom) {
				s.firstTokenLatency[p].Add(firstAt.Sub(arrivedAt))
			}
		},
		OnEnd: func(u call.Usage) {
			now := s.clock.Now()
			s.recordResult(request, firstAt, now, arrivedAt, tokens)
			o := routing.Outcome{
				Code:    result.Done,
				Usage:   u,
				Sent:    true,
				FirstAt: firstAt,
			}
			if s.policy == policyNone {
				s.pools[vm].Done(slot.Choice, o, now)
				return
			}
			s.queues[vm].Release(slot, o, now)
		},
	})
}

func (s *simulation) recordResult(request Request, firstAt, endAt, arrivedAt time.Time, tokens int) {
	if !arrivedAt.After(s.measureFrom) {
		return
	}
	p := request.Priority
	if endAt.After(request.Deadline) || (!request.FirstTokenDeadline.IsZero() && firstAt.After(request.FirstTokenDeadline)) {
		s.late[p]++
		return
	}
	s.inTime[p]++
	c := classes[p]
	s.usefulSlotSeconds += c.slotSeconds * float64(tokens) / (float64(c.minTokens) + float64(c.extraTokens)/2)
}
