// Package agent runs the quarantine on one VM: it checks whether an endpoint crashed
// when connections to it break off, exchanges notes with other VMs, and provides the
// quarantined calls to the request path. Decisions are made by package quarantine.
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
	// inboxCapacity covers the calls that one crash interrupts on a VM, some hundred at
	// most.
	inboxCapacity = 512
	// stepInterval is the interval at which notes are sent, also to VMs that have
	// restarted or become reachable again.
	stepInterval = time.Second
	// sendTimeout allows for a new connection between the most distant regions.
	sendTimeout = time.Second
	// maxConcurrentSends limits the notes in flight, as a verdict is sent to all VMs.
	maxConcurrentSends = 32
	// trialTimeout is when another trial may be admitted if the result of the previous
	// one is unknown. It is longer than calls last.
	trialTimeout = 15 * time.Second
)

// Options configures an Agent. All fields are required.
type Options struct {
	VM  string
	Log *slog.Logger
	Now func() time.Time
	// Dial opens and closes a connection to an address.
	Dial func(ctx context.Context, addr string) error
	// Published reports whether an endpoint is published as accepting calls. An endpoint
	// that is draining stops as planned, with calls in flight.
	Published func(e fleet.Endpoint) bool
	// VMs returns the reachable VMs, including this one, and whether others are
	// unreachable.
	VMs func() (vms []quarantine.Peer, parted bool)
	// Send sends a note to a VM.
	Send func(ctx context.Context, to fleet.VM, n quarantine.Note) error
	// OnCountChanged is called with the number of quarantined calls.
	OnCountChanged func(held int)
}

// Agent runs the quarantine on one VM. Its exported methods are safe for concurrent
// use.
type Agent struct {
	options   Options
	inbox     mailbox.Mailbox[message]
	sendSlots chan struct{}
	// held are the quarantined calls, read by the request path.
	held atomic.Pointer[map[uint64]*heldCall]
	// proven are the calls that recently succeeded.
	proven provenCalls

	// The following fields are used by the agent's goroutine only.
	list *quarantine.List
	// stepDue requests a step before the next tick.
	stepDue bool
	// checks are the endpoint checks that are in progress or have a valid result.
	checks map[instance]*check
}

// heldCall is a quarantined call.
type heldCall struct {
	quarantine.QuarantinedCall
	// trialUntil is when the current trial times out, in nanoseconds since the epoch.
	trialUntil atomic.Int64
}

// message is an event for the agent's goroutine.
type message func(ctx context.Context, now time.Time)

// New creates an Agent; Run starts it.
func New(o Options) *Agent {
	a := &Agent{
		options:   o,
		inbox:     mailbox.New[message](inboxCapacity),
		sendSlots: make(chan struct{}, maxConcurrentSends),
		list:      quarantine.New(o.VM),
		checks:    make(map[instance]*check),
	}
	a.held.Store(&map[uint64]*heldCall{})
	return a
}

// Run processes events until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-a.inbox.Messages():
			m(ctx, a.options.Now())
			a.drain(ctx)
		case <-ticker.C:
			a.stepDue = a.stepDue || !a.isIdle()
		}
		if a.stepDue {
			a.stepDue = false
			a.step(ctx, a.options.Now())
		}
	}
}

// isIdle reports whether a step has nothing to do.
func (a *Agent) isIdle() bool {
	return a.list.IsEmpty() && len(a.checks) == 0 && len(*a.held.Load()) == 0
}

// drain processes all pending messages, so that the calls interrupted by one crash are
// reported in one note.
func (a *Agent) drain(ctx context.Context) {
	for range inboxCapacity {
		select {
		case m := <-a.inbox.Messages():
			m(ctx, a.options.Now())
		default:
			return
		}
	}
}

// post sends a message to the agent's goroutine. It never blocks: a message that does
// not fit into the inbox is dropped and logged.
func (a *Agent) post(m message) {
	if !a.inbox.TrySend(m) {
		a.options.Log.Warn("crash_note_dropped")
	}
}

// ConnectionLost reports that the connection broke off on which an endpoint was running a call.
// firstAt is when the answer began, zero if it had not.
func (a *Agent) ConnectionLost(content uint64, e fleet.Endpoint, firstAt time.Time) {
	if !quarantine.MayHaveCrashed(firstAt, a.options.Now()) {
		a.Succeeded(content)
		return
	}
	a.post(func(ctx context.Context, now time.Time) { a.checkEndpoint(ctx, content, e, now) })
}

// Succeeded reports that an endpoint ran a call without crashing.
func (a *Agent) Succeeded(content uint64) {
	a.proven.add(content)
	if (*a.held.Load())[content] == nil {
		return
	}
	a.post(func(_ context.Context, now time.Time) {
		a.list.Succeeded(content, now)
		a.stepDue = true
	})
}

// Admit reports whether a call may be sent to endpoints. A quarantined call may be
// admitted as a trial if this VM is allowed to try it now.
func (a *Agent) Admit(content uint64) (refusal *result.Refusal, trial bool) {
	h := (*a.held.Load())[content]
	if h == nil {
		return nil, false
	}
	if h.startTrial(a.options.Now()) {
		return nil, true
	}
	return result.Refuse(result.Quarantined, "%d endpoints crashed under this call", h.Crashes), false
}

// startTrial reports whether the call may run as a trial now, and if so starts the
// trial.
func (h *heldCall) startTrial(now time.Time) bool {
	until := h.trialUntil.Load()
	if h.TryAt.IsZero() || now.Before(h.TryAt) || now.UnixNano() < until {
		return false
	}
	return h.trialUntil.CompareAndSwap(until, now.Add(trialTimeout).UnixNano())
}

// MembersChanged reports that the reachable VMs have changed, so that a new VM learns
// the quarantined calls before it gets callers.
func (a *Agent) MembersChanged() {
	a.post(func(context.Context, time.Time) { a.stepDue = a.stepDue || !a.isIdle() })
}

// Receive processes a note of another VM.
func (a *Agent) Receive(n quarantine.Note) {
	a.post(func(_ context.Context, now time.Time) {
		a.list.Receive(n, now)
		a.stepDue = true
	})
}

// step sends the notes that are due and publishes the quarantined calls.
func (a *Agent) step(ctx context.Context, now time.Time) {
	a.dropExpiredChecks(now)
	a.list.Step(now)
	vms, parted := a.options.VMs()
	for _, note := range a.list.DueNotes(vms, parted, now) {
		go a.send(ctx, note)
	}
	a.publish(a.list.Held(vms))
}

func (a *Agent) send(ctx context.Context, note quarantine.Outgoing) {
	a.sendSlots <- struct{}{}
	sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	err := a.options.Send(sendCtx, note.To.VM, note.Note)
	cancel()
	<-a.sendSlots
	if err != nil {
		a.options.Log.Debug("crash_note_failed", "peer", note.To.VM.ID, "reason", err.Error())
	}
	// Send blocks instead of dropping the message, as the list considers the note in
	// flight until it arrives.
	a.inbox.Send(ctx, func(context.Context, time.Time) {
		a.list.Delivered(note, err == nil)
		// Crashes that were added while the note was in flight may be due now.
		a.stepDue = a.stepDue || (err == nil && len(note.Note.Crashes) > 0)
	})
}

// publish updates the quarantined calls for the request path and logs the changes.
func (a *Agent) publish(list []quarantine.QuarantinedCall) {
	before := *a.held.Load()
	after := make(map[uint64]*heldCall, len(list))
	changed := len(list) != len(before)
	for _, h := range list {
		known := before[h.Content]
		if known == nil {
			a.options.Log.Warn("call_quarantined", "content", contentText(h.Content), "crashes", h.Crashes)
		}
		if known == nil || known.QuarantinedCall != h {
			known = &heldCall{QuarantinedCall: h}
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
		a.options.OnCountChanged(len(after))
	}
}
