package platform

import "time"

// Counters holds the read statistics.
type Counters struct {
	// Reads counts requests, plus one for each further second that a watch waits.
	Reads    uint64 `json:"reads"`
	Rejected uint64 `json:"rejected"`
	// PeakReadsPerSecond is the highest number of reads in one second.
	PeakReadsPerSecond uint64 `json:"peak_reads_per_second"`
	// Waiting is the number of watches now waiting.
	Waiting uint64 `json:"waiting"`
}

// readLimiter limits reads per fixed window of one second. A watch counts once for
// its request and once in each further window during which it waits.
type readLimiter struct {
	counters Counters
	window   int64
	count    uint64
}

// allow counts one read, or rejects it if the window is at its limit.
func (r *readLimiter) allow(limit uint64, now time.Time) bool {
	r.advance(now)
	if r.count >= limit {
		r.counters.Rejected++
		return false
	}
	r.countReads(1)
	return true
}

func (r *readLimiter) addWaiting(now time.Time) {
	r.advance(now)
	r.counters.Waiting++
}

func (r *readLimiter) removeWaiting(now time.Time) {
	r.advance(now)
	r.counters.Waiting--
}

// advance moves to the current window and counts the waiting watches once for
// each window entered since.
func (r *readLimiter) advance(now time.Time) {
	window := now.Unix()
	if window <= r.window {
		return
	}
	entered := uint64(window - r.window)
	r.window = window
	r.count = 0
	r.countReads(r.counters.Waiting)
	r.counters.Reads += (entered - 1) * r.counters.Waiting
}

func (r *readLimiter) countReads(reads uint64) {
	r.count += reads
	r.counters.Reads += reads
	r.counters.PeakReadsPerSecond = max(r.counters.PeakReadsPerSecond, r.count)
}
