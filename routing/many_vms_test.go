package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/routing/enginetest"
)

// manyVMsRow is one row of testdata/many_vms.json: the VMs and engines of a large region,
// with prompts that mostly share prefixes.
type manyVMsRow struct {
	Name      string
	VMs       int     `json:"vms"`
	Engines   int     `json:"engines"`
	PerSecond float64 `json:"per_second"`
	// Hears is the fraction of the VMs that receive each report; engines report every
	// second.
	Hears float64 `json:"hears"`
	// MostLate bounds the fraction of the calls whose first token arrives after
	// manyVMsTTFTObjective.
	MostLate float64 `json:"most_late"`
}

const (
	manyVMsTTFTObjective    = time.Second
	manyVMsDuration         = 20 * time.Second
	manyVMsPrefixes         = 540
	manyVMsPrefixTokens     = 5000
	manyVMsMeanSuffixTokens = 1200.0
)

// With many VMs the extrapolation from one VM's few calls must not outweigh the load
// reports.
func TestManyVMs(t *testing.T) {
	for _, row := range datatest.Read[[]manyVMsRow](t, "testdata/many_vms.json") {
		t.Run(row.Name, row.run)
	}
}

type manyVMsSimulation struct {
	row        manyVMsRow
	clock      *enginetest.Clock
	random     *rand.Rand
	engines    []*enginetest.Engine
	pools      []*routing.Pool
	nextSuffix uint64
	calls      int
	late       int
}

func (row manyVMsRow) run(t *testing.T) {
	w := &manyVMsSimulation{
		row:    row,
		clock:  enginetest.NewClock(),
		random: rand.New(rand.NewPCG(5, 1)),
	}
	w.start()
	end := w.clock.Now().Add(manyVMsDuration)
	w.clock.Poisson(w.random, row.PerSecond, end, w.call)
	w.clock.Run(end.Add(time.Minute))
	late := float64(w.late) / float64(w.calls)
	t.Logf("late: %.3f of %d calls", late, w.calls)
	assert.Assert(t, late <= row.MostLate, "%.3f", late)
}

func engineID(i int) string {
	return fmt.Sprintf("engine-%d", i)
}

func (w *manyVMsSimulation) start() {
	var ids []string
	for i := range w.row.Engines {
		w.engines = append(w.engines, &enginetest.Engine{
			Clock:       w.clock,
			Slots:       64,
			DecodeRate:  200,
			PrefillRate: 48_000,
			CacheSize:   30,
		})
		ids = append(ids, engineID(i))
	}
	w.pools = enginetest.NewPools(w.row.VMs, ids, w.random, w.clock.Now())
	for i := range w.engines {
		w.clock.After(time.Duration(i)*time.Second/time.Duration(len(w.engines)), func() {
			w.clock.Every(time.Second, func() { w.report(i) })
		})
	}
}

func (w *manyVMsSimulation) report(i int) {
	load := w.engines[i].Load()
	for _, pool := range w.pools {
		if w.random.Float64() < w.row.Hears {
			pool.Report(engineID(i), load, w.clock.Now())
		}
	}
}

func (w *manyVMsSimulation) call() {
	pool := w.pools[w.random.IntN(len(w.pools))]
	w.nextSuffix++
	prefix := 1 + w.random.Uint64N(manyVMsPrefixes)
	own := 100 + int(w.random.ExpFloat64()*manyVMsMeanSuffixTokens)
	if w.random.IntN(20) == 0 {
		own *= 10
	}
	parts := []call.PromptPart{{ID: prefix, Tokens: manyVMsPrefixTokens}, {ID: 1_000_000 + w.nextSuffix, Tokens: own}}
	choice, ok := pool.Choose(routing.Request{
		Prefixes:     routing.Prefixes("", parts),
		PrefixHash:   call.SharedPrefix("", parts),
		PromptTokens: manyVMsPrefixTokens + own,
		MaxTokens:    100,
	}, w.clock.Now())
	if !ok {
		return
	}
	sentAt := w.clock.Now()
	var firstAt time.Time
	w.engines[engineIndex(choice.Endpoint.ID)].Send(enginetest.Job{
		Prefix:       prefix,
		PrefixTokens: manyVMsPrefixTokens,
		PromptTokens: manyVMsPrefixTokens + own,
		Tokens:       100,
		OnFirstToken: func() {
			firstAt = w.clock.Now()
			pool.FirstToken(choice, firstAt)
			w.calls++
			if firstAt.Sub(sentAt) > manyVMsTTFTObjective {
				w.late++
			}
		},
		OnEnd: func(u call.Usage) {
			pool.Done(choice, routing.Outcome{
				Code:    result.Done,
				Usage:   u,
				Sent:    true,
				FirstAt: firstAt,
			}, w.clock.Now())
		},
	})
}

func engineIndex(id string) int {
	var i int
	_, _ = fmt.Sscanf(id, "engine-%d", &i)
	return i
}
