// Package retry decides which failed calls are retried, and bounds the number of
// retries.
package retry

import (
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// maxSavedRetries is the capacity of the token bucket.
	maxSavedRetries = 10
	// initialRetries is the fill level of a new bucket.
	initialRetries = 3
	// maxAttempts is the default limit of attempts per call.
	maxAttempts = 3
)

// Budget is a token bucket that limits retries to a share of the requests. It is safe
// for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	tokens float64
}

// NewBudget creates a Budget that allows ratio retries per request, for example 0.1.
func NewBudget(ratio float64) *Budget {
	return &Budget{
		ratio:  max(ratio, 0),
		tokens: initialRetries,
	}
}

// OnRequest counts a first attempt.
func (b *Budget) OnRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, maxSavedRetries)
}

// Allow takes one retry from the budget and reports whether there was one.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Attempt is an attempt that ended without a complete answer.
type Attempt struct {
	Code result.Code
	// Sent is set if a byte of the call may have reached the endpoint.
	Sent       bool
	Idempotent bool
	// Delivered is set if a part of the answer was sent to the caller, Resumable if
	// another endpoint can continue the stream without a gap or a repetition.
	Delivered bool
	Resumable bool
	// Attempts is the number of attempts made, including this one.
	Attempts int
	// MaxAttempts limits Attempts; zero means the default of three.
	MaxAttempts int
	// WholeBy is the deadline, zero for none; Needed is the minimum duration of another
	// attempt.
	WholeBy time.Time
	Needed  time.Duration
}

// Verdict is the result of Decide.
type Verdict string

// Verdicts. All but VerdictRetry and VerdictResume end the call.
const (
	VerdictRetry           Verdict = "retry"
	VerdictResume          Verdict = "resume"
	VerdictFinal           Verdict = "final"
	VerdictUnsafe          Verdict = "unsafe"
	VerdictTooLate         Verdict = "too_late"
	VerdictTooManyAttempts Verdict = "attempts"
)

// retryableCodes are the codes after which another endpoint may succeed.
var retryableCodes = map[result.Code]bool{
	result.EndpointRefused: true,
	result.LimitEndpoint:   true,
	result.EndpointCut:     true,
	result.EndpointFailed:  true,
	result.AnswerCrossed:   true,
	result.RefusalUnproven: true,
}

// Decide reports whether a call may be retried. It does not consult the budget. Only
// the VM that sends to endpoints retries, never one that forwarded the call, so retries
// do not multiply across layers.
func Decide(a Attempt, now time.Time) Verdict {
	notRun := !a.Sent || a.Code.Class() == result.ClassNotRun
	switch {
	case !retryableCodes[a.Code]:
		return VerdictFinal
	case !notRun && !a.Idempotent:
		return VerdictUnsafe
	case a.Attempts >= a.maxAttempts():
		return VerdictTooManyAttempts
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

func (a Attempt) maxAttempts() int {
	if a.MaxAttempts > 0 {
		return a.MaxAttempts
	}
	return maxAttempts
}
