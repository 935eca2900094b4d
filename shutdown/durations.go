package shutdown

import (
	"math"
	"sync"
	"time"
)

const (
	// buckets and bucketsPerDoubling give durations from 1 ms to 64 s with an error of a fifth.
	buckets            = 64
	bucketsPerDoubling = 4
	// recentCalls is the number of calls of a route after which their counts are halved.
	recentCalls = 512
	// maxRoutes bounds the histograms, of 130 bytes each.
	maxRoutes = 1024

	// onceQuantile is the quantile of the durations that a call that runs once is expected to
	// take, repeatableQuantile that of other calls, which lose less if they are cut off.
	onceQuantile       = 0.99
	repeatableQuantile = 0.9
)

// histogram counts calls by their duration.
type histogram struct {
	counts [buckets]uint16
	total  int
}

// Durations knows how long the calls of each route have taken. It is safe for concurrent use.
type Durations struct {
	mu     sync.Mutex
	routes map[string]*histogram
}

// NewDurations returns Durations that know no calls.
func NewDurations() *Durations {
	return &Durations{
		routes: make(map[string]*histogram),
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
		h = &histogram{}
		d.routes[route] = h
	}
	if h.total >= recentCalls {
		h.halve()
	}
	h.counts[bucketOf(took)]++
	h.total++
}

// Expected returns how long a call of a route is expected to take; known is false if none
// has ended yet.
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
	return h.quantile(onceQuantile), true
}

// bucketOf returns the first bucket whose upper bound is not below a duration.
func bucketOf(took time.Duration) int {
	ms := float64(took) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Ceil(bucketsPerDoubling*math.Log2(ms))), buckets-1)
}

// halve halves the counts, rounded up: a duration that was seen is not forgotten at once.
func (h *histogram) halve() {
	h.total = 0
	for i, count := range h.counts {
		h.counts[i] = count - count/2
		h.total += int(h.counts[i])
	}
}

// quantile returns the upper bound of the bucket that holds a quantile.
func (h *histogram) quantile(q float64) time.Duration {
	rank := int(math.Ceil(q * float64(h.total)))
	last := 0
	for i, count := range h.counts {
		if rank <= 0 {
			break
		}
		rank -= int(count)
		last = i
	}
	return time.Duration(math.Exp2(float64(last)/bucketsPerDoubling) * float64(time.Millisecond))
}
