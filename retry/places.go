package retry

import "github.com/fuchsianotch/fuchsianotch/result"

// PlacesPerCall is the maximum number of VMs, including the caller's, that handle one
// routed call. Each further one adds a round trip.
const PlacesPerCall = 3

// Place is the result of one VM's attempts to serve a routed call.
type Place struct {
	Code result.Code
	// Ran is the number of endpoints that may have run the call there, as far as that
	// VM reported it.
	Ran        int
	Idempotent bool
	// Headed is set if the caller has received the head of an answer, Resumable if the
	// answer can be resumed by another VM, and HasEvent if the caller has received an
	// event to resume after.
	Headed    bool
	Resumable bool
	HasEvent  bool
}

// RunsLeft returns how many more endpoints may run the call. A VM that was lost without
// a report counts as one run.
func (p Place) RunsLeft(maxRuns int) int {
	if p.Ran == 0 && p.Code.Class() == result.ClassUnknown {
		return maxRuns - 1
	}
	return maxRuns - p.Ran
}

// MayMove reports whether another VM may serve the call: it did not run here, or it may
// run again and the caller can be given the rest.
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

// IsRepeat reports whether the next VM's first attempt counts as a retry.
func (p Place) IsRepeat() bool {
	return p.Code.Class() != result.ClassNotRun || p.Code == result.EndpointRefused
}
