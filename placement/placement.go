// Package placement decides, before a call is sent to a model engine, which region
// serves it, whether it yields to calls that can still meet their objective, and
// whether it is refused at once. Package routing then chooses the endpoint within the
// region.
//
// Engines prefill prompts one at a time and decode many streams at once. Below their
// prefill capacity every call meets its objective; above it, each admitted call delays
// others.
package placement

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/callerwait"
)

const (
	// localFirstTokenShare and localCompletionShare are the shares of the time to the
	// objective and to the deadline within which the local region is used without
	// comparing others, which saves cross-region traffic. They leave room because
	// latency estimates are too low while load rises.
	localFirstTokenShare = 0.5
	localCompletionShare = 0.35
	// lateThreshold is the share of the time to the objective from which a call counts
	// as late and is served after all calls that can still be on time. Above 1 the
	// queue would grow until every call is late: of calls for 1.3 times what the engines
	// prefill, 82% are on time with 1 and 20% with 1.25.
	lateThreshold = 1.0
	// noRegionRetryDelay is the delay after which to retry if no region takes calls.
	noRegionRetryDelay = 500 * time.Millisecond
	// An engine that prefills without a pause slows its streams down, from some 6 ms a token
	// to 50 ms, until none of them ends in time, so calls are refused before that, the lowest priority first: the
	// share of refused calls grows from 0 at the threshold (a share of the deadline) to
	// 1 at twice the threshold. The gradual increase avoids oscillation. For ranks above
	// the lowest, deadlineShedStart comes first unless it is disabled.
	shedThresholdLow    = 0.6
	lowestPriorityRank  = 2
	shedThresholdMiddle = 1.0
	shedThresholdHigh   = 1.5
	// Retry times are a random share of the time left to the objective, so that a
	// retried call can still meet it: its caller counts from the first attempt;
	minObjectiveRetryShare = 0.1
	maxObjectiveRetryShare = 0.4
	// or, once the objective has passed, of the time left to the deadline, of which callers
	// wait for a third at the most.
	minDeadlineRetryShare = 0.15
	maxDeadlineRetryShare = 0.33
)

// Load is the load of one service in one region, as that region reports it.
type Load struct {
	Region string
	// Endpoints is the number of endpoints that accept calls; TTFT is the expected
	// time to the first token there, and TotalTime to the end of the answer.
	Endpoints int
	TTFT      time.Duration
	TotalTime time.Duration
	// RoundTrip is the network round-trip time.
	RoundTrip time.Duration
	// TotalTimeP90 is the expected time to the end of an answer of the 90th percentile
	// length.
	TotalTimeP90 time.Duration
	// AnswerTokens is the number of tokens that the local region expects to be generated.
	AnswerTokens float64
	// AnswerTokensP90 is the same for an answer of the 90th percentile length.
	AnswerTokensP90 float64
	// PrefillTokens is the number of prompt tokens that the local region expects an endpoint
	// to prefill.
	PrefillTokens float64
	// Endangers is set for the local region if streams that run there would miss their
	// deadline by the call's prompt.
	Endangers bool
}

// Request is a call that may be served in several regions.
type Request struct {
	Local Load
	// LocalAllowed is false if the call may not be served in the local region, or was
	// refused there.
	LocalAllowed bool
	// Remote are the loads of the other regions that may serve the call.
	Remote []Load
	// Forwarded is set if another VM has already handled the call; such a call is not
	// refused for overload.
	Forwarded bool
	// FirstTokenDeadline is the objective for the first token and Deadline the deadline for
	// the whole answer; zero means none.
	FirstTokenDeadline time.Time
	Deadline           time.Time
	// CallerWait is how long the caller has waited before this attempt. FirstTokenDeadline is
	// counted from the first attempt.
	CallerWait callerwait.Wait
	// Rank is the rank of the call's priority among those in use: 0 for the highest, 1
	// for those between and 2 for the lowest.
	Rank int
	// MissRate is the share of late calls of the same group that recently failed.
	MissRate float64
	// Resumed is set for a stream of which the caller has received a part.
	Resumed bool
	// DeadlineDraw, ObjectiveDraw and RetryDraw are random numbers in [0, 1).
	DeadlineDraw  float64
	ObjectiveDraw float64
	RetryDraw     float64
	// Disabled disables mechanisms, to measure their effect.
	Disabled DisabledFeatures
}

// DisabledFeatures lists mechanisms to disable.
type DisabledFeatures struct {
	Yielding    bool
	LateRefusal bool
	EndRefusal  bool
	// DeadlineRefusal is the refusal of calls of all ranks by their expected end, with
	// retry times that follow the queue.
	DeadlineRefusal bool
}

// Reason says why a call is refused; empty means that it is not.
type Reason string

const (
	// ReasonNoRegion means that no region takes calls of the service.
	ReasonNoRegion Reason = "no region takes calls"
	// ReasonDeadline means that no region is expected to answer before the deadline.
	ReasonDeadline Reason = "no region is expected to end the answer in time"
	// ReasonObjective means that the call would miss its objective and such calls are being
	// shed.
	ReasonObjective Reason = "late calls are not served now"
)

// Decision is the result of Decide.
type Decision struct {
	// Region serves the call, or would serve it if it were not refused.
	Region string
	// Late is set if the call yields to calls that can still meet their objective.
	Late bool
	// Tight is set if more than half of the time to the objective is expected to pass until
	// the first token: the service is, or will soon be, short of capacity.
	Tight bool
	// Refusal is empty for a call that is served. RetryAt is when the caller of a
	// refused call may retry.
	Refusal Reason
	RetryAt time.Time
}

// Decide selects the region that serves a call: the local one if it is expected to
// answer well within the objective and the deadline, and otherwise the one that uses
// the smallest share of them.
func Decide(r Request, now time.Time) Decision {
	placed := r.withoutPassedObjective(now)
	best := placed.selectRegion(now)
	d := Decision{
		Region:  best.Region,
		Refusal: ReasonNoRegion,
	}
	d.Tight = r.isTight(best, now)
	if best.Region == "" {
		d.RetryAt = now.Add(noRegionRetryDelay)
		return d
	}
	late := !r.Disabled.Yielding && r.isLate(best, now)
	d.Late = late || best.Endangers && !r.Disabled.Yielding
	d.Refusal = r.refusalReason(best, r.yieldsToLater(late, d.Tight), now)
	if d.Refusal != "" {
		d.RetryAt = r.retryAt(best, now)
	}
	return d
}

// shedThreshold is the share of the time to the deadline from which calls of this rank
// are refused.
func (r Request) shedThreshold() float64 {
	switch r.Rank {
	case 0:
		return shedThresholdHigh
	case 1:
		return shedThresholdMiddle
	default:
		return shedThresholdLow
	}
}

// selectRegion returns the load of the region that serves the call; its name is empty
// if no region takes calls.
func (r Request) selectRegion(now time.Time) Load {
	best, leastUsed := Load{}, 0.0
	if r.LocalAllowed && r.Local.Endpoints > 0 {
		first, completion := r.timeUsed(r.Local, now)
		if first <= localFirstTokenShare && completion <= localCompletionShare && !r.Local.Endangers {
			return r.Local
		}
		best = r.Local
		leastUsed = r.shareUsed(r.Local, now)
		if r.Local.Endangers {
			// Any region that ends the call in time is better.
			leastUsed = max(leastUsed, 1)
		}
	}
	for _, o := range r.Remote {
		if used := r.shareUsed(o, now); o.Endpoints > 0 && (best.Region == "" || used < leastUsed) {
			best = o
			leastUsed = used
		}
	}
	return best
}

// shareUsed returns the larger of the shares of the times to the objective and to the deadline
// that the call would take in a region. A resumed stream that can end in time goes where it does;
// else its next event counts, with a share above 1.
func (r Request) shareUsed(l Load, now time.Time) float64 {
	first, completion := r.timeUsed(l, now)
	switch {
	case !r.Resumed:
		return max(first, completion)
	case completion > 1:
		return 1 + shareOfTime(l.TTFT+l.RoundTrip, r.Deadline, now)
	default:
		return max(min(first, 1), completion)
	}
}

// isLate reports whether the first token is expected after the objective.
func (r Request) isLate(l Load, now time.Time) bool {
	return MissesObjective(l, r.FirstTokenDeadline, now)
}

// MissesObjective reports whether a call served at load l would miss its objective, so that it
// has to yield to calls that can still meet theirs.
func MissesObjective(l Load, firstBy, now time.Time) bool {
	return shareOfTime(l.TTFT+l.RoundTrip, firstBy, now) > lateThreshold
}

// completionShare is the share of the time to the deadline that the call is expected to
// take. Calls of the lowest rank are also shed to protect long answers of other calls.
func (r Request) completionShare(l Load, now time.Time) float64 {
	_, completion := r.timeUsed(l, now)
	if r.Rank < lowestPriorityRank {
		return completion
	}
	return max(completion, shedThresholdLow*shareOfTime(l.TotalTimeP90+l.RoundTrip, r.Deadline, now))
}

// timeUsed returns the shares of the times to the objective and to the deadline that
// the call would take in a region.
func (r Request) timeUsed(l Load, now time.Time) (first, completion float64) {
	return shareOfTime(l.TTFT+l.RoundTrip, r.FirstTokenDeadline, now), shareOfTime(l.TotalTime+l.RoundTrip, r.Deadline, now)
}

func shareOfTime(duration time.Duration, deadline, now time.Time) float64 {
	if deadline.IsZero() {
		return 0
	}
	return duration.Seconds() / max(deadline.Sub(now).Seconds(), time.Millisecond.Seconds())
}

// randomTimeWithin returns the time at which a share between minShare and maxShare of
// the remaining time has passed.
func randomTimeWithin(remaining time.Duration, minShare, maxShare, draw float64, now time.Time) time.Time {
	return now.Add(time.Duration(float64(remaining) * (minShare + (maxShare-minShare)*draw)))
}
