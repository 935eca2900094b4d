package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
	p.restore(start.Add(-20 * time.Second))
	assert.Assert(t, p.ledOnlyTo("a", r, start.Add(-time.Second)))
	r = observe(time.Second, table(4*time.Second, "a"))
	assert.Assert(t, p.ledOnlyTo("a", r, start))
	assert.Equal(t, p.longestTimeout(now.Add(5*time.Second)), 10*time.Second)
	assert.Equal(t, p.longestTimeout(now.Add(13*time.Second)), 4*time.Second)
	r = observe(2*time.Second, table(4*time.Second, "b"))
	assert.Assert(t, !p.ledOnlyTo("b", r, start.Add(time.Second)))
	assert.Assert(t, p.ledOnlyTo("b", r, now))
	r = observe(3*time.Second, table(4*time.Second, "a", "b"))
	assert.Assert(t, !p.ledOnlyTo("b", r, now))
}
