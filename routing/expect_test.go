package routing_test

import (
	"math/rand/v2"
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

// expectRow is one row of testdata/expect.json: VMs that have just started send
// prompts that share nothing to engines. The mean difference between the first
// token that callers were to expect and the one they got is bounded. With a rate
// learnt from single calls and a default of 4,000 tokens a second the rows came to
// 0.85, 6.5, 0.36, 17 and 0.57 s; they come to 0.009, 0.015, 0.047, 0.46 and 0.04.
type expectRow struct {
	Name           string
	VMs            int     `json:"vms"`
	Engines        int     `json:"engines"`
	PerSecond      float64 `json:"per_second"`
	PromptTokens   int     `json:"prompt_tokens"`
	ReadsPerSecond float64 `json:"reads_per_second"`
	MostWrong      string  `json:"most_wrong"`
	// One in ten prompts has LongTokens, where that is set. Told says that the VMs
	// tell each other what waits unread, and MostLate bounds the part of the other
	// calls whose first token comes after lateAfter.
	LongTokens int     `json:"long_tokens"`
	Told       bool    `json:"told"`
	MostLate   float64 `json:"most_late"`
}

// lateAfter is the objective of the calls with short prompts.
const lateAfter = 300 * time.Millisecond

const toldEvery = 40 * time.Millisecond

// expectFor is the time that is played from the start on.
const expectFor = 10 * time.Second

func TestExpectationsAfterStart(t *testing.T) {
	for _, row := range datatest.Read[[]expectRow](t, "testdata/expect.json") {
		t.Run(row.Name, row.run)
	}
}

// expectWorld is what one row plays.
type expectWorld struct {
	row     expectRow
	clock   *enginetest.Clock
	random  *rand.Rand
	engines map[string]*enginetest.Engine
	pools   []*routing.Pool
	prefix  uint64
	calls   int
	wrong   time.Duration
	short   int
	late    int
}

func (row expectRow) run(t *testing.T) {
	w := &expectWorld{
		row:     row,
		clock:   enginetest.NewClock(),
		random:  rand.New(rand.NewPCG(7, 1)),
		engines: make(map[string]*enginetest.Engine),
	}
	w.start()
	end := w.clock.Now().Add(expectFor)
	w.clock.Poisson(w.random, row.PerSecond, end, w.call)
	w.clock.Run(end.Add(time.Minute))
	most, err := time.ParseDuration(row.MostWrong)
	assert.NilError(t, err)
	mean := w.wrong / time.Duration(w.calls)
	t.Logf("mean difference of %d calls: %s", w.calls, mean)
	assert.Assert(t, mean <= most, "%s", mean)
	if row.MostLate > 0 {
		late := float64(w.late) / float64(w.short)
		t.Logf("late: %.3f of %d short calls", late, w.short)
		assert.Assert(t, late <= row.MostLate, "%.3f", late)
	}
}

func (w *expectWorld) start() {
	var ids []string
	for i := range w.row.Engines {
		id := string(rune('a' + i))
		w.engines[id] = &enginetest.Engine{
			Clock:    w.clock,
			Slots:    64,
			Speed:    200,
			Prefill:  w.row.ReadsPerSecond,
			Prefixes: 1,
		}
		ids = append(ids, id)
	}
	w.pools = enginetest.Pools(w.row.VMs, ids, w.random, w.clock.Now())
	w.clock.Every(500*time.Millisecond, w.report)
	if w.row.Told {
		w.clock.Every(toldEvery, w.tell)
	}
}

// tell lets each VM tell the others which prompts wait for its calls.
func (w *expectWorld) tell() {
	now := w.clock.Now()
	for i, from := range w.pools {
		list, _ := from.Unread()
		for j, to := range w.pools {
			if i != j {
				to.TakeUnread(string(rune('a'+i)), list, now, now)
			}
		}
	}
}

func (w *expectWorld) report() {
	for _, pool := range w.pools {
		for id, e := range w.engines {
			pool.Report(id, e.Load(), w.clock.Now())
		}
	}
}

// call sends one prompt of two parts, neither of which any other has.
func (w *expectWorld) call() {
	pool := w.pools[w.random.IntN(len(w.pools))]
	w.prefix++
	tokens := w.row.PromptTokens
	long := w.row.LongTokens > 0 && w.random.IntN(10) == 0
	if long {
		tokens = w.row.LongTokens
	}
	parts := []call.PromptPart{
		{ID: w.prefix, Tokens: 1},
		{ID: w.prefix, Tokens: tokens - 1},
	}
	choice, ok := pool.Choose(routing.Request{
		Prefixes:     routing.Prefixes("", parts),
		PrefixHash:   call.SharedPrefix("", parts),
		PromptTokens: tokens,
		MaxTokens:    100,
	}, w.clock.Now())
	if !ok {
		return
	}
	sentAt := w.clock.Now()
	var firstAt time.Time
	w.engines[choice.Endpoint.ID].Send(enginetest.Job{
		Prefix:       w.prefix,
		PromptTokens: tokens,
		Tokens:       100,
		First: func() {
			firstAt = w.clock.Now()
			pool.Began(choice, firstAt)
			w.calls++
			w.wrong += (firstAt.Sub(sentAt) - choice.First).Abs()
			if !long {
				w.short++
				if firstAt.Sub(sentAt) > lateAfter {
					w.late++
				}
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

// TestAnswerTokens holds that a call is expected to be as long as its caller says, and
// not longer than it may be; without a word, as long as others were.
func TestAnswerTokens(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, c := range datatest.Read[[]struct {
		Name         string
		MaxTokens    int `json:"max_tokens"`
		AnswerTokens int `json:"answer_tokens"`
		Answer       float64
		Long         float64
	}](t, "testdata/answers.json") {
		t.Run(c.Name, func(t *testing.T) {
			p := routing.New(routing.Options{})
			p.SetEndpoints([]fleet.Endpoint{{ID: "a", Slots: 64, State: fleet.StateLive}}, now)
			e, ok := p.Expect(routing.Request{
				MaxTokens:    c.MaxTokens,
				AnswerTokens: c.AnswerTokens,
			}, now)
			assert.Assert(t, ok)
			assert.Equal(t, e.Answer, c.Answer)
			assert.Equal(t, e.Long, c.Long)
		})
	}
}
