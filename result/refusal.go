package result

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Refusal is an error that carries a code to a caller, a peer or an operator.
type Refusal struct {
	Code    Code
	Message string
	// ComeBackAt is when another try may succeed; zero means no such time is known.
	ComeBackAt time.Time
	// Cause is the error underneath, for operators only; it may be nil.
	Cause error
}

// Refuse makes a Refusal with a message for the one who asked.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{
		Code:    code,
		Message: fmt.Sprintf(format, args...),
	}
}

// Until returns the refusal with the time to come back set.
func (r *Refusal) Until(at time.Time) *Refusal {
	r.ComeBackAt = at
	return r
}

// Because returns the refusal with its cause, which keeps its stack trace.
func (r *Refusal) Because(cause error) *Refusal {
	r.Cause = merry.Wrap(cause)
	return r
}

// Error returns the code's number and name with the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%d %s: %s", r.Code, r.Code, r.Message)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error {
	return r.Cause
}

// Of returns the refusal inside err. An error without one becomes fallback.
func Of(err error, fallback Code) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Refuse(fallback, "%s", fallback).Because(err)
}
