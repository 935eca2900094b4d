package platform

import "time"

// Counters tells what the readers have cost so far.
type Counters struct {
	// Reads counts calls, and each second that a watch waits.
	Reads    uint64 `json:"reads"`
	Rejected uint64 `json:"rejected"`
	// PeakReadsPerSecond is the most reads counted in one second.
	PeakReadsPerSecond uint64 `json:"peak_reads_per_second"`
	// Waiting is the number of watches that wait now.
	Waiting uint64 `json:"waiting"`
}

// rate counts reads in windows of one second and refuses those over the cap.
// A watch counts one for its call and one in each window it waits into.
type rate struct {
	counters Counters
	window   int64
	count    uint64
}

// take counts one read, or refuses it when the window's count is at the cap.
func (r *rate) take(limit uint64, now time.Time) bool {
	r.advance(now)
	if r.count >= limit {
		r.counters.Rejected++
		return false
	}
	r.add(1)
	return true
}

// wait marks one more watch as waiting.
func (r *rate) wait(now time.Time) {
	r.advance(now)
	r.counters.Waiting++
}

// leave marks one watch as no longer waiting.
func (r *rate) leave(now time.Time) {
	r.advance(now)
	r.counters.Waiting--
}

// advance moves to the window of now and counts the waiting watches in each
// window entered since.
func (r *rate) advance(now time.Time) {
	window := now.Unix()
	if window <= r.window {
		return
	}
	entered := uint64(window - r.window)
	r.window = window
	r.count = 0
	r.add(r.counters.Waiting)
	r.counters.Reads += (entered - 1) * r.counters.Waiting
}

func (r *rate) add(reads uint64) {
	r.count += reads
	r.counters.Reads += reads
	r.counters.PeakReadsPerSecond = max(r.counters.PeakReadsPerSecond, r.count)
}
