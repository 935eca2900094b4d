package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/origin"
	"github.com/fuchsianotch/fuchsianotch/roster"
	"github.com/fuchsianotch/fuchsianotch/route"
)

// TestMovedRoute guards against joining a stream that began at the service that its route led to
// before, and against taking it for younger than the timeout that it began with.
func TestMovedRoute(t *testing.T) {
	table := func(timeout time.Duration, services ...string) *route.Table {
		r := route.Route{
			Host:    "h",
			Prefix:  "/p/",
			Kind:    route.KindStream,
			Timeout: timeout,
		}
		for _, s := range services {
			r.Shares = append(r.Shares, route.Share{Service: s, Weight: 1})
		}
		return route.New(route.Options{Routes: []route.Route{r}})
	}
	start := time.Unix(1e9, 0)
	p := newRoutePast()
	now := start
	observe := func(at time.Duration, next *route.Table) *route.Route {
		now = start.Add(at)
		p.observe(next, now)
		found, ok := next.Match("h", "/p/")
		assert.Assert(t, ok)
		return found
	}
	r := observe(0, table(10*time.Second, "a"))
	assert.Assert(t, p.ledOnlyTo("a", r, start))
	assert.Assert(t, !p.ledOnlyTo("a", r, start.Add(-time.Second)))
	p.restore(start.Add(-20*time.Second), origin.Timeouts{
		Longest: 10 * time.Second,
		Since:   start.Add(-time.Hour),
	})
	assert.Assert(t, p.ledOnlyTo("a", r, start.Add(-time.Second)))
	r = observe(time.Second, table(4*time.Second, "a"))
	assert.Assert(t, p.ledOnlyTo("a", r, start))
	longest := func(at time.Duration) time.Duration {
		timeout, known := p.longestTimeout(now.Add(at))
		assert.Assert(t, known)
		return timeout
	}
	assert.Equal(t, longest(5*time.Second), 10*time.Second)
	assert.Equal(t, longest(13*time.Second), 4*time.Second)
	r = observe(2*time.Second, table(4*time.Second, "b"))
	assert.Assert(t, !p.ledOnlyTo("b", r, start.Add(time.Second)))
	assert.Assert(t, p.ledOnlyTo("b", r, now))
	r = observe(3*time.Second, table(4*time.Second, "a", "b"))
	assert.Assert(t, !p.ledOnlyTo("b", r, now))
}

// TestTimeoutLoweredBeforeStart guards against taking a stream for younger than a timeout that was
// lowered before all VMs were lost.
func TestTimeoutLoweredBeforeStart(t *testing.T) {
	n := runningFleetNode(t, smallFleet)
	n.routePast = newRoutePast()
	now := n.now()
	n.routePast.observe(route.New(route.Options{
		Routes: []route.Route{{
			Host:    "h",
			Prefix:  "/p/",
			Kind:    route.KindStream,
			Timeout: 4 * time.Second,
		}},
	}), now)
	assert.Equal(t, n.streams.streamLifetime(), defaultStreamLifetime, "earlier timeouts are unknown")
	n.routePast.restore(now.Add(-8*time.Second), origin.Timeouts{
		Longest: 10 * time.Second,
		Since:   now.Add(-8 * time.Second),
	})
	assert.Equal(t, n.streams.streamLifetime(), defaultStreamLifetime, "that before the first known one is unknown")
	n.routePast.restore(now.Add(-8*time.Second), origin.Timeouts{
		Longest: 10 * time.Second,
		Since:   now.Add(-80 * time.Second),
	})
	assert.Equal(t, n.streams.streamLifetime(), 10*time.Second+resumeMargin)
}

// TestPatientCaller guards against taking a stream for younger than it is, as its caller has more
// time than the route's timeout.
func TestPatientCaller(t *testing.T) {
	now := time.Unix(1e9, 0)
	n := newFleetNode(smallFleet, func() time.Time { return now })
	table := route.New(route.Options{
		Routes: []route.Route{{
			Host:    "h",
			Prefix:  "/p/",
			Kind:    route.KindStream,
			Timeout: 10 * time.Second,
			Shares:  []route.Share{{Service: "s", Weight: 1}},
		}},
	})
	n.control.published.Store(&snapshot{
		table:   table,
		members: &roster.Snapshot{},
	})
	n.routePast.observe(table, now)
	n.streams.register.Observe("s", []string{"v1", "v2"}, now)
	now = now.Add(time.Minute)
	n.streams.register.Observe("s", []string{"v2"}, now)
	found := func(name string) metrics.StreamOrigin {
		n.advanceFreshness(now)
		_, found := n.streams.findOrigin(t.Context(), &call.Call{
			Service: "s",
			Path:    "/p/",
			Routed: &call.Routed{
				Host:           "h",
				Route:          name,
				ArrivedAt:      now,
				CallerDeadline: now.Add(9900 * time.Millisecond),
			},
		})
		return found
	}
	state := func(seconds float64) {
		for range 8 {
			n.streams.observe(&call.Call{
				Stream: true,
				Routed: &call.Routed{
					Route:          "stated",
					ArrivedAt:      now,
					CallerDeadline: now.Add(time.Duration(seconds * float64(time.Second))),
				},
			})
		}
	}
	now = now.Add(2 * time.Second)
	state(10)
	assert.Equal(t, found("stated"), metrics.StreamOriginSole, "the caller has waited for 0.1 s of 10 s")
	state(20)
	assert.Equal(t, found("stated"), metrics.StreamOriginUnknown, "the caller may have waited for 10.1 s")
	now = now.Add(9 * time.Second)
	assert.Equal(t, found("stated"), metrics.StreamOriginSole)
	assert.Equal(t, found("unknown"), metrics.StreamOriginUnknown, "the stream may have begun at the version that left")
	now = now.Add(time.Second)
	assert.Equal(t, found("unknown"), metrics.StreamOriginSole)
}
