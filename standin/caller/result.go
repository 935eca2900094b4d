package caller

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Result is the outcome of a call as its caller sees it.
type Result struct {
	// Code is the last response's code; zero means that there was no valid response.
	Code result.Code `json:"code"`
	// Class covers all attempts. It is unknown if the outcome of any attempt is
	// unknown, even if the last response states that nothing ran.
	Class  result.Class `json:"class"`
	Status int          `json:"status"`
	// Text is the generated text, or a service's response body. It may be partial
	// unless Class is done.
	Text  string     `json:"text"`
	Usage call.Usage `json:"usage"`
	// StartedAt is when the first attempt began; FirstAt is when the first
	// generated text arrived, or the header of a response that is not streamed.
	StartedAt time.Time `json:"started_at"`
	FirstAt   time.Time `json:"first_at,omitzero"`
	DoneAt    time.Time `json:"done_at"`
	// ConnectedAt is when the last attempt had a connection, and ContinuedAt when the VM asked
	// for its body.
	ConnectedAt time.Time `json:"connected_at,omitzero"`
	ContinuedAt time.Time `json:"continued_at,omitzero"`
	VM          string    `json:"vm"`
	RequestID   string    `json:"request_id"`
	// Attempts counts the attempts, including those that failed to get entries.
	Attempts int `json:"tries"`
	// Ticket is the ticket that the call was sent with.
	Ticket string `json:"ticket,omitempty"`
	// RetryAt is the retry time that the last refusal named.
	RetryAt time.Time `json:"come_back_at,omitzero"`
	// Message explains a result whose class is not done.
	Message string `json:"message,omitempty"`
}

// withError returns the result with an error on the caller's side. Its class
// depends on whether the call may have been sent.
func (r Result) withError(err error, sent bool) Result {
	r.Code = 0
	r.Class = result.ClassNotRun
	if sent {
		r.Class = result.ClassUnknown
	}
	r.Message = err.Error()
	return r
}
