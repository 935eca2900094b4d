package placement

import "time"

// This file treats calls whose callers have waited before the present attempt.

// withoutPassedObjective returns the request without an objective that passed before the
// attempt: such a call goes where it ends first, as no region can meet its objective.
func (r Request) withoutPassedObjective(now time.Time) Request {
	if r.CallerWait.Time > 0 && !r.FirstTokenDeadline.After(now) {
		r.FirstTokenDeadline = time.Time{}
	}
	return r
}

// isTight reports whether more than half of the whole objective is expected to pass until the
// first token. What the caller has waited before says nothing about the present load.
func (r Request) isTight(l Load, now time.Time) bool {
	first, _ := r.asFirstAttempt().timeUsed(l, now)
	return first > localFirstTokenShare
}

// yieldsToLater reports whether later calls are expected to overtake a late call, so that it is
// refused by twice the share that it takes. Where the region is not short of capacity a call
// that its caller's wait makes late is served like others.
func (r Request) yieldsToLater(late, tight bool) bool {
	return late && (tight || r.CallerWait.Time == 0)
}

// asFirstAttempt returns the request with the objective that a first attempt has.
func (r Request) asFirstAttempt() Request {
	if !r.FirstTokenDeadline.IsZero() {
		r.FirstTokenDeadline = r.FirstTokenDeadline.Add(r.CallerWait.Time)
	}
	return r
}

// minDeadlineRetryShare returns the least share of the time to the deadline after which a call
// may be retried that can then only be late. Where such calls are known when they return they
// yield, so that they are best sent as late as callers wait, when the overload may have ended.
func (r Request) minDeadlineRetryShare() float64 {
	if r.CallerWait.Known {
		return maxDeadlineRetryShare - minRetrySpread
	}
	return minDeadlineRetryShare
}
