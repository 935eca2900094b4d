// Package clock tells the time by which a process decides. Go's steady clock stands
// still while the VM is suspended: a lease, a report or a deadline from before would
// look as fresh as if no time had gone by. The time of day goes on, but jumps when it
// is set. This clock goes on and does not jump.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// slack is by how much the time of day may drift from the steady clock before the
// kernel is asked why: it is set slowly by some tenths of a millisecond a second, and
// a suspension that matters is longer than the time of one call.
const slack = 20 * time.Millisecond

// Options set up a Clock.
type Options struct {
	// Read returns the time of day, and how long the steady clock went since the clock was
	// made; nil means the process's.
	Read func() (day time.Time, steady time.Duration)
	// SinceBoot returns the time since the VM started, suspensions included; nil means
	// the kernel's.
	SinceBoot func() (time.Duration, error)
}

// Clock is the clock of one process. It is safe for concurrent use.
type Clock struct {
	read      func() (day time.Time, steady time.Duration)
	sinceBoot func() (time.Duration, error)
	start     time.Time
	startBoot time.Duration
	// works says that the kernel tells the time since boot.
	works bool

	mu sync.Mutex
	// ahead is by how much the time of day was ahead of the steady clock when it was last
	// looked why, and suspended how long the VM has been suspended since the start.
	ahead     atomic.Int64
	suspended atomic.Int64
	// woken is told of each suspension.
	woken atomic.Pointer[func(time.Duration)]
}

// New makes a clock that starts now.
func New(o Options) *Clock {
	c := &Clock{
		read:      o.Read,
		sinceBoot: o.SinceBoot,
		start:     time.Now(),
	}
	if c.read == nil {
		c.read = c.process
	}
	if c.sinceBoot == nil {
		c.sinceBoot = sinceBoot
	}
	boot, err := c.sinceBoot()
	c.startBoot = boot
	c.works = err == nil
	return c
}

// process reads the clocks of this process.
func (c *Clock) process() (day time.Time, steady time.Duration) {
	now := time.Now()
	return now.Round(0), now.Sub(c.start)
}

// OnWake has a function told, without waiting for it, how long the VM was suspended.
func (c *Clock) OnWake(woken func(suspended time.Duration)) {
	c.woken.Store(&woken)
}

// Now returns the time. It costs the kernel's time of day, and a question more after that
// has jumped.
func (c *Clock) Now() time.Time {
	day, steady := c.read()
	if c.works {
		jump := c.aheadAt(day, steady) - time.Duration(c.ahead.Load())
		if jump > slack || jump < -slack {
			c.look()
		}
	}
	return c.start.Add(steady + time.Duration(c.suspended.Load()))
}

// aheadAt is by how much the time of day went on more than the steady clock.
func (c *Clock) aheadAt(day time.Time, steady time.Duration) time.Duration {
	return day.Sub(c.start.Round(0)) - steady
}

// look finds out whether the time of day jumped because the VM was suspended.
func (c *Clock) look() {
	c.mu.Lock()
	defer c.mu.Unlock()
	boot, err := c.sinceBoot()
	if err != nil {
		return
	}
	day, steady := c.read()
	c.ahead.Store(int64(c.aheadAt(day, steady)))
	before := time.Duration(c.suspended.Load())
	total := boot - c.startBoot - steady
	if total-before <= slack {
		return
	}
	c.suspended.Store(int64(total))
	if woken := c.woken.Load(); woken != nil {
		go (*woken)(total - before)
	}
}

// WithDeadline ends a context at a moment of such a clock, where it is now. A context
// takes a deadline by the steady clock or the time of day, which differ from it.
func WithDeadline(ctx context.Context, now, at time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, at.Sub(now))
}
