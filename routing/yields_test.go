package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// A call that can be on time must not be expected to wait for queued late calls.
func TestLateCallsYield(t *testing.T) {
	late := call.Routed{MissesObjective: true}
	for _, c := range datatest.Read[[]struct {
		Name string
		// Waiting is the number of calls without a first token.
		Waiting int
		OnTime  bool  `json:"on_time"`
		Least   int64 `json:"least_ms"`
		Most    int64 `json:"most_ms"`
	}](t, "testdata/yields.json") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			p := New(Options{})
			list := enginesInRegion("near", "a")
			list[0].Slots = 2
			p.SetEndpoints(list, now)
			r := Request{
				Prefixes:     Prefixes("", promptParts(9)),
				PromptTokens: 5100,
			}
			if !c.OnTime {
				r.QueueLevel = late.QueueLevel()
			}
			for range c.Waiting {
				_, ok := p.Choose(r, now)
				assert.Assert(t, ok)
			}
			r.QueueLevel = 0
			e, ok := p.Expect(r, now)
			assert.Assert(t, ok)
			got := e.TTFT.Milliseconds()
			assert.Assert(t, got >= c.Least && got <= c.Most, "%d ms", got)
		})
	}
}
