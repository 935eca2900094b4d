package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets of a sliding window.
	windowBuckets = 20
	// safetyMargin is the share of the limit that stays unused, since requests and
	// retries are counted here when they are sent, and by endpoints when they arrive.
	safetyMargin = 0.1
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

// Window limits the retries to one service within a sliding window. Each VM retries a
// share of its own requests and uses an equal part of the fleet's slack, so all VMs
// together keep the limit without coordination. It is safe for concurrent use.
type Window struct {
	options WindowOptions
	mu      sync.Mutex
	buckets [windowBuckets]windowBucket
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
	w.bucket().requests++
}

// Allow takes one retry from the budget and reports whether there was one.
func (w *Window) Allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.bucket()
	requests, retries := w.totals(current.tick)
	limit := w.options.Ratio*float64(requests) + w.slack()
	if float64(retries+1) > limit*(1-safetyMargin) {
		return false
	}
	current.retries++
	return true
}

// Usage is what a Window holds at a moment.
type Usage struct {
	// Requests and Retries are those of the last window.
	Requests int
	Retries  int
	// Slack is this VM's part of the fleet's slack, and VMs the number of VMs that share it.
	Slack float64
	VMs   int
}

// Usage returns what the window holds now.
func (w *Window) Usage() Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	requests, retries := w.totals(w.bucket().tick)
	return Usage{
		Requests: requests,
		Retries:  retries,
		Slack:    w.slack(),
		VMs:      w.options.VMs(),
	}
}

// slack returns the part of the fleet's slack that this VM may use now.
func (w *Window) slack() float64 {
	vms := w.options.VMs()
	if vms <= 0 || w.options.Now().Before(w.options.SlackFrom) {
		return 0
	}
	return w.options.Slack / float64(vms)
}

// Return gives back a retry that was granted at a time and never sent.
func (w *Window) Return(grantedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	tick := w.tick(grantedAt)
	bucket := &w.buckets[tick%windowBuckets]
	if bucket.tick == tick && bucket.retries > 0 {
		bucket.retries--
	}
}

// bucket returns the bucket of the current time and clears what it held of an
// earlier window.
func (w *Window) bucket() *windowBucket {
	tick := w.tick(w.options.Now())
	bucket := &w.buckets[tick%windowBuckets]
	if bucket.tick != tick {
		*bucket = windowBucket{
			tick: tick,
		}
	}
	return bucket
}

func (w *Window) tick(at time.Time) int64 {
	length := w.options.Length / windowBuckets
	return at.UnixNano() / int64(max(length, 1))
}

func (w *Window) totals(tick int64) (requests, retries int) {
	for _, bucket := range w.buckets {
		if bucket.tick > tick-windowBuckets {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	return requests, retries
}
