package borrow

import "time"

const (
	// nearEnough is the part of the time to the objective within which the own
	// region is used whatever others offer: the way there costs bytes.
	nearEnough = 0.25
	// comeBackAfter is when a call that no region can serve may try again.
	comeBackAfter = 500 * time.Millisecond
)

// Load is how a region can serve one service, by its own word.
type Load struct {
	Region string
	// Endpoints is how many take work; First is the expected time to the first
	// token there.
	Endpoints int
	First     time.Duration
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
	// FirstBy is the objective; zero means none.
	FirstBy time.Time
}

// Place chooses the region in which a call is served: the own one while it is
// expected to answer well within the objective, and else the one that answers
// first. It returns false when none takes work.
func Place(r PlaceRequest, now time.Time) (region string, ok bool) {
	best := Load{}
	if r.OwnAllowed && r.Own.Endpoints > 0 {
		best = r.Own
		if r.FirstBy.IsZero() || now.Add(r.Own.First).Before(now.Add(part(r.FirstBy.Sub(now), nearEnough))) {
			return best.Region, true
		}
	}
	for _, o := range r.Others {
		if o.Endpoints > 0 && (best.Region == "" || o.First+o.Way < best.First+best.Way) {
			best = o
		}
	}
	return best.Region, best.Region != ""
}

// ComeBack is when a call that no region took may try again.
func ComeBack(now time.Time) time.Time {
	return now.Add(comeBackAfter)
}

func part(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}
