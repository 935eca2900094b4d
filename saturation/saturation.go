// Package saturation decides which calls a VM refuses because it is short of CPU. The
// input is how late the VM runs its goroutines. A controller of that delay sets the
// fraction of calls to refuse, so that the delay settles at what callers can bear. Calls
// of the lowest priority are refused first.
package saturation

import (
	"math"
	"time"
)

const (
	// targetDelay is the mean delay at which the refused fraction stays. A refused caller must
	// still meet its objective at another VM, so a refusal may take a quarter of the
	// shortest objective, 0.5 s. It is delayed twice: before the request is read and
	// before the response is.
	targetDelay = 500 * time.Millisecond / 4 / 2
	// integralGain and proportionalGain are those of a PI controller of the delay, as in
	// RFC 8033, in refused fraction per second of delay (and second). At twice the capacity
	// the delay changes by 2 s per second and refused fraction, for which these gains damp
	// critically.
	integralGain     = 2.0
	proportionalGain = 2.0
	// calmDelay is the mean delay below which the refused fraction also decays, with the
	// time constant calmPeriod. The integral alone would refuse calls for seconds after
	// the load has ended.
	calmDelay  = targetDelay / 8
	calmPeriod = time.Second
	// maxFraction leaves some calls, whose delay shows whether the load has ended.
	maxFraction = 0.95
	// saturatedFraction is the refused fraction from which the VM counts as saturated.
	saturatedFraction = 0.02
	// recoveryTime is how long the VM must refuse nothing to count as recovered.
	recoveryTime = 2 * time.Second
	// announceAfter is how long the VM must refuse calls before other VMs are told, and
	// announceFor how long they are told at least. Each change reaches every VM of the
	// fleet and moves callers' connections.
	announceAfter = 2 * time.Second
	announceFor   = time.Minute
	// mixPeriod is the time constant of the counts of calls by standing.
	mixPeriod = time.Second
)

// Standings is the number of standings that are told apart; 0 is the highest priority.
const Standings = 3

// Controller holds the state of one VM. It is not safe for concurrent use.
type Controller struct {
	delay Delay
	// fraction is the fraction of calls to refuse, and integral its part that remains
	// while the delay is the target.
	fraction  float64
	integral  float64
	steppedAt time.Time
	mix       mix
	saturated bool
	// changedAt is when saturated changed, refusedAt when fraction was last above zero.
	changedAt   time.Time
	refusedAt   time.Time
	announced   bool
	announcedAt time.Time
}

// Observe adds a measured delay and adjusts the fraction of calls to refuse.
func (c *Controller) Observe(delay time.Duration, now time.Time) {
	c.delay.Observe(delay, now)
	if delay >= suspendedDelay {
		c.Reset()
		return
	}
	elapsed := min(max(now.Sub(c.steppedAt), 0), SampleInterval+delay)
	c.steppedAt = now
	c.integral = nextIntegral(c.integral, c.delay.Mean(), elapsed)
	proportional := proportionalGain * (c.delay.Mean() - targetDelay).Seconds()
	c.fraction = min(max(c.integral+proportional, 0), maxFraction)
	c.updateSaturated(now)
}

// nextIntegral returns the integral part of the refused fraction after the mean delay has
// been mean for some time.
func nextIntegral(integral float64, mean, elapsed time.Duration) float64 {
	integral += integralGain * (mean - targetDelay).Seconds() * elapsed.Seconds()
	if mean < calmDelay {
		integral *= math.Exp(-float64(elapsed) / float64(calmPeriod))
	}
	return min(max(integral, 0), maxFraction)
}

func (c *Controller) updateSaturated(now time.Time) {
	if c.fraction > 0 {
		c.refusedAt = now
	}
	switch {
	case !c.saturated && c.fraction >= saturatedFraction:
		c.saturated = true
		c.changedAt = now
	case c.saturated && now.Sub(c.refusedAt) >= recoveryTime:
		c.saturated = false
		c.changedAt = now
	}
	switch {
	case !c.announced && c.saturated && c.refusedAt.Sub(c.changedAt) >= announceAfter:
		c.announced = true
		c.announcedAt = now
	case c.announced && !c.saturated && now.Sub(c.announcedAt) >= announceFor:
		c.announced = false
	}
}

// Reset discards all state, after a suspension of the VM.
func (c *Controller) Reset() {
	*c = Controller{}
}

// Status is what a Controller concludes from the delay.
type Status struct {
	Mean     time.Duration
	Max      time.Duration
	Fraction float64
	// Saturated is set while calls are refused, and some time beyond.
	Saturated bool
	// Announced is set while other VMs should know that the VM is saturated.
	Announced bool
}

// Status returns the present conclusions.
func (c *Controller) Status() Status {
	return Status{
		Mean:      c.delay.Mean(),
		Max:       c.delay.Max(),
		Fraction:  c.fraction,
		Saturated: c.saturated,
		Announced: c.announced,
	}
}

// NextInterval returns the time to the next measurement.
func (c *Controller) NextInterval() time.Duration {
	if c.fraction == 0 && c.integral == 0 && c.delay.Mean() < calmDelay {
		return CalmInterval
	}
	return SampleInterval
}

// Idle reports whether nothing would change without further calls, so that the delay
// need not be measured.
func (c *Controller) Idle() bool {
	return c.fraction == 0 && c.integral == 0 && !c.saturated && !c.announced
}

// Arrival is a call that has just arrived.
type Arrival struct {
	// Standing is the priority of the call, 0 for the highest.
	Standing int
	// Objective is the time to first byte that the caller expects; zero means none.
	Objective time.Duration
	// Draw and RetryDraw are random numbers from 0 to 1.
	Draw      float64
	RetryDraw float64
}

// Decision says what becomes of a call.
type Decision struct {
	Refuse bool
	// RetryAt is when the caller of a refused call may try again.
	RetryAt time.Time
}

// Decide decides whether a call is refused.
func (c *Controller) Decide(a Arrival, now time.Time) Decision {
	standing := min(max(a.Standing, 0), Standings-1)
	c.mix.add(standing, now)
	if a.Draw >= c.mix.refusedFraction(standing, c.fraction) {
		return Decision{}
	}
	return Decision{
		Refuse:  true,
		RetryAt: now.Add(retryWait(a, c.fraction)),
	}
}

// defaultObjective applies to calls without an objective.
const defaultObjective = 500 * time.Millisecond

// retryWait returns how long a refused caller should wait. Another VM may take the call at
// once, so it is short while few calls are refused; it uses at most a quarter of the
// objective, of which refusals use another one.
func retryWait(a Arrival, fraction float64) time.Duration {
	objective := a.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	longest := float64(objective) / 4 * max(fraction, minRetryFraction)
	return time.Duration(longest * (1 + a.RetryDraw) / 2)
}

// minRetryFraction is the least part of the longest wait that callers are told, so that
// those refused together do not return together.
const minRetryFraction = 0.25
