package discovery

import "time"

const (
	// calmWatchDelay lets the changes that belong together accumulate before the next watch,
	// and busyWatchDelay those of a store that changes all the time: each batch costs every
	// VM of the region a few messages, however few changes are in it.
	calmWatchDelay = 50 * time.Millisecond
	busyWatchDelay = 200 * time.Millisecond
	// calmPeriod is the time without changes after which the store counts as calm.
	calmPeriod = 500 * time.Millisecond
)

// WatchPacer decides when a reader of the store watches it again after a batch of changes.
// It answers the load of a large deployment, where endpoints come and go several times a
// second. WatchPacer is not safe for concurrent use.
type WatchPacer struct {
	lastBatchAt time.Time
}

// NextWatchAt records a batch that was read now, and returns when to watch again.
func (p *WatchPacer) NextWatchAt(now time.Time) time.Time {
	delay := busyWatchDelay
	if p.lastBatchAt.IsZero() || now.Sub(p.lastBatchAt) > calmPeriod {
		delay = calmWatchDelay
	}
	p.lastBatchAt = now
	return now.Add(delay)
}
