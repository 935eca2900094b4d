package retry

import "github.com/fuchsianotch/fuchsianotch/result"

// MaxVMsPerCall is the maximum number of VMs, including the caller's, that handle one
// routed call. Each further one adds a round trip.
const MaxVMsPerCall = 3

// ForwardResult is the result of one VM's attempts to serve a routed call.
type ForwardResult struct {
	Code result.Code
	// Sent is set if that VM reported that an attempt may have reached an endpoint.
	Sent bool
	// Ran is the number of endpoints that may have run the call there, as far as that
	// VM reported it.
	Ran        int
	Idempotent bool
	// HeadSent is set if the caller has received the head of an answer, Resumable if the
	// answer can be resumed by another VM, and EventSent if the caller has received an
	// event to resume after.
	HeadSent  bool
	Resumable bool
	EventSent bool
}

// RemainingRuns returns how many more endpoints may run the call. A VM that was lost without
// a report counts as the runs that it was granted, one at least.
func (p ForwardResult) RemainingRuns(maxRuns int) int {
	if p.Ran == 0 && p.Code.Class() == result.ClassUnknown {
		return maxRuns - 1
	}
	return maxRuns - p.Ran
}

// MayForwardElsewhere reports whether another VM may serve the call: it did not run here, or it may
// run again and the caller can be given the rest.
func (p ForwardResult) MayForwardElsewhere() bool {
	switch p.Code {
	case result.EndpointRefused, result.LimitEndpoint, result.NoEndpoint, result.PeerUnreachable, result.Stopping, result.NotReady, result.DeadlineUnmeetable, result.QueueFull, result.BodyMemoryFull:
		return !p.HeadSent || p.Resumable
	case result.PeerLost, result.EndpointCut, result.RefusalUnproven:
		return p.Idempotent && (!p.HeadSent || (p.Resumable && p.EventSent))
	default:
		return false
	}
}

// NextIsRetry reports whether the next VM's first attempt counts as a retry: an endpoint may
// have had the call, as far as is known of a VM that was lost.
func (p ForwardResult) NextIsRetry() bool {
	return p.Sent || p.Code.Class() != result.ClassNotRun
}
