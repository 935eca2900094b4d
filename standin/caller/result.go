package caller

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Result is how a call ended, as its caller sees it.
type Result struct {
	// Code is the last answer's code; zero means that no valid answer came.
	Code result.Code `json:"code"`
	// Class is what the caller may conclude over all tries. It is unknown where
	// an earlier try ended so, even if the last answer claims that nothing ran.
	Class  result.Class `json:"class"`
	Status int          `json:"status"`
	// Text is the generated text, or a service's body. It may be partial
	// unless Class is done.
	Text  string     `json:"text"`
	Usage call.Usage `json:"usage"`
	// StartedAt is when the first try began; FirstAt is when the first
	// generated text came, or the head of an answer that is no stream.
	StartedAt time.Time `json:"started_at"`
	FirstAt   time.Time `json:"first_at,omitzero"`
	DoneAt    time.Time `json:"done_at"`
	VM        string    `json:"vm"`
	RequestID string    `json:"request_id"`
	// Tries counts the tries, with those that only asked for entries in vain.
	Tries int `json:"tries"`
	// Ticket is the ticket that the call was sent with.
	Ticket string `json:"ticket,omitempty"`
	// ComeBackAt is what the last refusal named.
	ComeBackAt time.Time `json:"come_back_at,omitzero"`
	// Message explains a result that is not of class done.
	Message string `json:"message,omitempty"`
}

// failed ends a result for a reason that the caller found by itself.
func (r Result) failed(err error, sent bool) Result {
	r.Code = 0
	r.Class = result.ClassNotRun
	if sent {
		r.Class = result.ClassUnknown
	}
	r.Message = err.Error()
	return r
}
