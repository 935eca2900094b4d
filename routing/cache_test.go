package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

func promptParts(own uint64) []call.PromptPart {
	return []call.PromptPart{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 4500}, {ID: own, Tokens: 1000}}
}

// The last part is specific to the call and must not count as shared; the longest prefix
// must have the hash that selects the ring position.
func TestPrefixes(t *testing.T) {
	got := Prefixes("", promptParts(9))
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Tokens, 500)
	assert.Equal(t, got[1].Tokens, 5000)
	assert.Equal(t, got[1].Hash, call.SharedPrefix("", promptParts(10)))
	assert.Equal(t, len(Prefixes("", promptParts(9)[2:])), 0)
}

// An engine without a cached prefix must fetch it only from an engine that was sent it.
func TestFetchFromPeerEngine(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(Options{Rand: func() uint64 { return 0 }})
	list := []fleet.Endpoint{
		{ID: "a", Addr: "addr-a", State: fleet.StateLive},
		{ID: "b", Addr: "addr-b", State: fleet.StateLive},
	}
	p.SetEndpoints(list, now)
	r := Request{
		PrefixHash:   call.SharedPrefix("", promptParts(9)),
		Prefixes:     Prefixes("", promptParts(9)),
		PromptTokens: 6000,
	}
	first, ok := p.Choose(r, now)
	assert.Assert(t, ok)
	assert.Equal(t, first.FetchFrom, "")
	assert.Equal(t, first.CachedTokens, 5000)

	again, ok := p.Choose(r, now)
	assert.Assert(t, ok)
	assert.Equal(t, again.Endpoint.ID, first.Endpoint.ID)
	assert.Equal(t, again.FetchFrom, "")

	r.Exclude = [2]string{first.Endpoint.ID}
	other, ok := p.Choose(r, now)
	assert.Assert(t, ok)
	assert.Equal(t, other.FetchFrom, first.Endpoint.Addr)
	assert.Equal(t, other.CachedTokens, 5000)
}

// The cache must stay within its limit, and expired prefixes must not count.
func TestPrefixCacheEviction(t *testing.T) {
	now := time.Unix(1e9, 0)
	var c prefixCache
	for i := range uint64(50) {
		c.touch([]Prefix{{Hash: i + 1, Tokens: 100}}, 1000, now.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Equal(t, c.tokens, 1000)
	assert.Equal(t, c.cachedTokens([]Prefix{{Hash: 50, Tokens: 100}}, now), 100)
	assert.Equal(t, c.cachedTokens([]Prefix{{Hash: 1, Tokens: 100}}, now), 0)
	assert.Equal(t, c.cachedTokens([]Prefix{{Hash: 50, Tokens: 100}}, now.Add(time.Minute)), 0)
}

// The fit must follow the samples and never have a negative slope.
func TestLinearRegression(t *testing.T) {
	var l linearRegression
	_, ok := l.predict(1)
	assert.Assert(t, !ok)
	for i := range 400 {
		x := float64(i % 40)
		l.add(x, 2.6+0.12*x)
	}
	y, ok := l.predict(20)
	assert.Assert(t, ok)
	assert.Assert(t, y > 4.9 && y < 5.1, y)
	var falling linearRegression
	for i := range 100 {
		falling.add(float64(i%40), -float64(i%40))
	}
	low, _ := falling.predict(0)
	high, _ := falling.predict(100)
	assert.Equal(t, low, high)
}

// Nothing must be predicted before the first measurement, and measurements on open
// streams take precedence while they are valid.
func TestTokenTime(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := New(Options{})
	p.SetEndpoints([]fleet.Endpoint{{ID: "a", State: fleet.StateLive}}, now)
	choice, _ := p.Choose(Request{}, now)
	expected, ok := p.Expect(Request{MaxTokens: 100}, now)
	assert.Assert(t, ok)
	assert.Equal(t, expected.TotalTime(), expected.TTFT)
	for range minLiveTokenTimeSamples {
		p.StreamProgress(choice, 90*time.Millisecond, 9, now)
	}
	expected, _ = p.Expect(Request{MaxTokens: 100}, now)
	assert.Equal(t, expected.TokenTime, 10*time.Millisecond)
	later, _ := p.Expect(Request{MaxTokens: 100}, now.Add(liveTokenTimeTTL+time.Millisecond))
	assert.Equal(t, later.TokenTime, time.Duration(0))
}
