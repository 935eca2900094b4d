package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// No policy may choose a paused endpoint, which must reopen when its time has passed.
func TestPausedEndpoint(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, policy := range []string{PolicyAffinity, PolicyRoundRobin, PolicyLeastInFlight} {
		p := New(Options{
			Policy: policy,
		})
		p.SetEndpoints([]fleet.Endpoint{{ID: "a"}, {ID: "b"}}, now)
		p.PauseUntil("a", now.Add(time.Second))
		for range 20 {
			c, ok := p.Choose(Request{}, now)
			assert.Assert(t, ok && c.Endpoint.ID == "b")
		}
		p.PauseUntil("b", now.Add(2*time.Second))
		_, ok := p.Choose(Request{AllowExcluded: true}, now)
		assert.Assert(t, !ok)
		_, ok = p.Expect(Request{}, now)
		assert.Assert(t, !ok)
		ids, opensAt := p.Paused(now)
		assert.Equal(t, len(ids), 2)
		assert.Equal(t, opensAt, now.Add(time.Second))
		c, ok := p.Choose(Request{}, opensAt)
		assert.Assert(t, ok && c.Endpoint.ID == "a")
		p.PauseUntil("b", time.Time{})
		ids, _ = p.Paused(opensAt)
		assert.Equal(t, len(ids), 0)
	}
}

// A tentative choice that was not sent must not count as holding the prompt's prefixes.
func TestTentativeChoice(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(Options{})
	p.SetEndpoints([]fleet.Endpoint{{ID: "a"}, {ID: "b"}}, now)
	r := Request{
		Prefixes: []Prefix{{
			Hash:   7,
			Tokens: 5000,
		}},
		PromptTokens: 6000,
		Tentative:    true,
	}
	c, ok := p.Choose(r, now)
	assert.Assert(t, ok)
	p.Done(c, Outcome{Canceled: true}, now)
	c, ok = p.Choose(r, now)
	assert.Assert(t, ok)
	assert.Equal(t, c.CachedTokens, 0)
	p.Confirm(c, r.Prefixes, now)
	r.Exclude[0] = c.Endpoint.ID
	again, ok := p.Choose(r, now)
	assert.Assert(t, ok)
	assert.Assert(t, again.FetchFrom == c.Endpoint.Addr && again.CachedTokens == 5000)
}
