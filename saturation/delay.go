package saturation

import (
	"math"
	"time"
)

const (
	// SampleInterval is the interval of the timer whose lateness is the delay.
	SampleInterval = 20 * time.Millisecond
	// CalmInterval is that interval while there is hardly any delay. Waking an idle process
	// costs 0.1 ms of CPU, which at 50 times a second is 5% of the smallest VM.
	CalmInterval = 100 * time.Millisecond
	// meanPeriod is the time constant of the mean. Refusals follow the mean, and with a
	// longer one they would end long after the queue that caused them.
	meanPeriod = 150 * time.Millisecond
	// maxPeriod is how long the maximum remembers a delay, up to twice as long.
	maxPeriod = 500 * time.Millisecond
	// suspendedDelay is the delay from which the VM must have been suspended. Samples
	// above it say nothing about load.
	suspendedDelay = 5 * time.Second
)

// Delay is the scheduling delay of a VM: a mean weighted by time and a maximum over the
// last second or so.
type Delay struct {
	mean       time.Duration
	observedAt time.Time
	// recentMax is the maximum of the current period, which ends at periodEnd, and
	// earlierMax that of the period before.
	recentMax  time.Duration
	earlierMax time.Duration
	periodEnd  time.Time
}

// Observe adds the delay of a goroutine that became due a delay before now.
func (d *Delay) Observe(delay time.Duration, now time.Time) {
	if delay >= suspendedDelay {
		*d = Delay{}
		return
	}
	delay = max(delay, 0)
	// A sample stands for the time since the one before, but not for a time in which
	// nothing was measured.
	covered := min(max(now.Sub(d.observedAt), 0), SampleInterval+delay)
	weight := 1 - math.Exp(-float64(covered)/float64(meanPeriod))
	d.mean += time.Duration(weight * float64(delay-d.mean))
	d.observedAt = now
	d.endPeriod(now)
	d.recentMax = max(d.recentMax, delay)
}

func (d *Delay) endPeriod(now time.Time) {
	if now.Before(d.periodEnd) {
		return
	}
	d.earlierMax = d.recentMax
	if !now.Before(d.periodEnd.Add(maxPeriod)) {
		d.earlierMax = 0
	}
	d.recentMax = 0
	d.periodEnd = now.Add(maxPeriod)
}

// Mean returns the mean delay.
func (d *Delay) Mean() time.Duration {
	return d.mean
}

// Max returns the longest delay of the last second or so.
func (d *Delay) Max() time.Duration {
	return max(d.recentMax, d.earlierMax)
}
