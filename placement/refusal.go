package placement

import "time"

const (
	// deadlineShedStart is the share of the time to the deadline from which calls are
	// refused, and deadlineShedWidth the share over which the refused fraction grows to 1.
	// Expected ends are wrong by a fifth of the deadline under overload, so that a step at the
	// deadline would refuse or send all calls at once.
	deadlineShedStart = 0.9
	deadlineShedWidth = 0.2
	// lateShareFactor multiplies the share that a late call is expected to take. Later
	// calls overtake it, and what is done for it delays calls that are still on time.
	lateShareFactor = 2.0
	// minRetrySpread is the least width of a range of retry times, as a share of the time
	// left, so that refused callers do not return together.
	minRetrySpread = 0.1
)

// refusalReason returns why a call must not be sent to the selected region, or an empty
// Reason.
func (r Request) refusalReason(l Load, late bool, now time.Time) Reason {
	switch {
	case r.Forwarded:
		return ""
	case r.Resumed:
		// The caller has a part of the answer, and each further event adds to it.
		if !r.Disabled.EndRefusal && shareOfTime(l.TTFT+l.RoundTrip, r.Deadline, now) > 1 {
			return ReasonDeadline
		}
		return ""
	case !r.Disabled.EndRefusal && r.exceedsShedThreshold(r.completionShare(l, now), late):
		return ReasonDeadline
	case late && !r.Disabled.LateRefusal && r.ObjectiveDraw < min(r.MissRate, 1-minProbeShare):
		return ReasonObjective
	default:
		return ""
	}
}

// exceedsShedThreshold reports whether a call that completes at this share of the time
// to its deadline is refused. Calls of the lowest rank are refused before all others.
func (r Request) exceedsShedThreshold(completionShare float64, late bool) bool {
	threshold := r.shedThreshold()
	if (completionShare-threshold)/threshold > r.DeadlineDraw {
		return true
	}
	if late {
		completionShare *= lateShareFactor
	}
	return !r.Disabled.DeadlineRefusal && (completionShare-deadlineShedStart)/deadlineShedWidth > r.DeadlineDraw
}

// retryAt returns when a call that was refused for overload may be retried: after the
// prompts that are queued now, within the time left to its objective, or, if those take
// longer, to its deadline. The objective counts from the caller's first attempt.
func (r Request) retryAt(l Load, now time.Time) time.Time {
	queueEnd := l.TTFT + l.RoundTrip
	if r.Disabled.DeadlineRefusal {
		queueEnd = 0
	}
	left := r.FirstTokenDeadline.Sub(now)
	if r.Deadline.IsZero() {
		left = r.asFirstAttempt().FirstTokenDeadline.Sub(now)
	}
	inObjective := shareOfTime(queueEnd, r.FirstTokenDeadline, now) <= maxObjectiveRetryShare
	if left > 0 && (inObjective || r.Deadline.IsZero()) {
		return retryAfterQueue(left, queueEnd, minObjectiveRetryShare, maxObjectiveRetryShare, r.RetryDraw, now)
	}
	return retryAfterQueue(r.Deadline.Sub(now), queueEnd, r.minDeadlineRetryShare(), maxDeadlineRetryShare, r.RetryDraw, now)
}

// retryAfterQueue returns a random time between the shares of the time left, and not
// before the end of the queue as far as minRetrySpread allows.
func retryAfterQueue(left, queueEnd time.Duration, minShare, maxShare, draw float64, now time.Time) time.Time {
	after := min(queueEnd.Seconds()/max(left.Seconds(), time.Millisecond.Seconds()), maxShare-minRetrySpread)
	return randomTimeWithin(left, max(minShare, after), maxShare, draw, now)
}
