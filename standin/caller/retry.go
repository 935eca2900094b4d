package caller

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// Backoff between rounds in which every VM was tried, if no response names a time.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// maxRetryWait bounds the wait for come_back_at if the call has no deadline.
const maxRetryWait = 10 * time.Second

// nextStep is what a caller does after an attempt.
type nextStep int

const (
	// stepReturn returns the result.
	stepReturn nextStep = iota
	// stepRetrySameVM retries on the same VM with the ticket that it issued.
	stepRetrySameVM
	// stepRetryNamedVMs retries on the VMs that the response named.
	stepRetryNamedVMs
	// stepRetryNextVM retries on the next VM.
	stepRetryNextVM
	// stepWaitAndRetry waits until the time that the response named.
	stepWaitAndRetry
	// stepRenewTicket requests a new ticket, as the expired one was never used.
	stepRenewTicket
)

// decide chooses the next step after an attempt. It retries a call only if the
// attempt did not run or the call is repeatable.
func decide(q *request, a attemptResult) nextStep {
	switch {
	case a.Class == result.ClassDone:
		return stepReturn
	case a.Class == result.ClassNotRun:
		return decideNotRun(q, a)
	case !q.repeatable():
		return stepReturn
	case a.Code == 0, a.Code == result.PeerLost, a.Code == result.ExecutorGone:
		return stepRetryNextVM
	default:
		// The gateway has recorded the outcome, so a retry would return the same.
		return stepReturn
	}
}

func decideNotRun(q *request, a attemptResult) nextStep {
	switch a.Code {
	case 0, result.NotReady:
		return stepRetryNextVM
	case result.TicketRequired:
		if a.ticket != "" && q.ticket == "" {
			return stepRetrySameVM
		}
		return stepReturn
	case result.TicketExpired:
		if q.withTicket {
			return stepRenewTicket
		}
		return stepReturn
	}
	switch {
	case len(a.use) > 0:
		return stepRetryNamedVMs
	case a.Code == result.Stopping, a.Code == result.PeerUnreachable:
		return stepRetryNextVM
	case !a.RetryAt.IsZero():
		return stepWaitAndRetry
	default:
		return stepReturn
	}
}

// retrier holds the state of one call across attempts.
type retrier struct {
	caller  *Caller
	request *request
	// targets are the VMs to try, in order; if empty, entries are requested.
	targets []Entry
	// tried are the VMs tried since the last backoff.
	tried []string
	// triedAt is the start time of the last attempt.
	triedAt time.Time
	backoff time.Duration
	// unknown is set once an attempt ended with an unknown outcome.
	unknown bool
}

// sendWithRetries sends the call until a response is final or the attempts are
// exhausted.
func (c *Caller) sendWithRetries(ctx context.Context, q *request) Result {
	f := &retrier{
		caller:  c,
		request: q,
		backoff: initialBackoff,
	}
	startedAt := time.Now()
	for tries := 1; ; tries++ {
		a, again := f.try(ctx)
		f.unknown = f.unknown || a.Class == result.ClassUnknown
		if !again || tries >= c.options.MaxTries || !f.prepareRetry(ctx, a) {
			return f.finish(a, startedAt, tries)
		}
	}
}

func (f *retrier) finish(a attemptResult, startedAt time.Time, tries int) Result {
	r := a.Result
	if f.unknown && r.Class == result.ClassNotRun {
		r.Class = result.ClassUnknown
	}
	r.StartedAt = startedAt
	r.DoneAt = time.Now()
	r.Attempts = tries
	return r
}

// try sends the call to the first target. It reports whether ctx allows a retry.
func (f *retrier) try(ctx context.Context) (attemptResult, bool) {
	if err := f.selectTargets(ctx); err != nil {
		a := attemptResult{
			Result: Result{}.withError(err, false),
		}
		var refusal *result.Refusal
		if errors.As(err, &refusal) {
			a.Code = refusal.Code
			a.RetryAt = refusal.RetryAt
		}
		return a, ctx.Err() == nil
	}
	f.triedAt = time.Now()
	a := f.caller.attempt(ctx, f.targets[0], f.request)
	return a, ctx.Err() == nil
}

// selectTargets requests a ticket if the call needs one, and entries if there are
// no targets.
func (f *retrier) selectTargets(ctx context.Context) error {
	if f.request.withTicket && f.request.ticket == "" {
		ticket, err := f.caller.Ticket(ctx)
		if err != nil {
			return err
		}
		f.request.ticket = ticket.Ticket
		f.targets = ticket.Entries
	}
	if len(f.targets) > 0 {
		return nil
	}
	entries, err := f.caller.Entries(ctx)
	f.targets = entries
	return err
}

// prepareRetry prepares the next attempt. It returns false if there is to be none.
func (f *retrier) prepareRetry(ctx context.Context, a attemptResult) bool {
	if deadline := f.request.deadline; !deadline.IsZero() && !time.Now().Before(deadline) {
		return false
	}
	var current string
	if len(f.targets) > 0 {
		current = f.targets[0].Addr
		f.tried = append(f.tried, current)
	}
	switch decide(f.request, a) {
	case stepRetrySameVM:
		f.request.ticket = a.ticket
		return true
	case stepRenewTicket:
		f.request.ticket = ""
		return true
	case stepRetryNamedVMs:
		f.caller.invalidateEntries(f.triedAt)
		f.targets = without(a.use, current)
	case stepRetryNextVM:
		f.caller.moveToEnd(current)
		f.targets = without(f.targets, current)
	case stepWaitAndRetry:
		return f.waitForRetryTime(ctx, a.RetryAt)
	default:
		return false
	}
	return f.skipTried(ctx)
}

// skipTried removes the VMs already tried in this round. If none remain, it backs
// off and starts a new round with fresh entries.
func (f *retrier) skipTried(ctx context.Context) bool {
	f.targets = without(f.targets, f.tried...)
	if len(f.targets) > 0 {
		return true
	}
	f.tried = nil
	now := time.Now()
	f.caller.invalidateEntries(now)
	until := now.Add(f.backoff)
	f.backoff = min(2*f.backoff, maxBackoff)
	return f.waitUntil(ctx, until)
}

// waitForRetryTime waits until the time that a refusal named, unless that is too
// late for the call.
func (f *retrier) waitForRetryTime(ctx context.Context, at time.Time) bool {
	f.tried = nil
	limit := f.request.deadline
	if limit.IsZero() {
		limit = time.Now().Add(maxRetryWait)
	}
	return at.Before(limit) && f.waitUntil(ctx, at)
}

func (f *retrier) waitUntil(ctx context.Context, until time.Time) bool {
	if deadline := f.request.deadline; !deadline.IsZero() && !until.Before(deadline) {
		return false
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// without returns a copy of vms without the given addresses.
func without(vms []Entry, addrs ...string) []Entry {
	return slices.DeleteFunc(slices.Clone(vms), func(e Entry) bool {
		return slices.Contains(addrs, e.Addr)
	})
}
