// Package agent keeps calls from endpoints that these crash under, on one VM: it finds
// out whether an endpoint crashed when connections to it break off, exchanges notes
// with other VMs, and tells traffic which calls are held. What is decided is decided by
// the package quarantine.
package agent

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/mailbox"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// inboxLength is how many messages may wait: one crash cuts some hundred calls of
	// a VM at the most.
	inboxLength = 512
	// stepEvery is the interval at which notes fall due: what a VM that starts
	// or comes back has to hear waits for that.
	stepEvery = time.Second
	// tellWithin bounds one note with a new connection between the most distant regions.
	tellWithin = time.Second
	// tellsAtOnce bounds the notes under way: a verdict goes to all VMs of the fleet.
	tellsAtOnce = 32
	// tryWithin is when another try of a call that is held may be let through, if
	// nothing was heard of the one before: longer than calls last.
	tryWithin = 15 * time.Second
)

// Options set up an Agent. Every field is required.
type Options struct {
	VM  string
	Log *slog.Logger
	Now func() time.Time
	// Dial opens a connection to an address and closes it.
	Dial func(ctx context.Context, addr string) error
	// Listed reports whether an endpoint takes work by what is published: one that leaves
	// ends as planned, with calls that it has.
	Listed func(e fleet.Endpoint) bool
	// VMs returns those in reach with this one, and whether others are out of reach.
	VMs func() (vms []quarantine.Peer, parted bool)
	// Tell sends a note to a VM.
	Tell func(ctx context.Context, to fleet.VM, n quarantine.Note) error
	// Count is told how many calls are held.
	Count func(held int)
}

// Agent is that of one VM. Its exported methods may be called from any goroutine.
type Agent struct {
	options Options
	inbox   mailbox.Mailbox[message]
	tells   chan struct{}
	// held are the calls that are held, for traffic to read.
	held atomic.Pointer[map[uint64]*held]
	// proven are calls that ended well of late.
	proven proven

	// What follows belongs to the agent's goroutine.
	list *quarantine.List
	// due is set when a note may be due at once.
	due bool
	// checks are the endpoints that are being looked at, or were of late.
	checks map[life]*check
}

// held is a call that is held.
type held struct {
	quarantine.Held
	// triedUntil is until when a try that was let through is waited for, in nanoseconds
	// since the epoch.
	triedUntil atomic.Int64
}

// message is one event for the agent's goroutine.
type message func(ctx context.Context, now time.Time)

// New makes an agent that does not run yet.
func New(o Options) *Agent {
	a := &Agent{
		options: o,
		inbox:   mailbox.New[message](inboxLength),
		tells:   make(chan struct{}, tellsAtOnce),
		list:    quarantine.New(o.VM),
		checks:  make(map[life]*check),
	}
	a.held.Store(&map[uint64]*held{})
	return a
}

// Run handles what it is told until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-a.inbox.Messages():
			m(ctx, a.options.Now())
			a.drain(ctx)
		case <-ticker.C:
			a.due = a.due || !a.isIdle()
		}
		if a.due {
			a.due = false
			a.step(ctx, a.options.Now())
		}
	}
}

// isIdle says that there is nothing that time changes.
func (a *Agent) isIdle() bool {
	return a.list.IsEmpty() && len(a.checks) == 0 && len(*a.held.Load()) == 0
}

// drain handles what has come meanwhile, so that the calls which one crash cuts go
// into one note.
func (a *Agent) drain(ctx context.Context) {
	for range inboxLength {
		select {
		case m := <-a.inbox.Messages():
			m(ctx, a.options.Now())
		default:
			return
		}
	}
}

// tell passes a message to the agent's goroutine. Traffic never waits for it: what
// does not fit is dropped with a line.
func (a *Agent) tell(m message) {
	if !a.inbox.Offer(m) {
		a.options.Log.Warn("crash_note_dropped")
	}
}

// Cut takes that the connection broke off on which an endpoint had a call. firstAt is
// when its answer began, zero if it did not.
func (a *Agent) Cut(content uint64, e fleet.Endpoint, firstAt time.Time) {
	if !quarantine.Suspects(firstAt, a.options.Now()) {
		a.EndedWell(content)
		return
	}
	a.tell(func(ctx context.Context, now time.Time) { a.check(ctx, content, e, now) })
}

// EndedWell takes that an endpoint ran a call and did not crash.
func (a *Agent) EndedWell(content uint64) {
	a.proven.add(content)
	if (*a.held.Load())[content] == nil {
		return
	}
	a.tell(func(_ context.Context, now time.Time) {
		a.list.EndedWell(content, now)
		a.due = true
	})
}

// Admit reports whether endpoints may get a call. One that is held may still, as a trial,
// once it is this VM's to try it.
func (a *Agent) Admit(content uint64) (refusal *result.Refusal, trial bool) {
	h := (*a.held.Load())[content]
	if h == nil {
		return nil, false
	}
	if h.takeTry(a.options.Now()) {
		return nil, true
	}
	return result.Refuse(result.Quarantined, "%d endpoints crashed under this call", h.Crashes), false
}

// takeTry lets one try through when it is this VM's turn.
func (h *held) takeTry(now time.Time) bool {
	until := h.triedUntil.Load()
	if h.TryAt.IsZero() || now.Before(h.TryAt) || now.UnixNano() < until {
		return false
	}
	return h.triedUntil.CompareAndSwap(until, now.Add(tryWithin).UnixNano())
}

// MembersChanged takes that other VMs are in reach now: one that has just started is to
// know what is held before callers come to it.
func (a *Agent) MembersChanged() {
	a.tell(func(context.Context, time.Time) { a.due = a.due || !a.isIdle() })
}

// Take takes another VM's note.
func (a *Agent) Take(n quarantine.Note) {
	a.tell(func(_ context.Context, now time.Time) {
		a.list.Take(n, now)
		a.due = true
	})
}

// step sends the notes that are due and shows traffic what is held.
func (a *Agent) step(ctx context.Context, now time.Time) {
	a.forgetChecks(now)
	a.list.Step(now)
	vms, parted := a.options.VMs()
	for _, note := range a.list.Due(vms, parted, now) {
		go a.send(ctx, note)
	}
	a.publish(a.list.Held(vms))
}

func (a *Agent) send(ctx context.Context, note quarantine.Outgoing) {
	a.tells <- struct{}{}
	trip, cancel := context.WithTimeout(ctx, tellWithin)
	err := a.options.Tell(trip, note.To.VM, note.Note)
	cancel()
	<-a.tells
	if err != nil {
		a.options.Log.Debug("crash_note_failed", "peer", note.To.VM.ID, "reason", err.Error())
	}
	// Not dropped: until then the list takes the note as on its way.
	a.inbox.Send(ctx, func(context.Context, time.Time) {
		a.list.Sent(note, err == nil)
		// Those that count may have to be told of what came meanwhile.
		a.due = a.due || (err == nil && len(note.Note.Crashes) > 0)
	})
}

// publish shows traffic what is held, and logs what has changed.
func (a *Agent) publish(list []quarantine.Held) {
	before := *a.held.Load()
	after := make(map[uint64]*held, len(list))
	changed := len(list) != len(before)
	for _, h := range list {
		known := before[h.Content]
		if known == nil {
			a.options.Log.Warn("call_quarantined", "content", contentText(h.Content), "crashes", h.Crashes)
		}
		if known == nil || known.Held != h {
			known = &held{Held: h}
			changed = true
		}
		after[h.Content] = known
	}
	for content := range before {
		if after[content] == nil {
			a.options.Log.Info("call_released", "content", contentText(content))
		}
	}
	if changed {
		a.held.Store(&after)
		a.options.Count(len(after))
	}
}
