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

// manyRow is one row of testdata/many_vms.json: as many VMs choose among engines as
// a region of a large fleet has, for prompts of which most begin like others.
type manyRow struct {
	Name      string
	VMs       int     `json:"vms"`
	Engines   int     `json:"engines"`
	PerSecond float64 `json:"per_second"`
	// Hears is the part of the VMs that hear each report, which engines give every second.
	Hears float64 `json:"hears"`
	// MostLate bounds the part of the calls whose first token comes after manyLate.
	MostLate float64 `json:"most_late"`
}

const (
	manyLate     = time.Second
	manyFor      = 20 * time.Second
	manyPrefixes = 540
	manyShared   = 5000
	manyOwn      = 1200.0
)

// TestManyVMs plays the rows. Where all VMs hear each report and their own calls weigh as
// much as among eight of them, 39.7% of the calls of the last row are late, and 35.5% with
// a weight by the VM's part of the load.
func TestManyVMs(t *testing.T) {
	for _, row := range datatest.Read[[]manyRow](t, "testdata/many_vms.json") {
		t.Run(row.Name, row.run)
	}
}

type manyWorld struct {
	row     manyRow
	clock   *enginetest.Clock
	random  *rand.Rand
	engines []*enginetest.Engine
	pools   []*routing.Pool
	own     uint64
	calls   int
	late    int
}

func (row manyRow) run(t *testing.T) {
	w := &manyWorld{
		row:    row,
		clock:  enginetest.NewClock(),
		random: rand.New(rand.NewPCG(5, 1)),
	}
	w.start()
	end := w.clock.Now().Add(manyFor)
	w.clock.Poisson(w.random, row.PerSecond, end, w.call)
	w.clock.Run(end.Add(time.Minute))
	late := float64(w.late) / float64(w.calls)
	t.Logf("late: %.3f of %d calls", late, w.calls)
	assert.Assert(t, late <= row.MostLate, "%.3f", late)
}

func engineID(i int) string {
	return fmt.Sprintf("engine-%d", i)
}

func (w *manyWorld) start() {
	var ids []string
	for i := range w.row.Engines {
		w.engines = append(w.engines, &enginetest.Engine{
			Clock:    w.clock,
			Slots:    64,
			Speed:    200,
			Prefill:  48_000,
			Prefixes: 30,
		})
		ids = append(ids, engineID(i))
	}
	w.pools = enginetest.Pools(w.row.VMs, ids, w.random, w.clock.Now())
	for i := range w.engines {
		w.clock.After(time.Duration(i)*time.Second/time.Duration(len(w.engines)), func() {
			w.clock.Every(time.Second, func() { w.report(i) })
		})
	}
}

func (w *manyWorld) report(i int) {
	load := w.engines[i].Load()
	for _, pool := range w.pools {
		if w.random.Float64() < w.row.Hears {
			pool.Report(engineID(i), load, w.clock.Now())
		}
	}
}

func (w *manyWorld) call() {
	pool := w.pools[w.random.IntN(len(w.pools))]
	w.own++
	prefix := 1 + w.random.Uint64N(manyPrefixes)
	own := 100 + int(w.random.ExpFloat64()*manyOwn)
	if w.random.IntN(20) == 0 {
		own *= 10
	}
	parts := []call.PromptPart{{ID: prefix, Tokens: manyShared}, {ID: 1_000_000 + w.own, Tokens: own}}
	choice, ok := pool.Choose(routing.Request{
		Prefixes:     routing.Prefixes("", parts),
		PrefixHash:   call.SharedPrefix("", parts),
		PromptTokens: manyShared + own,
		MaxTokens:    100,
	}, w.clock.Now())
	if !ok {
		return
	}
	sentAt := w.clock.Now()
	var firstAt time.Time
	w.engines[engineNumber(choice.Endpoint.ID)].Send(enginetest.Job{
		Prefix:       prefix,
		PrefixTokens: manyShared,
		PromptTokens: manyShared + own,
		Tokens:       100,
		First: func() {
			firstAt = w.clock.Now()
			pool.Began(choice, firstAt)
			w.calls++
			if firstAt.Sub(sentAt) > manyLate {
				w.late++
			}
		},
		End: func(u call.Usage) {
			pool.Done(choice, routing.Outcome{
				Code:    result.Done,
				Usage:   u,
				Sent:    true,
				FirstAt: firstAt,
			}, w.clock.Now())
		},
	})
}

func engineNumber(id string) int {
	var i int
	_, _ = fmt.Sscanf(id, "engine-%d", &i)
	return i
}
