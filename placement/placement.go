// Package placement decides what becomes of a call to model engines before any
// of them has seen it: the region that serves it, whether it yields to others as
// it cannot be on time any more, and whether it is refused at once. Which engine
// of the region it goes to is decided by package routing.
//
// It answers the load of engines that read prompts one after the other and
// generate for many calls at once: up to what they read in a second all calls
// are on time wherever they go, and over it every call that is served makes
// others late.
package placement

import "time"

const (
	// nearEnough and wholeEnough are the parts of the times to the objective and
	// to the deadline within which the own region is used whatever others offer:
	// the way to them costs bytes. Estimates are too low when load rises. From 0.25
	// to 0.5 a calm day's worth rose from 0.915 to 0.919 and from 0.920 to 0.923 (two
	// deployments, means of four plays); days with trouble did not change.
	nearEnough  = 0.5
	wholeEnough = 0.35
	// lateFrom is the part of the time to the objective from which on a call counts
	// as late: it is served after all that can still be on time. In an overload this
	// leaves the time of those that are late anyway to others. Those that are not let
	// the queue grow until the next call would be late, so over 1 all of them are: of
	// calls for 1.3 times what engines read 20% are on time with 1.25, 82% with 1
	// (testdata/overload.json).
	lateFrom = 1.0
	// comeBackAfter is when a call for which no endpoint takes work may try again.
	comeBackAfter = 500 * time.Millisecond
	// An engine that reads prompts without a pause gives each of its streams one
	// token for each piece that it reads: some 50 ms in place of 6, and none of
	// them ends in time. So calls are refused before that, those of the lowest
	// rank first: from these parts of the deadline by the expected end on, and all
	// at twice as much. A share that grows keeps the load from swinging.
	refuseLow    = 0.6
	lowestRank   = 2
	refuseMiddle = 1.0
	refuseHigh   = 1.5
	// A refused call may come back within these parts of the time to its objective,
	// so that it can still be on time: its caller counts from the first try. Told
	// from the deadline, which is five times as far, the heaviest day's worth was
	// 0.591 in place of 0.595 (the mean of fourteen pairs of plays).
	soonLeast = 0.1
	soonMost  = 0.4
	// One whose objective has passed may come back within these parts of the time it
	// has left; callers use a third at the most.
	comeBackLeast = 0.15
	comeBackMost  = 0.33
)

// Load is how a region can serve one service, by its own word.
type Load struct {
	Region string
	// Endpoints is how many take work; First is the expected time to the first
	// token there, and Whole to the end of the answer.
	Endpoints int
	First     time.Duration
	Whole     time.Duration
	// Way is the time there and back.
	Way time.Duration
	// LongWhole is the expected time to the end of an answer that is longer than
	// nine in ten.
	LongWhole time.Duration
	// Answer is how many tokens are expected to be generated, by the own region.
	Answer float64
	// Long is how many by a call that is longer than nine in ten.
	Long float64
	// ToRead is how many tokens of the prompt an endpoint has to read, by the own region.
	ToRead float64
}

// Request is a call that may be served in several regions.
type Request struct {
	Own Load
	// OwnAllowed is false where the call may not be served in the own region, or
	// has been refused there.
	OwnAllowed bool
	// Others are the other regions that may serve the call.
	Others []Load
	// Moved says that another place has looked at the call: it is not refused for
	// overload any more.
	Moved bool
	// FirstBy is the objective and WholeBy the deadline; zero means none.
	FirstBy time.Time
	WholeBy time.Time
	// Rank is where the call's priority stands among those in force: 0 for the first,
	// 1 for the middle ones and 2 for the last.
	Rank int
	// Missed is the part of late calls like this one that was not served of late.
	Missed float64
	// EndDraw, LateDraw and WaitDraw are random numbers from 0 to 1.
	EndDraw  float64
	LateDraw float64
	WaitDraw float64
	// Without switches mechanisms off, to measure what each is worth.
	Without Without
}

// Without are mechanisms that are switched off.
type Without struct {
	Yielding    bool
	LateRefusal bool
	EndRefusal  bool
}

// Reason says why a call is refused; the empty one that it is not.
type Reason string

// The reasons.
const (
	// ReasonNoRegion: no region takes calls of the service.
	ReasonNoRegion Reason = "no region takes calls"
	// ReasonEnd: no region is expected to end the answer in time.
	ReasonEnd Reason = "no region is expected to end the answer in time"
	// ReasonLate: the first token would be late, and such calls are not served now.
	ReasonLate Reason = "late calls are not served now"
)

// Decision is what becomes of a call.
type Decision struct {
	// Region is the one that serves the call, or would.
	Region string
	// Late says that the call yields to all that can be on time.
	Late bool
	// Refused is empty for a call that is served; ComeBackAt is when the caller of
	// one that is refused may try again.
	Refused    Reason
	ComeBackAt time.Time
}

// Decide chooses the region in which a call is served: the own one while it is
// expected to answer well within the objective and the deadline, and else the
// one that uses up the least of them.
func Decide(r Request, now time.Time) Decision {
	best := r.best(now)
	d := Decision{
		Region:  best.Region,
		Late:    best.Region != "" && !r.Without.Yielding && r.late(best, now),
		Refused: ReasonNoRegion,
	}
	if best.Region == "" {
		d.ComeBackAt = now.Add(comeBackAfter)
		return d
	}
	d.Refused = r.refused(best, d.Late, now)
	if d.Refused != "" {
		d.ComeBackAt = r.comeBackAt(now)
	}
	return d
}

// refused says why a call that a region could take is not to be sent there.
func (r Request) refused(l Load, late bool, now time.Time) Reason {
	switch {
	case r.Moved:
		return ""
	case !r.Without.EndRefusal && r.endsTooLate(r.end(l, now)):
		return ReasonEnd
	case late && !r.Without.LateRefusal && r.LateDraw < min(r.Missed, 1-lateLeast):
		return ReasonLate
	default:
		return ""
	}
}

// endsTooLate reports whether a call that ends at such a part of the time to its
// deadline is refused.
func (r Request) endsTooLate(end float64) bool {
	from := r.refuseFrom()
	return (end-from)/from > r.EndDraw
}

// refuseFrom is the part of the deadline from which calls are refused.
func (r Request) refuseFrom() float64 {
	switch r.Rank {
	case 0:
		return refuseHigh
	case 1:
		return refuseMiddle
	default:
		return refuseLow
	}
}

// best is the region that Decide chooses; its name is empty when none takes work.
func (r Request) best(now time.Time) Load {
	best, least := Load{}, 0.0
	if r.OwnAllowed && r.Own.Endpoints > 0 {
		first, whole := r.used(r.Own, now)
		if first <= nearEnough && whole <= wholeEnough {
			return r.Own
		}
		best = r.Own
		least = max(first, whole)
	}
	for _, o := range r.Others {
		first, whole := r.used(o, now)
		if used := max(first, whole); o.Endpoints > 0 && (best.Region == "" || used < least) {
			best = o
			least = used
		}
	}
	return best
}

// late reports whether the first token comes well after the objective.
func (r Request) late(l Load, now time.Time) bool {
	return Yields(l, r.FirstBy, now)
}

// Yields reports whether a call that is served at such a load cannot be on time any
// more, so that it makes way for those that can.
func Yields(l Load, firstBy, now time.Time) bool {
	return part(l.First+l.Way, firstBy, now) > lateFrom
}

// end is the part of the time to the deadline at which the call would end. The
// lowest rank makes room already when the long answers of others would not.
func (r Request) end(l Load, now time.Time) float64 {
	_, whole := r.used(l, now)
	if r.Rank < lowestRank {
		return whole
	}
	return max(whole, refuseLow*part(l.LongWhole+l.Way, r.WholeBy, now))
}

// used returns the parts of the times to the objective and to the deadline that
// the call would take in a region.
func (r Request) used(l Load, now time.Time) (first, whole float64) {
	return part(l.First+l.Way, r.FirstBy, now), part(l.Whole+l.Way, r.WholeBy, now)
}

func part(takes time.Duration, by, now time.Time) float64 {
	if by.IsZero() {
		return 0
	}
	return takes.Seconds() / max(by.Sub(now).Seconds(), time.Millisecond.Seconds())
}

// comeBackAt is when a call that was refused for overload may try again.
func (r Request) comeBackAt(now time.Time) time.Time {
	if now.Before(r.FirstBy) {
		return after(r.FirstBy.Sub(now), soonLeast, soonMost, r.WaitDraw, now)
	}
	return after(r.WholeBy.Sub(now), comeBackLeast, comeBackMost, r.WaitDraw, now)
}

// after is the moment at which a part of a time from least to most has passed.
func after(left time.Duration, least, most, draw float64, now time.Time) time.Time {
	return now.Add(time.Duration(float64(left) * (least + (most-least)*draw)))
}
