// Package callerwait estimates how long a caller has waited for a call before the present
// attempt. Every attempt of a call has an id of its own, but callers state how long they
// will wait, and in a further attempt that is only what is left of their time.
package callerwait

import (
	"math"
	"sync"
	"time"
)

const (
	// minCalls is the number of calls of a route from which a deadline counts as usual.
	minCalls = 32
	// recentCalls is the number of calls over which the counts decay by a factor of e.
	recentCalls = 256
	// tableSize is the number of deadlines that are counted for a route.
	tableSize = 8
	// tolerance is the relative difference within which two deadlines count as one: a part
	// of the caller's time passes before its request is sent and read.
	tolerance = 0.01
	// smoothing is the weight of a call in the mean of the deadlines that count as one.
	smoothing = 1.0 / 16
	// majority is the fraction of calls above which a deadline becomes the usual one.
	majority = 0.5
	// notable is the fraction of calls from which a deadline other than the usual one is that
	// of other callers, and above which the usual one remains. At most half of the attempts
	// are retries if callers retry once, and their deadlines differ as their waits do.
	notable = 0.25
	// maxRoutes bounds the tables, of some 200 bytes each.
	maxRoutes = 1024
)

// Attempt is an attempt of a call as it arrives from its caller.
type Attempt struct {
	Route string
	// Objective and Timeout are those of the route; zero means none.
	Objective time.Duration
	Timeout   time.Duration
	// Stated is how long the caller says that it will wait; zero if it does not say.
	Stated time.Duration
}

// Wait is how long a caller has waited for a call before the present attempt.
type Wait struct {
	// Known is set if callers of the route usually state one deadline, so that first attempts
	// can be told from others.
	Known bool
	// Time is zero for a first attempt.
	Time time.Duration
}

// Tracker knows the deadlines that callers state. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	routes map[string]*table
}

// New returns a Tracker that knows no deadlines.
func New() *Tracker {
	return &Tracker{
		routes: make(map[string]*table),
	}
}

// Arrive records an attempt and returns how long its caller has waited before it, at most
// the route's objective and timeout. It is not known if the route has no usual deadline or
// the caller states none.
func (t *Tracker) Arrive(a Attempt) Wait {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.routes[a.Route]
	if !ok || known.objective != a.Objective || known.timeout != a.Timeout {
		if !ok && len(t.routes) >= maxRoutes {
			clear(t.routes)
		}
		known = &table{
			objective: a.Objective,
			timeout:   a.Timeout,
		}
		t.routes[a.Route] = known
	}
	return known.arrive(a.Stated)
}

// table counts the deadlines that callers of one route state.
type table struct {
	objective time.Duration
	timeout   time.Duration
	calls     int
	// total is the decayed number of calls, those without a deadline included.
	total   float64
	entries [tableSize]entry
	// usual is the index of the usual deadline, valid if hasUsual is set.
	usual    int
	hasUsual bool
}

// entry is a deadline and the decayed number of calls that stated it.
type entry struct {
	deadline time.Duration
	count    float64
}

func (t *table) arrive(stated time.Duration) Wait {
	t.calls++
	keep := 1 - 1.0/recentCalls
	t.total = t.total*keep + 1
	for i := range t.entries {
		t.entries[i].count *= keep
	}
	if stated <= 0 {
		t.findUsual()
		return Wait{}
	}
	at := t.count(stated)
	t.findUsual()
	if !t.hasUsual {
		return Wait{}
	}
	usual := t.entries[t.usual].deadline
	if within(stated, usual) || t.entries[at].count >= notable*t.total {
		return Wait{Known: true}
	}
	return Wait{
		Known: true,
		Time:  t.limit(max(usual-stated, 0)),
	}
}

// count adds a call to the nearest deadline within the tolerance, or else in place of the
// rarest one, and returns its index.
func (t *table) count(stated time.Duration) int {
	nearest, rarest := -1, 0
	for i, e := range t.entries {
		if e.count < t.entries[rarest].count {
			rarest = i
		}
		if e.count > 0 && within(stated, e.deadline) && (nearest < 0 || (stated-e.deadline).Abs() < (stated-t.entries[nearest].deadline).Abs()) {
			nearest = i
		}
	}
	if nearest < 0 {
		t.entries[rarest] = entry{
			deadline: stated,
			count:    1,
		}
		return rarest
	}
	e := &t.entries[nearest]
	e.deadline += time.Duration(smoothing * float64(stated-e.deadline))
	e.count++
	return nearest
}

// findUsual determines the usual deadline. One that had the majority remains while it is the
// most frequent one, so that a burst of retries does not end what is known.
func (t *table) findUsual() {
	if t.calls < minCalls {
		return
	}
	most := 0
	for i, e := range t.entries {
		if e.count > t.entries[most].count {
			most = i
		}
	}
	share := t.entries[most].count / t.total
	t.hasUsual = share > majority || (t.hasUsual && most == t.usual && share > notable)
	t.usual = most
}

// limit bounds a wait by the time that a call of the route can take and by its objective,
// beyond which it makes no difference.
func (t *table) limit(waited time.Duration) time.Duration {
	if t.timeout > 0 {
		waited = min(waited, t.timeout)
	}
	if t.objective > 0 {
		waited = min(waited, t.objective)
	}
	return waited
}

// within reports whether two deadlines count as one.
func within(stated, deadline time.Duration) bool {
	return math.Abs(float64(stated-deadline)) <= tolerance*float64(deadline)
}
