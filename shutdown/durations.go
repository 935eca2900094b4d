package shutdown

import (
	"math"
	"sync"
	"time"
)

const (
	// buckets and bucketsPerDoubling give durations from 1 ms to 60 s with an error of a tenth.
	buckets            = 128
	bucketsPerDoubling = 8
	// recentCalls is the number of calls of a route that are known at least, once it has had
	// as many. Twice as many are known at most.
	recentCalls = 256
	// maxRoutes bounds the histograms, of 530 bytes for each route.
	maxRoutes = 1024

	// repeatableQuantile is the quantile of the durations that a call is expected to take which
	// may be repeated. A cut costs its caller some 5 s, a refusal some 100 ms.
	repeatableQuantile = 0.98
	// sufficientCalls is the number of calls whose longest one is hardly ever exceeded by far.
	// A larger number refuses most calls of routes with little traffic.
	sufficientCalls = 30
)

// histogram counts calls by their duration.
type histogram struct {
	counts [buckets]uint16
	total  int
}

// history holds the recent calls of a route: the latest ones and those before them.
type history struct {
	latest, before histogram
}

// Durations knows how long the calls of each route have taken. It is safe for concurrent use.
type Durations struct {
	mu     sync.Mutex
	routes map[string]*history
}

// NewDurations returns Durations that know no calls.
func NewDurations() *Durations {
	return &Durations{
		routes: make(map[string]*history),
	}
}

// Record adds a call that has ended.
func (d *Durations) Record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.routes[route]
	if h == nil {
		if len(d.routes) >= maxRoutes {
			return
		}
		h = &history{}
		d.routes[route] = h
	}
	if h.latest.total >= recentCalls {
		h.before, h.latest = h.latest, histogram{}
	}
	h.latest.counts[bucketOf(took)]++
	h.latest.total++
}

// Expected returns how long a call of a route is expected to take; known is false if none
// has ended yet. One that may not be repeated is expected to take as long as the longest.
func (d *Durations) Expected(route string, repeatable bool) (took time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.routes[route]
	if h == nil {
		return 0, false
	}
	if repeatable {
		return h.quantile(repeatableQuantile), true
	}
	return h.longest(), true
}

// bucketOf returns the first bucket whose upper bound is not below a duration.
func bucketOf(took time.Duration) int {
	ms := float64(took) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Ceil(bucketsPerDoubling*math.Log2(ms))), buckets-1)
}

// quantile returns the upper bound of the bucket that holds a quantile.
func (h *history) quantile(q float64) time.Duration {
	rank := int(math.Ceil(q * float64(h.latest.total+h.before.total)))
	last := 0
	for i := range buckets {
		if rank <= 0 {
			break
		}
		rank -= int(h.latest.counts[i]) + int(h.before.counts[i])
		last = i
	}
	return time.Duration(math.Exp2(float64(last)/bucketsPerDoubling) * float64(time.Millisecond))
}

// longest returns the duration of the longest call, and more if few are known: the part of the
// calls that are longer than a duration is taken to fall with its inverse.
func (h *history) longest() time.Duration {
	total := h.latest.total + h.before.total
	return h.quantile(1) * sufficientCalls / time.Duration(min(total, sufficientCalls))
}
