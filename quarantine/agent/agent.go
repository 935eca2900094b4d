// Package agent runs the quarantine on one VM: it checks whether an endpoint crashed
// when connections to it break off, exchanges notes with other VMs, and provides the
// quarantined subjects to the request path. Decisions are made by package quarantine.
package agent

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/mailbox"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
)

const (
	// inboxCapacity covers the calls that one crash interrupts on a VM, some hundred at
	// most.
	inboxCapacity = 512
	// stepInterval is the interval at which notes are sent while there is anything to tell,
	// also to VMs that have restarted or become reachable again.
	stepInterval = 250 * time.Millisecond
	// An event leads to a step of its own at minStepDelay after the previous step, and later the
	// more notes that step sent: the loss of many endpoints at once changes hundreds of
	// subjects one by one, and a step for each would fill the processor of a small VM. With
	// delayPerNote a VM sends 100 notes a second at the most, beyond the first to each VM.
	minStepDelay = 50 * time.Millisecond
	delayPerNote = 10 * time.Millisecond
	maxStepDelay = time.Second
	// sendTimeout allows for a new connection between the most distant regions.
	sendTimeout = time.Second
	// maxConcurrentSends limits the notes in flight, as a verdict is sent to all VMs.
	maxConcurrentSends = 32
	// trialTimeout is when another trial may be admitted if the result of the previous
	// one is unknown. It is longer than calls last.
	trialTimeout = 15 * time.Second
	// settleTimeout is how long after a short answer a check of its endpoint is made. Later
	// the endpoint may have crashed and restarted, as after a pause of the VM.
	settleTimeout = 2 * quarantine.SoundAnswerDuration
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
	// OnCountChanged is called with the numbers of subjects with a verdict.
	OnCountChanged func(quarantine.Counts)
}

// Agent runs the quarantine on one VM. Its exported methods are safe for concurrent
// use.
type Agent struct {
	options   Options
	inbox     mailbox.Mailbox[message]
	sendSlots chan struct{}
	// held are the quarantined subjects, read by the request path.
	held atomic.Pointer[map[call.Subject]*heldSubject]
	// answers are the subjects that were recently answered.
	answers *quarantine.Answers
	recent  recentAnswers

	// The following fields are used by the agent's goroutine only.
	list *quarantine.List
	// stepDue requests a step at nextStepAt, for which stepTimer is set.
	stepDue    bool
	nextStepAt time.Time
	stepTimer  *time.Timer
	// checks are the endpoint checks that are in progress or have a valid result.
	checks map[instance]*check
	counts quarantine.Counts
}

// heldSubject is a quarantined subject.
type heldSubject struct {
	quarantine.Quarantined
	// trialUntil is when the current trial times out, in nanoseconds since the epoch.
	trialUntil atomic.Int64
}

// message is an event for the agent's goroutine.
type message func(ctx context.Context, now time.Time)

// New creates an Agent; Run starts it.
func New(o Options) *Agent {
	answers := &quarantine.Answers{}
	a := &Agent{
		options:   o,
		inbox:     mailbox.New[message](inboxCapacity),
		sendSlots: make(chan struct{}, maxConcurrentSends),
		answers:   answers,
		list:      quarantine.New(o.VM, answers),
		checks:    make(map[instance]*check),
		stepTimer: time.NewTimer(stepInterval),
	}
	a.held.Store(&map[call.Subject]*heldSubject{})
	return a
}

// Run processes events until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	defer a.stepTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-a.inbox.Messages():
			m(ctx, a.options.Now())
			a.drain(ctx)
		case <-ticker.C:
			a.settleRecent(ctx, a.options.Now())
			a.stepDue = a.stepDue || !a.isIdle()
		case <-a.stepTimer.C:
		}
		a.stepIfDue(ctx, a.options.Now())
	}
}

// stepIfDue makes the step that is due, or sets the timer for it.
func (a *Agent) stepIfDue(ctx context.Context, now time.Time) {
	switch {
	case !a.stepDue:
	case now.Before(a.nextStepAt):
		a.stepTimer.Reset(a.nextStepAt.Sub(now))
	default:
		a.stepDue = false
		notes := a.step(ctx, now)
		a.nextStepAt = now.Add(stepDelay(notes))
	}
}

// stepDelay is the least time to the next step after one that sent so many notes.
func stepDelay(notes int) time.Duration {
	return min(max(minStepDelay, time.Duration(notes)*delayPerNote), maxStepDelay)
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

// ConnectionLost reports that the connection broke off on which an endpoint was running a
// call.
func (a *Agent) ConnectionLost(r quarantine.Run) {
	if !quarantine.MayHaveCrashed(r.BeganAt, r.OpenAt) {
		a.credit(r.Subjects, r.OpenAt)
		return
	}
	a.post(func(ctx context.Context, now time.Time) { a.checkEndpoint(ctx, r.Subjects, r.Endpoint, now) })
}

// Answered reports that an endpoint answered a call, or a part of the call, without crashing.
// If the answer began a moment ago, the endpoint may still crash of it: the answer counts once
// it has not.
func (a *Agent) Answered(r quarantine.Run) {
	if quarantine.IsSound(r.BeganAt, r.OpenAt) {
		a.credit(r.Subjects, r.OpenAt)
		return
	}
	a.recent.add(r)
}

// credit counts an answer for the subjects of its call.
func (a *Agent) credit(subjects []call.Subject, at time.Time) {
	held := *a.held.Load()
	for _, s := range subjects {
		a.answers.Add(s, at)
		if len(held) > 0 && held[s] != nil {
			a.post(func(_ context.Context, now time.Time) { a.endQuarantine(s, now) })
		}
	}
}

// settleRecent counts the recent answers whose endpoints have not crashed of them. Where the
// connection of a call with parts has ended, the endpoint is checked. An answer that is too
// late for a check counts neither for nor against its subjects.
func (a *Agent) settleRecent(ctx context.Context, now time.Time) {
	for {
		r, ok := a.recent.due(now.Add(-quarantine.SoundAnswerDuration))
		if !ok {
			return
		}
		if r.count == 1 || r.stillOpen != nil && r.stillOpen() {
			a.credit(r.list(), r.openAt)
			continue
		}
		if now.Sub(r.openAt) < settleTimeout {
			a.checkAnswer(ctx, r, now)
		}
	}
}

// endQuarantine ends the quarantine of a content, and reports an answer to a part to its
// owners.
func (a *Agent) endQuarantine(s call.Subject, now time.Time) {
	if !s.IsPart() {
		a.list.Succeeded(s, now)
	}
	a.stepDue = true
}

// Admit reports whether a call may be sent to endpoints. A call with one quarantined subject
// may be admitted as a trial of it if this VM is allowed to try it now. trial is the subject
// that the call was already admitted to try; zero for none.
func (a *Agent) Admit(subjects []call.Subject, trial call.Subject) quarantine.Admission {
	held := *a.held.Load()
	if len(held) == 0 {
		return quarantine.Admission{Trial: trial}
	}
	var first *heldSubject
	for _, s := range subjects {
		h := held[s]
		if h == nil || s == trial || h == first {
			continue
		}
		if first != nil || trial != 0 {
			return h.refused()
		}
		first = h
	}
	switch {
	case first == nil:
		return quarantine.Admission{Trial: trial}
	case first.startTrial(a.options.Now()):
		a.trialStarted(first.Subject)
		return quarantine.Admission{Trial: first.Subject}
	default:
		return first.refused()
	}
}

func (h *heldSubject) refused() quarantine.Admission {
	return quarantine.Admission{
		Held:    h.Subject,
		Crashes: h.Crashes,
	}
}

func (a *Agent) trialStarted(subject call.Subject) {
	a.post(func(_ context.Context, now time.Time) {
		a.list.TrialStarted(subject, now)
		a.stepDue = true
	})
}

// TrialUnsent reports that a call that was admitted as a trial reached no endpoint.
func (a *Agent) TrialUnsent(subject call.Subject) {
	a.post(func(_ context.Context, now time.Time) {
		a.list.TrialUnsent(subject, now)
		a.stepDue = true
	})
}

// startTrial reports whether a call may be sent as a trial now, and if so starts the
// trial.
func (h *heldSubject) startTrial(now time.Time) bool {
	until := h.trialUntil.Load()
	if h.TryAt.IsZero() || now.Before(h.TryAt) || now.UnixNano() < until {
		return false
	}
	return h.trialUntil.CompareAndSwap(until, now.Add(trialTimeout).UnixNano())
}

// MembersChanged reports that the reachable VMs have changed, so that a new VM learns
// the quarantined subjects before it gets callers.
func (a *Agent) MembersChanged() {
	a.post(func(context.Context, time.Time) { a.stepDue = a.stepDue || !a.isIdle() })
}

// Receive processes a note of the VM with the id from.
func (a *Agent) Receive(from string, n quarantine.Note) {
	a.post(func(_ context.Context, now time.Time) {
		a.list.Receive(from, n, now)
		a.stepDue = true
	})
}

// step sends the notes that are due, publishes the quarantined subjects and returns the
// number of notes.
func (a *Agent) step(ctx context.Context, now time.Time) int {
	a.dropExpiredChecks(now)
	a.list.Step(now)
	vms, parted := a.options.VMs()
	due := a.list.DueNotes(vms, parted, now)
	for _, note := range due {
		go a.send(ctx, note)
	}
	a.publish(a.list.Held(vms))
	return len(due)
}

func (a *Agent) send(ctx context.Context, note quarantine.Outgoing) {
	select {
	case a.sendSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
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

// publish updates the quarantined subjects for the request path and logs the changes.
func (a *Agent) publish(list []quarantine.Quarantined) {
	before := *a.held.Load()
	after := make(map[call.Subject]*heldSubject, len(list))
	changed := len(list) != len(before)
	for _, h := range list {
		known := before[h.Subject]
		if known == nil {
			a.logQuarantined(h)
		}
		if known == nil || known.Quarantined != h {
			known = &heldSubject{Quarantined: h}
			changed = true
		}
		after[h.Subject] = known
	}
	for subject := range before {
		if after[subject] == nil {
			a.logReleased(subject)
		}
	}
	if changed {
		a.held.Store(&after)
	}
	if counts := a.list.Counts(); counts != a.counts {
		a.counts = counts
		a.options.OnCountChanged(counts)
	}
}

func (a *Agent) logQuarantined(h quarantine.Quarantined) {
	if h.Subject.IsPart() {
		a.options.Log.Warn("part_quarantined", "part", h.Subject.String(), "crashes", h.Crashes)
		return
	}
	a.options.Log.Warn("call_quarantined", "content", h.Subject.String(), "crashes", h.Crashes)
}

func (a *Agent) logReleased(subject call.Subject) {
	if subject.IsPart() {
		a.options.Log.Info("part_released", "part", subject.String())
		return
	}
	a.options.Log.Info("call_released", "content", subject.String())
}
