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

// holdingRow states that an engine was sent a prefix of Tokens tokens.
type holdingRow struct {
	Endpoint string
	Tokens   int
	AgeMS    int64 `json:"age_ms"`
}

// The source must be the allowed engine with the longest prefix. Engines a and b are in
// this region, x and y in another one.
func TestFindSource(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, c := range datatest.Read[[]struct {
		Name  string
		Held  []holdingRow
		Homes []string
		Gone  []string
		// Ring is the prefix's primary on the ring.
		Ring string
		Want struct {
			Addr   string
			Tokens int
		}
	}](t, "testdata/source.json") {
		t.Run(c.Name, func(t *testing.T) {
			p := New(Options{})
			p.SetEndpoints(enginesInRegion("near", "a", "b"), now)
			p.SetReachableRegions([]string{"far"})
			p.UpdateRemote(enginesInRegion("far", "x", "y"), nil)
			prefixes := Prefixes("", promptParts(9))
			for _, h := range c.Held {
				p.AddHoldings([]Holding{newHolding(h, prefixes, now)}, now)
			}
			p.UpdateRemote(nil, c.Gone)
			got := p.findSource(p.byID[c.Ring], Request{Prefixes: prefixes, Homes: c.Homes}, now)
			assert.Equal(t, got.addr, c.Want.Addr)
			assert.Equal(t, got.tokens, c.Want.Tokens)
		})
	}
}

func enginesInRegion(region string, ids ...string) []fleet.Endpoint {
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

func newHolding(h holdingRow, prefixes []Prefix, now time.Time) Holding {
	i := slices.IndexFunc(prefixes, func(p Prefix) bool { return p.Tokens == h.Tokens })
	return Holding{
		Hash:     prefixes[i].Hash,
		Tokens:   h.Tokens,
		Endpoint: h.Endpoint,
		UsedAt:   now.Add(-time.Duration(h.AgeMS) * time.Millisecond),
	}
}

// A prefix that no local engine holds must be fetched from another region, even by its
// primary on the ring. Remote holdings must be passed on, and remote engines get no
// calls.
func TestFetchFromOtherRegion(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(Options{})
	p.SetEndpoints(enginesInRegion("near", "a", "b"), now)
	p.SetReachableRegions([]string{"far"})
	p.UpdateRemote(enginesInRegion("far", "x"), nil)
	prefixes := Prefixes("", promptParts(9))
	p.AddHoldings([]Holding{newHolding(holdingRow{Endpoint: "x", Tokens: 5000}, prefixes, now)}, now)
	r := Request{
		PrefixHash:   call.SharedPrefix("", promptParts(9)),
		Prefixes:     prefixes,
		PromptTokens: 6000,
	}
	first, ok := p.Choose(r, now)
	assert.Assert(t, ok)
	assert.Assert(t, first.Endpoint.ID != "x")
	assert.Equal(t, first.FetchFrom, "addr-x")
	assert.Equal(t, first.CachedTokens, 5000)
	again, ok := p.Choose(r, now)
	assert.Assert(t, ok)
	assert.Equal(t, again.FetchFrom, "")

	assert.Equal(t, len(p.RemoteHoldings(now, 10)), 1)
	assert.Equal(t, len(p.RemoteHoldings(now.Add(time.Millisecond), 10)), 0)
}

// The index of remote holdings must stay within its bound, and expired entries must be
// dropped first.
func TestRemoteHoldingsPruned(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(Options{})
	p.SetReachableRegions([]string{"far"})
	p.UpdateRemote(enginesInRegion("far", "x"), nil)
	for i := range uint64(maxHolders) {
		p.AddHoldings([]Holding{{Hash: i + 1, Tokens: 5000, Endpoint: "x", UsedAt: now}}, now)
	}
	later := now.Add(remoteHoldingTTL + time.Millisecond)
	p.AddHoldings([]Holding{{Hash: maxHolders + 1, Tokens: 5000, Endpoint: "x", UsedAt: later}}, later)
	assert.Equal(t, len(p.remote.holders), 1)
}
