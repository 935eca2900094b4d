package retry

import (
	"math/rand/v2"
	"sync"
)

// RunGrants counts, on the VM that has sent calls to other VMs, the endpoints that may run each
// of them there. The other VM may let one endpoint run the call without asking, and asks before
// each further one, so that the count is right also if that VM is lost. It is safe for
// concurrent use.
type RunGrants struct {
	mu     sync.Mutex
	lastID uint64
	calls  map[uint64]*runGrant
}

type runGrant struct {
	granted, limit int
	once           bool
}

// GrantedRuns is what became of a call's grants.
type GrantedRuns struct {
	// Runs is the number of endpoints that may have run the call.
	Runs int
	// Once is set if the call must not be sent to a further endpoint.
	Once bool
}

// NewRunGrants returns a RunGrants without calls. Its ids differ from those of an earlier
// process on this VM.
func NewRunGrants() *RunGrants {
	return &RunGrants{
		lastID: rand.Uint64(),
		calls:  make(map[uint64]*runGrant),
	}
}

// Open begins a call that limit endpoints may run, and grants the first run.
func (g *RunGrants) Open(limit int) (id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	g.calls[g.lastID] = &runGrant{
		granted: 1,
		limit:   limit,
	}
	return g.lastID
}

// Grant reports whether one more endpoint may run a call. It refuses calls that are closed.
func (g *RunGrants) Grant(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.calls[id]
	if c == nil || c.granted >= c.limit {
		return false
	}
	c.granted++
	return true
}

// Restrict lets no further endpoint run a call, and reports whether that binds this VM. It doesn't
// if the call is closed.
func (g *RunGrants) Restrict(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.calls[id]
	if c == nil {
		return false
	}
	c.limit = c.granted
	c.once = true
	return true
}

// Close ends a call.
func (g *RunGrants) Close(id uint64) GrantedRuns {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.calls[id]
	if c == nil {
		return GrantedRuns{}
	}
	delete(g.calls, id)
	return GrantedRuns{
		Runs: c.granted,
		Once: c.once,
	}
}
