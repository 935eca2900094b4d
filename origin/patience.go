package origin

import (
	"sync"
	"time"
)

const (
	// minStated is the number of requests of a route from which one of them is taken to be the
	// first of its caller, which states all the time that the caller has.
	minStated = 8
	// maxPatienceRoutes bounds the routes that a Patience knows.
	maxPatienceRoutes = 1024
)

// Patience knows how long callers of each route wait for a stream at most, over all their
// requests. It is safe for concurrent use.
type Patience struct {
	mu     sync.Mutex
	routes map[string]statedTimes
}

// statedTimes are the times that callers of one route said that they would wait.
type statedTimes struct {
	requests int
	longest  time.Duration
}

// NewPatience returns a Patience that knows no routes.
func NewPatience() *Patience {
	return &Patience{
		routes: make(map[string]statedTimes),
	}
}

// Observe records how long the caller of a request that begins a stream says that it will wait.
func (p *Patience) Observe(route string, stated time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.routes[route]
	if !known && len(p.routes) >= maxPatienceRoutes {
		return
	}
	s.requests++
	s.longest = max(s.longest, stated)
	p.routes[route] = s
}

// Longest returns the longest time that callers of a route have; known is false if too few
// requests were seen to tell.
func (p *Patience) Longest(route string) (longest time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.routes[route]
	return s.longest, s.requests >= minStated
}
