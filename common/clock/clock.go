// Package clock provides a monotonic clock that includes the time a VM was suspended.
// Go's monotonic clock stops during a suspension, so a lease or deadline from before
// would not expire; the wall clock jumps when it is set.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// maxWallDrift is how far the wall clock may drift from the monotonic clock before the
// boot clock is read to tell a suspension from a clock adjustment.
const maxWallDrift = 20 * time.Millisecond

// Options configures a Clock.
type Options struct {
	// Read returns the wall time and the monotonic time since New; nil reads the process's
	// clocks.
	Read func() (wall time.Time, monotonic time.Duration)
	// SinceBoot returns the time since boot, suspensions included; nil reads the kernel's
	// boot clock.
	SinceBoot func() (time.Duration, error)
}

// Clock is a monotonic clock that counts suspensions. It is safe for concurrent use.
type Clock struct {
	readClocks   func() (wall time.Time, monotonic time.Duration)
	sinceBoot    func() (time.Duration, error)
	startTime    time.Time
	startBoot    time.Duration
	hasBootClock bool

	mu sync.Mutex
	// wallOffset is the offset of the wall clock at the last read of the boot clock.
	wallOffset atomic.Int64
	// suspended is the total time suspended since the clock was created.
	suspended atomic.Int64
	onWake    atomic.Pointer[func(time.Duration)]
}

// New returns a clock that starts at the current time.
func New(o Options) *Clock {
	c := &Clock{
		readClocks: o.Read,
		sinceBoot:  o.SinceBoot,
		startTime:  time.Now(),
	}
	if c.readClocks == nil {
		c.readClocks = c.readProcessClocks
	}
	if c.sinceBoot == nil {
		c.sinceBoot = sinceBoot
	}
	boot, err := c.sinceBoot()
	c.startBoot = boot
	c.hasBootClock = err == nil
	return c
}

// readProcessClocks returns the wall time without its monotonic reading, and the monotonic
// time since the clock was created.
func (c *Clock) readProcessClocks() (wall time.Time, monotonic time.Duration) {
	now := time.Now()
	return now.Round(0), now.Sub(c.startTime)
}

// OnResume sets the function that is called in its own goroutine after each suspension.
func (c *Clock) OnResume(onWake func(suspended time.Duration)) {
	c.onWake.Store(&onWake)
}

// Now returns the current time. It reads the boot clock only after the wall clock jumped.
func (c *Clock) Now() time.Time {
	wall, monotonic := c.readClocks()
	if c.hasBootClock {
		jump := c.wallOffsetAt(wall, monotonic) - time.Duration(c.wallOffset.Load())
		if jump > maxWallDrift || jump < -maxWallDrift {
			c.detectSuspension()
		}
	}
	return c.startTime.Add(monotonic + time.Duration(c.suspended.Load()))
}

// wallOffsetAt returns how far the wall clock has advanced ahead of the monotonic clock.
func (c *Clock) wallOffsetAt(wall time.Time, monotonic time.Duration) time.Duration {
	return wall.Sub(c.startTime.Round(0)) - monotonic
}

// detectSuspension adds a suspension to the clock if one made the wall clock jump.
func (c *Clock) detectSuspension() {
	c.mu.Lock()
	defer c.mu.Unlock()
	boot, err := c.sinceBoot()
	if err != nil {
		return
	}
	wall, monotonic := c.readClocks()
	c.wallOffset.Store(int64(c.wallOffsetAt(wall, monotonic)))
	before := time.Duration(c.suspended.Load())
	total := boot - c.startBoot - monotonic
	if total-before <= maxWallDrift {
		return
	}
	c.suspended.Store(int64(total))
	if onWake := c.onWake.Load(); onWake != nil {
		go (*onWake)(total - before)
	}
}

// WithDeadline returns a context that expires at a time of a Clock whose current time is
// now. context.WithDeadline would compare that time with the process's own clocks.
func WithDeadline(ctx context.Context, now, at time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, at.Sub(now))
}
