package retry

import (
	"math"
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets of a sliding window.
	windowBuckets = 40
	// delayBuckets is by how many buckets at most a retry arrives after it was granted, and a
	// request is counted after its caller sent it.
	delayBuckets = 1
	// historyBuckets cover the windows that a retry may lie in and those before them.
	historyBuckets = 2*windowBuckets + 1
)

// WindowOptions configures a Window.
type WindowOptions struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of further retries that all VMs may make together.
	Slack float64
	// Length is the length of the sliding window.
	Length time.Duration
	// VMs returns the number of VMs that share the slack. While it is zero or less, the
	// number is unknown and no slack is used.
	VMs func() int
	// SlackFrom is when this VM starts to use its part of the slack. One Length after
	// its start, retries of its previous incarnation have left the window and the other
	// VMs are known.
	SlackFrom time.Time
	Now       func() time.Time
}

// Window limits the retries to one service. In any sliding window, all VMs together make
// at most Ratio retries for each request of that window or of the one before it, whichever
// has more requests, and the slack.
//
// That needs no coordination. From any moment on, each process makes at most half of Ratio
// retries for each of its own requests since one Length before that moment, and its part of
// the slack. These bounds add up to that of the fleet, whichever VMs get the requests and
// whenever processes start: the requests of two windows are at most twice those of the larger
// one. It is safe for concurrent use.
type Window struct {
	options WindowOptions
	mu      sync.Mutex
	buckets [historyBuckets]windowBucket
}

type windowBucket struct {
	tick     int64
	requests int
	retries  int
}

// NewWindow creates an empty Window.
func NewWindow(o WindowOptions) *Window {
	return &Window{
		options: o,
	}
}

// OnRequest counts a first attempt.
func (w *Window) OnRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current().requests++
}

// Allow takes one retry from the budget and reports whether there was one.
func (w *Window) Allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.current()
	if w.left(current.tick) < 1 {
		return false
	}
	current.retries++
	return true
}

// Covers reports whether a retry that was granted at a time counts in the right windows if it is sent
// now. It leaves time for its way.
func (w *Window) Covers(grantedAt time.Time) bool {
	longest := w.options.Length / windowBuckets * delayBuckets
	return w.options.Now().Sub(grantedAt) <= longest/2
}

// Usage is what a Window holds at a moment.
type Usage struct {
	// Requests and Retries are those of the last window.
	Requests int
	Retries  int
	// Left is the number of retries that may still be made now.
	Left float64
	// Slack is this VM's part of the fleet's slack, and VMs the number of VMs that share it.
	Slack float64
	VMs   int
}

// Usage returns what the window holds now.
func (w *Window) Usage() Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	tick := w.current().tick
	u := Usage{
		Left:  w.left(tick),
		Slack: w.slack(),
		VMs:   w.options.VMs(),
	}
	for t := tick - windowBuckets + 1; t <= tick; t++ {
		u.Requests += w.at(t).requests
		u.Retries += w.at(t).retries
	}
	return u
}

// Return gives back a retry that was granted at a time and never sent.
func (w *Window) Return(grantedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	tick := w.tick(grantedAt)
	bucket := &w.buckets[tick%historyBuckets]
	if bucket.tick == tick && bucket.retries > 0 {
		bucket.retries--
	}
}

// left returns how many retries may be made at a tick: the least that is left in any window
// that a retry granted now may arrive in.
func (w *Window) left(tick int64) float64 {
	least := math.Inf(1)
	// For a window that starts within a bucket, retries counts those that may arrive in it,
	// and requests those that callers have surely sent in it or in the window before.
	var retries, requests int
	const before = windowBuckets - 1 - delayBuckets
	for t := tick + delayBuckets + 1 - before; t <= tick; t++ {
		requests += w.at(t).requests
	}
	for start := tick + delayBuckets; start >= tick-windowBuckets; start-- {
		retries += w.at(start - delayBuckets).retries
		requests += w.at(start - before).requests
		least = min(least, w.options.Ratio/2*float64(requests)-float64(retries))
	}
	return least + w.slack()
}

// slack returns the part of the fleet's slack that this VM may use now.
func (w *Window) slack() float64 {
	vms := w.options.VMs()
	if vms <= 0 || w.options.Now().Before(w.options.SlackFrom) {
		return 0
	}
	return w.options.Slack / float64(vms)
}

// current returns the bucket of the current time and clears what it held of an earlier one.
func (w *Window) current() *windowBucket {
	tick := w.tick(w.options.Now())
	bucket := &w.buckets[tick%historyBuckets]
	if bucket.tick != tick {
		*bucket = windowBucket{
			tick: tick,
		}
	}
	return bucket
}

// at returns the bucket of a tick, empty if nothing is known of it.
func (w *Window) at(tick int64) windowBucket {
	bucket := w.buckets[tick%historyBuckets]
	if bucket.tick != tick {
		return windowBucket{}
	}
	return bucket
}

func (w *Window) tick(at time.Time) int64 {
	length := w.options.Length / windowBuckets
	return at.UnixNano() / int64(max(length, 1))
}
