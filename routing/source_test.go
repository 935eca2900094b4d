package routing

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// heldRow says that an engine was sent the beginning of a prompt up to a token.
type heldRow struct {
	Endpoint string
	Tokens   int
	AgeMS    int64 `json:"age_ms"`
}

// TestSource looks for a prompt of 500 and 4500 shared tokens in a region with
// engines a and b, and another one with x and y.
func TestSource(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, c := range datatest.Read[[]struct {
		Name  string
		Held  []heldRow
		Homes []string
		Gone  []string
		// Ring is the engine on whose place on the ring the prompt falls.
		Ring string
		Want struct {
			Addr   string
			Tokens int
		}
	}](t, "testdata/source.json") {
		t.Run(c.Name, func(t *testing.T) {
			p := New(Options{})
			p.SetEndpoints(enginesIn("near", "a", "b"), now)
			p.SetFar(enginesIn("far", "x", "y"))
			prefixes := Prefixes("", parts(9))
			for _, h := range c.Held {
				p.Learn([]Holding{holdingOf(h, prefixes, now)}, now)
			}
			p.SetFar(slices.DeleteFunc(enginesIn("far", "x", "y"), func(e fleet.Endpoint) bool {
				return slices.Contains(c.Gone, e.ID)
			}))
			got := p.source(p.byID[c.Ring], Request{Prefixes: prefixes, Homes: c.Homes}, now)
			assert.Equal(t, got.addr, c.Want.Addr)
			assert.Equal(t, got.tokens, c.Want.Tokens)
		})
	}
}

func enginesIn(region string, ids ...string) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, id := range ids {
		out = append(out, fleet.Endpoint{
			ID:     id,
			Addr:   "addr-" + id,
			Region: region,
			State:  fleet.StateLive,
		})
	}
	return out
}

func holdingOf(h heldRow, prefixes []Prefix, now time.Time) Holding {
	i := slices.IndexFunc(prefixes, func(p Prefix) bool { return p.Tokens == h.Tokens })
	return Holding{
		Hash:     prefixes[i].Hash,
		Tokens:   h.Tokens,
		Endpoint: h.Endpoint,
		UsedAt:   now.Add(-time.Duration(h.AgeMS) * time.Millisecond),
	}
}

// TestFetchFar holds that an engine fetches from another region what none of
// its own was sent, also the engine that such prompts go to, and that what
// another region holds is passed on and gets no calls.
func TestFetchFar(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(Options{})
	p.SetEndpoints(enginesIn("near", "a", "b"), now)
	p.SetFar(enginesIn("far", "x"))
	prefixes := Prefixes("", parts(9))
	p.Learn([]Holding{holdingOf(heldRow{Endpoint: "x", Tokens: 5000}, prefixes, now)}, now)
	r := Request{
		PrefixHash:   call.SharedPrefix("", parts(9)),
		Prefixes:     prefixes,
		PromptTokens: 6000,
	}
	first, ok := p.Choose(r, now)
	assert.Assert(t, ok)
	assert.Assert(t, first.Endpoint.ID != "x")
	assert.Equal(t, first.FetchFrom, "addr-x")
	assert.Equal(t, first.Cached, 5000)
	again, ok := p.Choose(r, now)
	assert.Assert(t, ok)
	assert.Equal(t, again.FetchFrom, "")

	assert.Equal(t, len(p.FarHoldings(now, 10)), 1)
	assert.Equal(t, len(p.FarHoldings(now.Add(time.Millisecond), 10)), 0)
}

// TestFarForgets holds that what other regions hold stays within its bound, and
// that the old is dropped first.
func TestFarForgets(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(Options{})
	p.SetFar(enginesIn("far", "x"))
	for i := range uint64(holdersMost) {
		p.Learn([]Holding{{Hash: i + 1, Tokens: 5000, Endpoint: "x", UsedAt: now}}, now)
	}
	later := now.Add(farGoodFor + time.Millisecond)
	p.Learn([]Holding{{Hash: holdersMost + 1, Tokens: 5000, Endpoint: "x", UsedAt: later}}, later)
	assert.Equal(t, len(p.far.holders), 1)
}
