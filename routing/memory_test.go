package routing_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/routing/enginetest"
)

// memoryRow is one row of testdata/memory.json: VMs send long prompts and short questions
// to engines whose memory is full before their slots are.
type memoryRow struct {
	Name    string
	VMs     int `json:"vms"`
	Engines int
	Memory  int
	// LongPerSecond and ShortPerSecond are the rates for each engine.
	LongPerSecond  float64 `json:"long_per_second"`
	ShortPerSecond float64 `json:"short_per_second"`
	// ReportEvery is the interval of reports, and ReportLag their delay.
	ReportEvery string `json:"report_every"`
	ReportLag   string `json:"report_lag"`
	// VMStarts lets the last VM start in the middle.
	VMStarts bool `json:"vm_starts"`
	// Silent engines report no memory.
	Silent bool
	// Seeds are the runs to add up; with the mechanism fewer calls must be preempted, and not
	// more be late, than without. Late calls are rare: they are compared over all seeds only.
	Seeds []uint64
}

const (
	memoryDuration       = 30 * time.Second
	memoryWarmUp         = 10 * time.Second
	memoryShareInterval  = 200 * time.Millisecond
	memoryCachedPrefixes = 8
	memoryDecodeRate     = 65
)

// memoryCall is a kind of calls, with its numbers of tokens, its objective for the first
// token and its deadline.
type memoryCall struct {
	prompt, shared, answer int
	objective, deadline    time.Duration
}

var (
	longPrompt = memoryCall{
		prompt:    11_992,
		shared:    5_382,
		answer:    385,
		objective: 1500 * time.Millisecond,
		deadline:  12 * time.Second,
	}
	shortQuestion = memoryCall{
		prompt:    826,
		shared:    198,
		answer:    286,
		objective: time.Second,
		deadline:  10 * time.Second,
	}
)

// Engines must not be sent more long prompts than their memory holds while others have room.
func TestEngineMemory(t *testing.T) {
	t.Parallel()
	for _, row := range datatest.Read[[]memoryRow](t, "testdata/memory.json") {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			with, without := row.run(t, false), row.run(t, true)
			t.Logf("with %s; without %s", with, without)
			if row.Silent {
				assert.Equal(t, with, without)
				return
			}
			assert.Assert(t, with.preempted < without.preempted)
			if len(row.Seeds) <= maxMemorySeeds {
				assert.Assert(t, with.late <= without.late)
			}
		})
	}
}

// memoryResult counts calls, and preemptions of runs.
type memoryResult struct {
	calls, ended, preempted, late, refused int
}

func (r *memoryResult) add(other memoryResult) {
	r.calls += other.calls
	r.ended += other.ended
	r.preempted += other.preempted
	r.late += other.late
	r.refused += other.refused
}

// String formats the fractions of preempted runs, and of late and refused calls.
func (r memoryResult) String() string {
	calls := float64(r.calls) / 100
	return fmt.Sprintf("preempted %.1f%% of %d, late %.1f%%, refused %.1f%% of %d", 100*float64(r.preempted)/float64(r.ended),
		r.ended, float64(r.late)/calls, float64(r.refused)/calls, r.calls)
}

type memorySimulation struct {
	clock  *enginetest.Clock
	random *rand.Rand
	// pickRandom is for the pools, so that runs with and without the mechanism have the same calls.
	pickRandom *rand.Rand
	engines    map[string]*enginetest.MemoryEngine
	pools      []*routing.Pool
	row        memoryRow
	// accepting is the number of VMs that get calls.
	accepting    int
	nextSuffix   uint64
	measuredFrom time.Time
	result       *memoryResult
}

// run adds up the results of the seeds, which are played side by side.
func (row memoryRow) run(t *testing.T, without bool) memoryResult {
	every, err := time.ParseDuration(row.ReportEvery)
	assert.NilError(t, err)
	lag, err := time.ParseDuration(row.ReportLag)
	assert.NilError(t, err)
	results := make([]memoryResult, min(len(row.Seeds), maxMemorySeeds))
	var plays sync.WaitGroup
	for i := range results {
		plays.Go(func() { results[i] = row.play(row.Seeds[i], every, lag, without) })
	}
	plays.Wait()
	var sum memoryResult
	for _, r := range results {
		sum.add(r)
	}
	return sum
}

func (row memoryRow) play(seed uint64, every, lag time.Duration, without bool) memoryResult {
	var played memoryResult
	w := &memorySimulation{
		clock:      enginetest.NewClock(),
		random:     rand.New(rand.NewPCG(seed, 1)),
		pickRandom: rand.New(rand.NewPCG(seed, 2)),
		engines:    make(map[string]*enginetest.MemoryEngine),
		row:        row,
		accepting:  row.VMs,
		result:     &played,
	}
	w.start(every, lag, without)
	w.measuredFrom = w.clock.Now().Add(memoryWarmUp)
	end := w.clock.Now().Add(memoryDuration)
	engines := float64(row.Engines)
	w.clock.Poisson(w.random, row.LongPerSecond*engines, end, func() { w.call(longPrompt) })
	w.clock.Poisson(w.random, row.ShortPerSecond*engines, end, func() { w.call(shortQuestion) })
	w.clock.Run(end.Add(memoryDuration))
	for _, e := range w.engines {
		played.preempted += e.Preempted
	}
	return played
}

func (w *memorySimulation) start(every, lag time.Duration, without bool) {
	var list []fleet.Endpoint
	for i := range w.row.Engines {
		id := engineID(i)
		w.engines[id] = enginetest.NewMemoryEngine(enginetest.Engine{
			Clock:       w.clock,
			Slots:       64,
			DecodeRate:  memoryDecodeRate,
			PrefillRate: 48_200,
			CacheSize:   memoryCachedPrefixes,
		}, w.row.Memory)
		list = append(list, fleet.Endpoint{
			ID:    id,
			Slots: 64,
			State: fleet.StateLive,
		})
		w.clock.After(every*time.Duration(i)/time.Duration(w.row.Engines), func() {
			w.clock.Every(every, func() { w.report(id, lag) })
		})
	}
	for range w.row.VMs {
		pool := routing.New(routing.Options{
			Rand:     w.pickRandom.Uint64,
			Disabled: routing.DisabledFeatures{Memory: without},
		})
		pool.SetVMs(w.row.VMs)
		pool.SetEndpoints(list, w.clock.Now())
		w.pools = append(w.pools, pool)
	}
	w.clock.Every(memoryShareInterval, w.shareQueues)
	if w.row.VMStarts {
		w.accepting--
		w.clock.After(memoryDuration/2, func() { w.accepting++ })
	}
}

// shareQueues sends each VM's prefill queues to the other VMs.
func (w *memorySimulation) shareQueues() {
	now := w.clock.Now()
	for i, from := range w.pools[:w.accepting] {
		list, _ := from.PrefillQueues()
		for j, to := range w.pools[:w.accepting] {
			if i != j {
				to.SetPeerQueues(engineID(i), list, now, now)
			}
		}
	}
}

func (w *memorySimulation) report(id string, lag time.Duration) {
	load := w.engines[id].Load()
	if !w.row.Silent {
		load.CacheTokens = w.row.Memory
		load.CacheUsed = w.engines[id].Used()
	}
	w.clock.After(lag, func() {
		for _, pool := range w.pools[:w.accepting] {
			pool.Report(id, load, w.clock.Now())
		}
	})
}

// call sends one call, unless it is expected to miss its objective or deadline.
func (w *memorySimulation) call(k memoryCall) {
	now := w.clock.Now()
	pool := w.pools[w.random.IntN(w.accepting)]
	w.nextSuffix++
	prefix := 1 + w.random.Uint64N(uint64(w.row.Engines))
	parts := []call.PromptPart{{ID: prefix<<32 + uint64(k.shared), Tokens: k.shared}, {ID: w.nextSuffix, Tokens: k.prompt - k.shared}}
	request := routing.Request{
		Prefixes:     routing.Prefixes("", parts),
		PrefixHash:   call.SharedPrefix("", parts),
		PromptTokens: k.prompt,
		MaxTokens:    2 * k.answer,
		AnswerTokens: k.answer,
	}
	counted := &memoryResult{}
	if now.After(w.measuredFrom) {
		counted = w.result
	}
	counted.calls++
	expected, ok := pool.Expect(request, now)
	if !ok || expected.TTFT > k.objective || expected.TotalTime() > k.deadline {
		counted.refused++
		return
	}
	choice, _ := pool.Choose(request, now)
	var firstAt time.Time
	w.engines[choice.Endpoint.ID].Send(enginetest.Job{
		Prefix:       request.PrefixHash,
		PrefixTokens: k.shared,
		PromptTokens: k.prompt,
		Tokens:       k.answer,
		OnFirstToken: func() {
			firstAt = w.clock.Now()
			pool.FirstToken(choice, firstAt)
		},
		OnEnd: func(u call.Usage) {
			at := w.clock.Now()
			w.result.ended++
			if firstAt.Sub(now) > k.objective || at.Sub(now) > k.deadline {
				counted.late++
			}
			pool.Done(choice, routing.Outcome{
				Code:    result.Done,
				Usage:   u,
				Sent:    true,
				FirstAt: firstAt,
			}, at)
		},
	})
}
