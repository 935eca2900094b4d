package throttle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

type restCase struct {
	Name  string
	Rests []struct {
		// At is when the answer arrives, in milliseconds like all times.
		At, Until   int
		Incarnation int64
	}
	// At and Incarnation are of the request; Until is the expected end of the rest.
	At, Until   int
	Incarnation int64
	Open        bool
}

// TestRests guards against requests to an endpoint in the time in which it wants none,
// when they are chosen and when their first byte is written.
func TestRests(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range datatest.Read[[]restCase](t, "testdata/rests.json") {
		t.Run(c.Name, func(t *testing.T) {
			throttle := New(Options{
				VM:        "a",
				StartedAt: start,
			})
			for _, r := range c.Rests {
				throttle.ObserveRest(fleet.Endpoint{ID: "e", Incarnation: r.Incarnation}, at(r.Until), at(r.At))
			}
			e := fleet.Endpoint{ID: "e", Incarnation: c.Incarnation}
			v := throttle.Acquire(e, RegionView{}, at(c.At))
			refusal := throttle.UsePermit(e, &Permit{}, at(c.At))
			assert.Equal(t, v.Permit != nil, c.Open)
			assert.Equal(t, refusal == nil, c.Open)
			if !c.Open {
				assert.Equal(t, v.RetryAt, at(c.Until))
			}
		})
	}
}
