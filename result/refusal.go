package result

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Refusal is an error with a result code for a caller, a peer or an operator.
type Refusal struct {
	Code    Code
	Message string
	// RetryAt is the earliest time at which a retry may succeed; zero means unknown.
	RetryAt time.Time
	// Cause is the underlying error, shown to operators only; it may be nil.
	Cause error
}

// Refuse returns a Refusal with a formatted message for its recipient.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{
		Code:    code,
		Message: fmt.Sprintf(format, args...),
	}
}

// WithRetryAt sets RetryAt and returns the refusal.
func (r *Refusal) WithRetryAt(at time.Time) *Refusal {
	r.RetryAt = at
	return r
}

// WithCause sets Cause, wrapped with a stack trace, and returns the refusal.
func (r *Refusal) WithCause(cause error) *Refusal {
	r.Cause = merry.Wrap(cause)
	return r
}

// Error returns the code, its name and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%d %s: %s", r.Code, r.Code, r.Message)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error {
	return r.Cause
}

// FromError returns the Refusal that err wraps, or a new one with code fallback and cause err.
func FromError(err error, fallback Code) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Refuse(fallback, "%s", fallback).WithCause(err)
}
