package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
)

// TestYields lets calls of a late turn hold up an engine with two slots and looks at
// what a call that is on time may expect: the first token of one that does not
// wait for them.
func TestYields(t *testing.T) {
	late := call.Routed{Late: true}
	for _, c := range datatest.Read[[]struct {
		Name string
		// Waiting calls have no first token.
		Waiting int
		OnTime  bool  `json:"on_time"`
		Least   int64 `json:"least_ms"`
		Most    int64 `json:"most_ms"`
	}](t, "testdata/yields.json") {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1e9, 0)
			p := New(Options{})
			list := enginesIn("near", "a")
			list[0].Slots = 2
			p.SetEndpoints(list, now)
			r := Request{
				Prefixes:     Prefixes("", parts(9)),
				PromptTokens: 5100,
			}
			if !c.OnTime {
				r.Turn = late.Turn()
			}
			for range c.Waiting {
				_, ok := p.Choose(r, now)
				assert.Assert(t, ok)
			}
			r.Turn = 0
			e, ok := p.Expect(r, now)
			assert.Assert(t, ok)
			got := e.First.Milliseconds()
			assert.Assert(t, got >= c.Least && got <= c.Most, "%d ms", got)
		})
	}
}
