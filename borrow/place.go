package borrow

import "time"

const (
	// nearEnough and wholeEnough are the parts of the times to the objective and
	// to the deadline within which the own region is used whatever others offer:
	// the way to them costs bytes. Estimates are too low when load rises.
	nearEnough  = 0.25
	wholeEnough = 0.35
	// comeBackAfter is when a call that no region can serve may try again.
	comeBackAfter = 500 * time.Millisecond
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
}

// PlaceRequest is a call that may be served in several regions.
type PlaceRequest struct {
	Own Load
	// OwnAllowed is false where the call may not be served in the own region, or
	// has been refused there.
	OwnAllowed bool
	// Others are the other regions that may serve the call.
	Others []Load
	// FirstBy is the objective and WholeBy the deadline; zero means none.
	FirstBy time.Time
	WholeBy time.Time
}

// Place chooses the region in which a call is served: the own one while it is
// expected to answer well within the objective and the deadline, and else the
// one that uses up the least of them. It returns false when none takes work.
func Place(r PlaceRequest, now time.Time) (region string, ok bool) {
	best, least := "", 0.0
	if r.OwnAllowed && r.Own.Endpoints > 0 {
		best = r.Own.Region
		first, whole := r.used(r.Own, now)
		if first <= nearEnough && whole <= wholeEnough {
			return best, true
		}
		least = max(first, whole)
	}
	for _, o := range r.Others {
		if o.Endpoints == 0 {
			continue
		}
		first, whole := r.used(o, now)
		if used := max(first, whole); best == "" || used < least {
			best = o.Region
			least = used
		}
	}
	return best, best != ""
}

// used gives the parts of the times to the objective and to the deadline that
// the call would take in a region.
func (r PlaceRequest) used(l Load, now time.Time) (first, whole float64) {
	return part(l.First+l.Way, r.FirstBy, now), part(l.Whole+l.Way, r.WholeBy, now)
}

func part(takes time.Duration, by, now time.Time) float64 {
	if by.IsZero() {
		return 0
	}
	return takes.Seconds() / max(by.Sub(now).Seconds(), time.Millisecond.Seconds())
}

// ComeBack is when a call that no region took may try again.
func ComeBack(now time.Time) time.Time {
	return now.Add(comeBackAfter)
}
