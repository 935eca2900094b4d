package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/placement"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/routing/enginetest"
)

const (
	// Callers give up when no token has arrived after callerTimeout.
	firstTokenObjective = 600 * time.Millisecond
	callerTimeout       = 2400 * time.Millisecond
	roundTrip           = 110 * time.Millisecond
	// Regions report their load every loadReportInterval, measured for a prompt of
	// loadReportPromptTokens. The VMs of a region share their backlogs of unread
	// prompts every backlogShareInterval.
	loadReportInterval     = time.Second
	loadReportPromptTokens = 1000
	backlogShareInterval   = 40 * time.Millisecond
	meanPromptTokens       = 1300.0
	prefillPerSecond       = 50_000
	engineCount            = 3
	runDuration            = 30 * time.Second
)

// overloadRow is one row of testdata/overload.json: a region without engines sends all
// its calls to another region. Load is the demand as a multiple of the engines' prefill
// capacity. Decides says whether the sending or the serving region marks calls as late,
// and Counted whether the network round trip is subtracted from the objective. Least
// and Most bound the share of calls whose first token arrives within the objective.
type overloadRow struct {
	Name    string
	Load    float64
	Decides string
	Counted bool
	Least   float64
	Most    float64
}

// TestOverload checks that marking late calls in the serving region, with the round
// trip subtracted from the objective, keeps most calls on time under overload, and that
// the alternatives do not.
func TestOverload(t *testing.T) {
	for _, row := range datatest.Read[[]overloadRow](t, "testdata/overload.json") {
		t.Run(row.Name, row.run)
	}
}

// overloadSim simulates one row.
type overloadSim struct {
	row     overloadRow
	clock   *enginetest.Clock
	random  *rand.Rand
	engines map[string]*enginetest.Reader
	pools   []*routing.Pool
	sent    *placement.Sent
	// reportedLoad is the latest load report of the serving region, and
	// reportedPrefillRate the tokens its engines prefill in a second.
	reportedLoad        placement.Load
	reportedPrefillRate float64
	reportedAt          time.Time
	nextPrefixID        uint64
	calls               int
	onTime              int
}

func (row overloadRow) run(t *testing.T) {
	w := &overloadSim{
		row:     row,
		clock:   enginetest.NewClock(),
		random:  rand.New(rand.NewPCG(3, 1)),
		engines: make(map[string]*enginetest.Reader),
		sent:    placement.NewSent(),
	}
	w.start()
	end := w.clock.Now().Add(runDuration)
	w.clock.Poisson(w.random, row.Load*engineCount*prefillPerSecond/meanPromptTokens, end, w.sendCall)
	w.clock.Run(end.Add(time.Minute))
	part := float64(w.onTime) / float64(w.calls)
	t.Logf("on time: %.3f of %d calls", part, w.calls)
	assert.Assert(t, part >= row.Least && part <= row.Most, "%.3f", part)
}

func (w *overloadSim) start() {
	var ids []string
	for i := range engineCount {
		id := string(rune('a' + i))
		w.engines[id] = &enginetest.Reader{
			Clock:     w.clock,
			PerSecond: prefillPerSecond,
		}
		ids = append(ids, id)
	}
	w.pools = enginetest.Pools(2, ids, w.random, w.clock.Now())
	w.clock.Every(loadReportInterval, w.reportLoad)
	w.clock.Every(backlogShareInterval, w.shareBacklogs)
}

// reportLoad sends the serving region's expected latency to the sending region.
func (w *overloadSim) reportLoad() {
	now := w.clock.Now()
	expected, _ := w.pools[0].Expect(routing.Request{PromptTokens: loadReportPromptTokens}, now)
	supply := w.pools[0].Supply(now)
	w.reportedLoad = placement.Load{
		Region:    "far",
		Endpoints: supply.Endpoints,
		First:     expected.First,
		Way:       roundTrip,
	}
	w.reportedPrefillRate = supply.PrefillPerSecond
	w.reportedAt = now
}

func (w *overloadSim) shareBacklogs() {
	now := w.clock.Now()
	for i, from := range w.pools {
		list, _ := from.Unread()
		w.pools[1-i].TakeUnread(string(rune('0'+i)), list, now, now)
	}
}

// sendCall sends a call to a random VM of the serving region.
func (w *overloadSim) sendCall() {
	w.nextPrefixID++
	w.calls++
	tokens := 100 + int(w.random.ExpFloat64()*(meanPromptTokens-100))
	deadline := w.clock.Now().Add(firstTokenObjective)
	senderExpectsLate := w.senderExpectsLate(tokens, deadline)
	w.sent.Add("far", "s", float64(tokens), w.clock.Now())
	w.clock.After(roundTrip/2, func() { w.receiveCall(tokens, deadline, senderExpectsLate) })
}

func (w *overloadSim) senderExpectsLate(tokens int, deadline time.Time) bool {
	if w.reportedAt.IsZero() {
		return false
	}
	load := w.reportedLoad
	extraTokens := float64(tokens-loadReportPromptTokens) + w.sent.Since("far", "s", w.reportedAt, 1)/float64(load.Endpoints)
	load.First += time.Duration(extraTokens / w.reportedPrefillRate * float64(time.Second))
	return placement.Yields(load, deadline, w.clock.Now())
}

func (w *overloadSim) receiveCall(tokens int, deadline time.Time, senderExpectsLate bool) {
	now := w.clock.Now()
	pool := w.pools[w.random.IntN(len(w.pools))]
	parts := []call.PromptPart{{ID: w.nextPrefixID, Tokens: 1}, {ID: w.nextPrefixID, Tokens: tokens - 1}}
	request := routing.Request{
		Prefixes:     routing.Prefixes("", parts),
		PromptTokens: tokens,
		MaxTokens:    20,
	}
	localDeadline := deadline.Add(roundTrip / 2)
	if w.row.Counted {
		localDeadline = deadline.Add(-roundTrip / 2)
	}
	routed := call.Routed{Late: senderExpectsLate}
	if w.row.Decides == "server" {
		expected, _ := pool.Expect(request, now)
		routed.Late = placement.Yields(placement.Load{First: expected.First}, localDeadline, now)
	}
	request.Turn = routed.Turn()
	choice, ok := pool.Choose(request, now)
	if !ok {
		return
	}
	w.prefill(pool, choice, request, deadline)
}

func (w *overloadSim) prefill(pool *routing.Pool, choice routing.Choice, request routing.Request, deadline time.Time) {
	engine := w.engines[choice.Endpoint.ID]
	prompt := &enginetest.Prompt{
		Tokens: float64(request.PromptTokens),
		Turn:   request.Turn,
	}
	prompt.Read = func() {
		now := w.clock.Now()
		pool.Began(choice, now)
		pool.Done(choice, routing.Outcome{Code: result.Done, Sent: true, FirstAt: now}, now)
		if !now.Add(roundTrip / 2).After(deadline) {
			w.onTime++
		}
	}
	engine.Send(prompt)
	w.clock.After(callerTimeout-roundTrip, func() {
		if engine.Drop(prompt) {
			pool.Done(choice, routing.Outcome{Code: result.EndpointTimeout, Sent: true, Canceled: true}, w.clock.Now())
		}
	})
}
