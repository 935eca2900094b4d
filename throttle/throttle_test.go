package throttle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// TestLimits checks the limit that follows from a sequence of answers.
func TestLimits(t *testing.T) {
	start := time.Unix(1e9, 0)
	for _, c := range datatest.Read[[]struct {
		Name    string
		Answers []struct {
			// SentMS and AtMS are when the request was sent and its answer received.
			SentMS      int
			AtMS        int
			Incarnation int64
			Rate        fleet.Rate
			// Want is the version of the new limit, zero if there is none.
			Want uint32
		}
		Limited   bool
		PerSecond float64
	}](t, "testdata/limits.json") {
		t.Run(c.Name, func(t *testing.T) {
			var last Limit
			throttle := New(Options{
				OnLimitChanged: func(l Limit) { last = l },
			})
			e := fleet.Endpoint{ID: "e"}
			for _, a := range c.Answers {
				e.Incarnation = a.Incarnation
				at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
				before := last
				throttle.ObserveRate(e, a.Rate, at(a.SentMS), at(a.AtMS))
				if a.Want == 0 {
					assert.Equal(t, last, before)
					continue
				}
				assert.Equal(t, last.Version, a.Want)
			}
			assert.Equal(t, throttle.IsLimited(e), c.Limited)
			assert.Equal(t, last.PerSecond, c.PerSecond)
		})
	}
}

// TestLimitsConverge checks that the order in which limits arrive does not matter.
func TestLimitsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Limit {
			return Limit{
				Endpoint:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "endpoint"),
				Incarnation: rapid.Int64Range(0, 2).Draw(t, "incarnation"),
				Version:     rapid.Uint32Range(1, 3).Draw(t, "number"),
				Active:      rapid.Bool().Draw(t, "limited"),
				PerSecond:   rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "per_second"),
			}
		}), 1, 12).Draw(t, "limits")
		for i := range limits {
			if !limits[i].Active {
				limits[i].PerSecond = 0
			}
		}
		now := time.Unix(1e9, 0)
		one, two := New(Options{}), New(Options{})
		for _, l := range limits {
			one.Learn(l, now)
		}
		for _, l := range rapid.Permutation(limits).Draw(t, "order") {
			two.Learn(l, now)
		}
		assert.Equal(t, one.Digest(), two.Digest())
	})
}

// TestPermit checks that a permit is valid for one request, for a limited time, and for
// one incarnation of the endpoint.
func TestPermit(t *testing.T) {
	now := time.Unix(1e9, 0)
	alone := RegionView{
		Reachable: []fleet.VM{{ID: "a"}},
		Known:     1,
	}
	e := fleet.Endpoint{
		ID: "e",
	}
	throttle := New(Options{
		VM:        "a",
		StartedAt: now.Add(-time.Minute),
	})
	free := throttle.Acquire(e, alone, now).Permit
	assert.Assert(t, free != nil)
	throttle.ObserveRate(e, fleet.Rate{Named: true, PerSecond: 1}, now, now)
	assert.Assert(t, throttle.UsePermit(e, free, now) != nil, "the limit was named after the permit was granted")

	assert.Equal(t, throttle.Acquire(e, alone, now).RetryAt, now.Add(time.Second))
	now = now.Add(time.Second)
	permit := throttle.Acquire(e, alone, now).Permit
	assert.Assert(t, throttle.UsePermit(e, permit, now) == nil)
	assert.Assert(t, throttle.UsePermit(e, permit, now) != nil, "the permit was already used")
	assert.Assert(t, throttle.Acquire(e, alone, now).Permit == nil)

	now = now.Add(time.Second)
	late := throttle.Acquire(e, alone, now).Permit
	assert.Assert(t, throttle.UsePermit(e, late, now.Add(permitLifetime+time.Millisecond)) != nil, "the permit has expired")

	next := e
	next.Incarnation = 1
	assert.Assert(t, throttle.Acquire(next, alone, now).Permit != nil, "the next incarnation has no limit")
	assert.Assert(t, throttle.UsePermit(next, free, now) == nil)
}

// TestCallerRetriesAreSpaced checks that callers refused together get different retry
// times, at the pace of this VM's share of the limit.
func TestCallerRetriesAreSpaced(t *testing.T) {
	now := time.Unix(1e9, 0)
	throttle := New(Options{
		VM: "a",
	})
	throttle.Learn(Limit{Endpoint: "e", Version: 1, Active: true, PerSecond: 2}, now)
	r := RegionView{
		Reachable: make([]fleet.VM, 4),
	}
	opensAt := now.Add(300 * time.Millisecond)
	for i := range 8 {
		want := opensAt.Add(time.Duration(i) * 2 * time.Second)
		if most := now.Add(maxCallerRetryDelay); want.After(most) {
			want = most
		}
		assert.Equal(t, throttle.CallerRetryAt("s", []string{"e"}, opensAt, r, now), want)
	}
}
