package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

var start = time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)

func endpoints(n, slots int) []fleet.Endpoint {
	list := make([]fleet.Endpoint, n)
	for i := range list {
		list[i] = fleet.Endpoint{
			ID:    fmt.Sprintf("e%d", i),
			Addr:  fmt.Sprintf("127.0.0.1:%d", 1000+i),
			Model: "tee-time",
			Slots: slots,
			State: fleet.StateLive,
		}
	}
	return list
}

func TestChooseAllocatesNothing(t *testing.T) {
	for _, n := range []int{10, 600} {
		p := New(Options{})
		p.SetEndpoints(endpoints(n, 16), start)
		r := Request{
			PrefixHash:   7,
			PromptTokens: 300,
			MaxTokens:    50,
			Priority:     call.PriorityChat,
		}
		allocs := testing.AllocsPerRun(200, func() {
			c, ok := p.Choose(r, start)
			assert.Assert(t, ok)
			p.Done(c, Outcome{Code: result.Done, Sent: true, FirstAt: start}, start)
		})
		assert.Equal(t, allocs, 0.0)
	}
}
