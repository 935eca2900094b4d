package site

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

// oversizedRefusal returns the refusal of a call that exceeds the memory of every engine of
// this region, or nil. It names no retry time, as the call cannot be served later either.
func (n *Node) oversizedRefusal(c *call.Call) *result.Refusal {
	pool, ok := n.pools.find(c.Target())
	if !ok || !pool.Endpoints.Oversized(routing.Request{
		PromptTokens: c.PromptTokens,
		MaxTokens:    c.MaxTokens,
		AnswerTokens: c.Routed.AnswerTokens,
	}) {
		return nil
	}
	return result.Refuse(result.NoEndpoint, "the call needs more tokens than the memory of any engine has")
}

// memoryRatios returns the part of their memory that the engines of the region use: the
// mean and the highest, over all services.
func (p *pools) memoryRatios(now time.Time) (mean, highest float64) {
	var all routing.MemoryUse
	for _, pool := range p.all() {
		all = all.Add(pool.Endpoints.MemoryUse(now))
	}
	return all.Mean(), all.Highest
}
