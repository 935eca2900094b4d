package call

import (
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// Sink takes an answer as it comes: a head, then chunks. An error from either
// means that the one who asked has gone.
type Sink struct {
	Head  func(status int, header http.Header) error
	Chunk func(data []byte) error
}

// Outcome is how a call ended.
type Outcome struct {
	Code result.Code
	// Refusal explains any code that is not of class done.
	Refusal *result.Refusal
	Usage   Usage
	// FirstAt is when the first chunk came; zero if none did.
	FirstAt time.Time
	// Endpoint is the id of the endpoint that gave the answer.
	Endpoint string
	// Ran is how many endpoints may have run the call.
	Ran int
	// Pause is the longest time between two pieces of the answer, as they went
	// to the caller; set on routed calls where they came to this process.
	Pause time.Duration
}

// Refused makes the outcome of a refusal.
func Refused(r *result.Refusal) Outcome {
	return Outcome{
		Code:    r.Code,
		Refusal: r,
	}
}
