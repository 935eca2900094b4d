// Package retry decides which failed calls are sent again, and bounds how many.
package retry

import (
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// burst is how many retries may be saved up.
	burst = 10
	// minimum is how many retries are there at the start.
	minimum = 3
	// maxAttempts bounds how often one call is sent.
	maxAttempts = 3
)

// Budget bounds retries to a share of the requests. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// New makes a Budget of so many retries for each request, for example 0.1.
func New(share float64) *Budget {
	return &Budget{
		share:  max(share, 0),
		tokens: minimum,
	}
}

// OnRequest counts one first attempt.
func (b *Budget) OnRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, burst)
}

// Allow takes one retry from the budget, if there is one.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Attempt is one attempt that did not end in a whole answer.
type Attempt struct {
	Code result.Code
	// Sent is set when a byte of the call may have reached the endpoint.
	Sent       bool
	Idempotent bool
	// Delivered is set when a part of the answer went to the caller, Resumable
	// when another endpoint can go on after it without a seam.
	Delivered bool
	Resumable bool
	// Attempts is how often the call was tried, this one included.
	Attempts int
	// MaxAttempts bounds Attempts; zero means the default of three.
	MaxAttempts int
	// WholeBy is the deadline, zero for none; Needed is the least time for another try.
	WholeBy time.Time
	Needed  time.Duration
}

// Verdict is the answer of Decide.
type Verdict string

// The verdicts. Any but VerdictRetry and VerdictResume ends the call.
const (
	VerdictRetry    Verdict = "retry"
	VerdictResume   Verdict = "resume"
	VerdictFinal    Verdict = "final"
	VerdictUnsafe   Verdict = "unsafe"
	VerdictTooLate  Verdict = "too_late"
	VerdictAttempts Verdict = "attempts"
)

// repeatable lists the codes after which another endpoint may do better.
var repeatable = map[result.Code]bool{
	result.EndpointRefused: true,
	result.LimitEndpoint:   true,
	result.EndpointCut:     true,
	result.EndpointFailed:  true,
	result.AnswerCrossed:   true,
}

// Decide reports whether a call may be sent again. It does not ask the budget.
// Only the VM that sends to endpoints retries: the one that forwarded a call
// never does, so the layers do not multiply.
func Decide(a Attempt, now time.Time) Verdict {
	notRun := !a.Sent || a.Code.Class() == result.ClassNotRun
	switch {
	case !repeatable[a.Code]:
		return VerdictFinal
	case !notRun && !a.Idempotent:
		return VerdictUnsafe
	case a.Attempts >= a.most():
		return VerdictAttempts
	case !a.WholeBy.IsZero() && now.Add(a.Needed).After(a.WholeBy):
		return VerdictTooLate
	case a.Delivered && a.Resumable && a.Idempotent:
		return VerdictResume
	case a.Delivered:
		return VerdictUnsafe
	default:
		return VerdictRetry
	}
}

func (a Attempt) most() int {
	if a.MaxAttempts > 0 {
		return a.MaxAttempts
	}
	return maxAttempts
}
