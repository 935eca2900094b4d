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
	// loadReportPromptTokens. The VMs of a region share their prefill queues every
	// backlogShareInterval.
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
	engines map[string]*enginetest.PrefillServer
	pools   []*routing.Pool
	sent    *placement.SentTokens
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
	s := &overloadSim{
		row:     row,
		clock:   enginetest.NewClock(),
		random:  rand.New(rand.NewPCG(3, 1)),
		engines: make(map[string]*enginetest.PrefillServer),
		sent:    placement.NewSentTokens(),
	}
	s.start()
	end := s.clock.Now().Add(runDuration)
	s.clock.Poisson(s.random, row.Load*engineCount*prefillPerSecond/meanPromptTokens, end, s.sendCall)
	s.clock.Run(end.Add(time.Minute))
	part := float64(s.onTime) / float64(s.calls)
	t.Logf("on time: %.3f of %d calls", part, s.calls)
	assert.Assert(t, part >= row.Least && part <= row.Most, "%.3f", part)
}

func (s *overloadSim) start() {
	var ids []string
	for i := range engineCount {
		id := string(rune('a' + i))
		s.engines[id] = &enginetest.PrefillServer{
			Clock:     s.clock,
			PerSecond: prefillPerSecond,
		}
		ids = append(ids, id)
	}
	s.pools = enginetest.NewPools(2, ids, s.random, s.clock.Now())
	s.clock.Every(loadReportInterval, s.reportLoad)
	s.clock.Every(backlogShareInterval, s.shareBacklogs)
}

// reportLoad sends the serving region's expected latency to the sending region.
func (s *overloadSim) reportLoad() {
	now := s.clock.Now()
	expected, _ := s.pools[0].Expect(routing.Request{PromptTokens: loadReportPromptTokens}, now)
	supply := s.pools[0].Capacity(now)
	s.reportedLoad = placement.Load{
		Region:    "far",
		Endpoints: supply.Endpoints,
		TTFT:      expected.TTFT,
		RoundTrip: roundTrip,
	}
	s.reportedPrefillRate = supply.PrefillRate
	s.reportedAt = now
}

func (s *overloadSim) shareBacklogs() {
	now := s.clock.Now()
	for i, from := range s.pools {
		list, _ := from.PrefillQueues()
		s.pools[1-i].SetPeerQueues(string(rune('0'+i)), list, now, now)
	}
}

// sendCall sends a call to a random VM of the serving region.
func (s *overloadSim) sendCall() {
	s.nextPrefixID++
	s.calls++
	tokens := 100 + int(s.random.ExpFloat64()*(meanPromptTokens-100))
	deadline := s.clock.Now().Add(firstTokenObjective)
	senderExpectsLate := s.senderExpectsLate(tokens, deadline)
	s.sent.Add("far", "s", float64(tokens), s.clock.Now())
	s.clock.After(roundTrip/2, func() { s.receiveCall(tokens, deadline, senderExpectsLate) })
}

func (s *overloadSim) senderExpectsLate(tokens int, deadline time.Time) bool {
	if s.reportedAt.IsZero() {
		return false
	}
	load := s.reportedLoad
	extraTokens := float64(tokens-loadReportPromptTokens) + s.sent.Since("far", "s", s.reportedAt, 1)/float64(load.Endpoints)
	load.TTFT += time.Duration(extraTokens / s.reportedPrefillRate * float64(time.Second))
	return placement.MissesObjective(load, deadline, s.clock.Now())
}

func (s *overloadSim) receiveCall(tokens int, deadline time.Time, senderExpectsLate bool) {
	now := s.clock.Now()
	pool := s.pools[s.random.IntN(len(s.pools))]
	parts := []call.PromptPart{{ID: s.nextPrefixID, Tokens: 1}, {ID: s.nextPrefixID, Tokens: tokens - 1}}
	request := routing.Request{
		Prefixes:     routing.Prefixes("", parts),
		PromptTokens: tokens,
		MaxTokens:    20,
	}
	localDeadline := deadline.Add(roundTrip / 2)
	if s.row.Counted {
		localDeadline = deadline.Add(-roundTrip / 2)
	}
	routed := call.Routed{MissesObjective: senderExpectsLate}
	if s.row.Decides == "server" {
		expected, _ := pool.Expect(request, now)
		routed.MissesObjective = placement.MissesObjective(placement.Load{TTFT: expected.TTFT}, localDeadline, now)
	}
	request.QueueLevel = routed.QueueLevel()
	choice, ok := pool.Choose(request, now)
	if !ok {
		return
	}
	s.prefill(pool, choice, request, deadline)
}

func (s *overloadSim) prefill(pool *routing.Pool, choice routing.Choice, request routing.Request, deadline time.Time) {
	engine := s.engines[choice.Endpoint.ID]
	prompt := &enginetest.Prompt{
		Tokens:     float64(request.PromptTokens),
		QueueLevel: request.QueueLevel,
	}
	prompt.OnDone = func() {
		now := s.clock.Now()
		pool.FirstToken(choice, now)
		pool.Done(choice, routing.Outcome{Code: result.Done, Sent: true, FirstAt: now}, now)
		if !now.Add(roundTrip / 2).After(deadline) {
			s.onTime++
		}
	}
	engine.Send(prompt)
	s.clock.After(callerTimeout-roundTrip, func() {
		if engine.Drop(prompt) {
			pool.Done(choice, routing.Outcome{Code: result.EndpointTimeout, Sent: true, Canceled: true}, s.clock.Now())
		}
	})
}
