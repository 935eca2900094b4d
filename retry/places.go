package retry

import "github.com/fuchsianotch/fuchsianotch/result"

// PlacesPerCall bounds the VMs, the caller's own included, that look at one
// routed call: each one more costs a way there and back.
const PlacesPerCall = 3

// Place is what one VM made of a routed call.
type Place struct {
	Code result.Code
	// Ran is how many endpoints may have run the call there, as far as it told.
	Ran        int
	Idempotent bool
	// Headed is set when the caller has the head of an answer, Resumable when the
	// answer may go on elsewhere, and HasEvent when it has an event to go on from.
	Headed    bool
	Resumable bool
	HasEvent  bool
}

// RunsLeft is how many more endpoints may run a call of which so many may. A VM
// that was lost with the call is taken to have had it run by one.
func (p Place) RunsLeft(most int) int {
	if p.Ran == 0 && p.Code.Class() == result.ClassUnknown {
		return most - 1
	}
	return most - p.Ran
}

// MayMove reports whether the call may go to another place: it did not run at this
// one, or it may run again and the caller can be given the rest.
func (p Place) MayMove() bool {
	switch p.Code {
	case result.EndpointRefused, result.LimitEndpoint, result.NoEndpoint, result.PeerUnreachable, result.Stopping, result.NotReady, result.DeadlineUnmeetable, result.QueueFull:
		return !p.Headed || p.Resumable
	case result.PeerLost, result.EndpointCut:
		return p.Idempotent && (!p.Headed || (p.Resumable && p.HasEvent))
	default:
		return false
	}
}

// IsRepeat reports whether the next place's first attempt is one more of the call's.
func (p Place) IsRepeat() bool {
	return p.Code.Class() != result.ClassNotRun || p.Code == result.EndpointRefused
}
