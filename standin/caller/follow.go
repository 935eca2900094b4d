package caller

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// Pauses between rounds in which each VM was tried, when no answer names a time.
const (
	firstPause = 100 * time.Millisecond
	maxPause   = 2 * time.Second
)

// patience bounds the wait for come_back_at of a call without a deadline.
const patience = 10 * time.Second

// action is what a caller does after one try.
type action int

const (
	// actEnd hands the result to the caller.
	actEnd action = iota
	// actSame sends again to the same VM, now with the ticket it gave.
	actSame
	// actUse sends to the VMs that the answer named.
	actUse
	// actNext sends to the next VM.
	actNext
	// actComeBack waits until the time that the answer named.
	actComeBack
	// actNewTicket gets a new ticket for a call whose ticket was never used.
	actNewTicket
)

// decide chooses the action after an answer. It repeats a call only if the
// try did not run or the call is repeatable.
func decide(q *request, a answer) action {
	switch {
	case a.Class == result.ClassDone:
		return actEnd
	case a.Class == result.ClassNotRun:
		return decideNotRun(q, a)
	case !q.repeatable():
		return actEnd
	case a.Code == 0, a.Code == result.PeerLost, a.Code == result.ExecutorGone:
		return actNext
	default:
		// The outcome is on record; each further try would give the same.
		return actEnd
	}
}

func decideNotRun(q *request, a answer) action {
	switch a.Code {
	case 0, result.NotReady:
		return actNext
	case result.TicketRequired:
		if a.ticket != "" && q.ticket == "" {
			return actSame
		}
		return actEnd
	case result.TicketExpired:
		if q.withTicket {
			return actNewTicket
		}
		return actEnd
	}
	switch {
	case len(a.use) > 0:
		return actUse
	case a.Code == result.Stopping, a.Code == result.PeerUnreachable:
		return actNext
	case !a.ComeBackAt.IsZero():
		return actComeBack
	default:
		return actEnd
	}
}

// follower carries one call from try to try.
type follower struct {
	caller  *Caller
	request *request
	// targets are the VMs to try, in order; none means to ask for them.
	targets []Entry
	// tried are the VMs tried since the last pause.
	tried []string
	// triedAt is when the last try began.
	triedAt time.Time
	pause   time.Duration
	// unknown is set once a try ended with an unknown outcome.
	unknown bool
}

// follow sends the call until an answer ends it or its tries are used up.
func (c *Caller) follow(ctx context.Context, q *request) Result {
	f := &follower{
		caller:  c,
		request: q,
		pause:   firstPause,
	}
	startedAt := time.Now()
	for tries := 1; ; tries++ {
		a, again := f.try(ctx)
		f.unknown = f.unknown || a.Class == result.ClassUnknown
		if !again || tries >= c.options.MaxTries || !f.prepare(ctx, a) {
			return f.finish(a, startedAt, tries)
		}
	}
}

func (f *follower) finish(a answer, startedAt time.Time, tries int) Result {
	r := a.Result
	if f.unknown && r.Class == result.ClassNotRun {
		r.Class = result.ClassUnknown
	}
	r.StartedAt = startedAt
	r.DoneAt = time.Now()
	r.Tries = tries
	return r
}

// try sends the call to the first target. It reports whether the caller may
// try again.
func (f *follower) try(ctx context.Context) (answer, bool) {
	if err := f.aim(ctx); err != nil {
		a := answer{
			Result: Result{}.failed(err, false),
		}
		var refusal *result.Refusal
		if errors.As(err, &refusal) {
			a.Code = refusal.Code
			a.ComeBackAt = refusal.ComeBackAt
		}
		return a, ctx.Err() == nil
	}
	f.triedAt = time.Now()
	a := f.caller.attempt(ctx, f.targets[0], f.request)
	return a, ctx.Err() == nil
}

// aim finds targets if there are none, and a ticket if the call wants one.
func (f *follower) aim(ctx context.Context) error {
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

// prepare makes ready for the try after an answer, or reports that there is none.
func (f *follower) prepare(ctx context.Context, a answer) bool {
	if deadline := f.request.deadline; !deadline.IsZero() && !time.Now().Before(deadline) {
		return false
	}
	var current string
	if len(f.targets) > 0 {
		current = f.targets[0].Addr
		f.tried = append(f.tried, current)
	}
	switch decide(f.request, a) {
	case actSame:
		f.request.ticket = a.ticket
		return true
	case actNewTicket:
		f.request.ticket = ""
		return true
	case actUse:
		f.caller.forget(f.triedAt)
		f.targets = without(a.use, current)
	case actNext:
		f.caller.demote(current)
		f.targets = without(f.targets, current)
	case actComeBack:
		return f.comeBack(ctx, a.ComeBackAt)
	default:
		return false
	}
	return f.skipTried(ctx)
}

// skipTried leaves out the VMs of this round. When none is left it pauses and
// starts a new round with fresh entries.
func (f *follower) skipTried(ctx context.Context) bool {
	f.targets = without(f.targets, f.tried...)
	if len(f.targets) > 0 {
		return true
	}
	f.tried = nil
	now := time.Now()
	f.caller.forget(now)
	until := now.Add(f.pause)
	f.pause = min(2*f.pause, maxPause)
	return f.wait(ctx, until)
}

// comeBack waits for a time that a refusal named, if the call can wait so long.
func (f *follower) comeBack(ctx context.Context, at time.Time) bool {
	f.tried = nil
	limit := f.request.deadline
	if limit.IsZero() {
		limit = time.Now().Add(patience)
	}
	return at.Before(limit) && f.wait(ctx, at)
}

func (f *follower) wait(ctx context.Context, until time.Time) bool {
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

// without copies the VMs but for some addresses.
func without(vms []Entry, addrs ...string) []Entry {
	return slices.DeleteFunc(slices.Clone(vms), func(e Entry) bool {
		return slices.Contains(addrs, e.Addr)
	})
}
