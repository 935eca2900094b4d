package call

import (
	"errors"
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// ErrStopping is the cause with which a VM that stops ends the contexts of its calls.
var ErrStopping = errors.New("the VM is stopping")

// ErrNotContinuation is the error of a Sink for a response that cannot continue what the caller
// received.
var ErrNotContinuation = errors.New("the answer does not continue the stream")

// Sink receives a response: the head, then chunks. An error from either means that
// the caller has disconnected, unless it is ErrNotContinuation.
type Sink struct {
	// Version receives the software version of the endpoint whose response follows, before
	// the head; nil means that it is not needed.
	Version func(softwareVersion string)
	Head    func(status int, header http.Header) error
	Chunk   func(data []byte) error
}

// Outcome is the result of a call.
type Outcome struct {
	Code result.Code
	// Refusal is set for every code that is not of class done.
	Refusal *result.Refusal
	Usage   Usage
	// FirstChunkAt is when the first chunk arrived; zero if none did.
	FirstChunkAt time.Time
	// Endpoint is the id of the endpoint that responded.
	Endpoint string
	// VM is the id of the VM to which a routed call was forwarded; empty if it was served by the
	// VM that took it.
	VM string
	// VMStopped is set if that VM reported that its stop has cut the call off.
	VMStopped bool
	// RunsOnce is set if that VM has a newer routing table by which the call may run once.
	RunsOnce bool
	// EndpointsRun is the number of endpoints that may have run the call.
	EndpointsRun int
	// Sent is set if an attempt may have reached an endpoint, whether that ran it or not.
	Sent bool
	// LongestGap is the longest time between two chunks delivered to the caller. It is set
	// on routed calls that arrived at this process.
	LongestGap time.Duration
}

// Refused returns the outcome of a refused call.
func Refused(r *result.Refusal) Outcome {
	return Outcome{
		Code:    r.Code,
		Refusal: r,
	}
}
