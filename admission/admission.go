// Package admission decides which call starts, waits or is refused. A call is refused
// as soon as its deadline cannot be met.
package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

// Policies for Options. PolicyBackfill is the default; the others are baselines for
// comparison.
const (
	// PolicyBackfill starts urgent calls before chat and chat before reports. Reports
	// fill the slots that the forecast demand of the others leaves free, up to the
	// report share.
	PolicyBackfill = "backfill"
	// PolicyPriority is PolicyBackfill without the forecast: reports may always fill
	// the report share.
	PolicyPriority = "priority"
	// PolicyFIFO starts calls in order of arrival.
	PolicyFIFO = "fifo"
	// PolicyEngine starts every call at once and leaves the order to the queues of the
	// endpoints, which see the calls of all VMs.
	PolicyEngine = "engine"
)

// tickInterval is how often the waiting calls are reevaluated.
const tickInterval = 20 * time.Millisecond

// Options configures a Queue.
type Options struct {
	// Policy is one of the Policy constants; empty means PolicyBackfill.
	Policy string
	// Length is the maximum number of waiting calls; zero means a default.
	Length int
	// ReportShare is the share of the slots, above 0 and up to 1, that reports may
	// hold; zero means a default.
	ReportShare float64
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Request is a call that asks for a slot.
type Request struct {
	Priority call.Priority
	// FirstTokenDeadline is the deadline of the first token and Deadline that of the whole answer;
	// zero means none.
	FirstTokenDeadline time.Time
	Deadline           time.Time
	PrefixHash         uint64
	Prefixes           []routing.Prefix
	// Homes are the regions that may store the prompt; none means all.
	Homes        []string
	PromptTokens int
	MaxTokens    int
	// AnswerTokens is passed on to routing.Request.
	AnswerTokens int
	// QueueLevel is the level in an endpoint's queue; 0 is served first.
	QueueLevel int
	// Pin is passed on to routing.Request.
	Pin fleet.VersionPin
	// Exclude lists the ids of endpoints that were already tried.
	Exclude [2]string
	// AllowExcluded allows an excluded endpoint if no other accepts calls.
	AllowExcluded bool
	// Tentative is passed on to routing.Request.
	Tentative bool
}

// Slot is a place in an endpoint's batch. It must be released exactly once with
// Release.
type Slot struct {
	Choice routing.Choice
	id     uint64
}

// Queue admits calls to the endpoints of one pool. It is safe for concurrent use.
type Queue struct {
	now func() time.Time
	// schedule calls f after d.
	schedule func(d time.Duration, f func())
	pool     *routing.Pool
	policy   string

	mu            sync.Mutex
	state         *State
	lastID        uint64
	waiters       map[uint64]waiter
	tickScheduled bool
}

// waiter is a queued call. answer is called exactly once.
type waiter struct {
	request Request
	answer  func(answer)
}

// answer is a slot or a refusal.
type answer struct {
	slot    Slot
	refusal *result.Refusal
}

// New creates an empty Queue for the pool.
func New(o Options, pool *routing.Pool) *Queue {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Queue{
		now:      o.Now,
		schedule: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		pool:     pool,
		policy:   o.Policy,
		state:    NewState(o),
		waiters:  map[uint64]waiter{},
	}
}

// Admit waits for a slot. It refuses the call when its deadline cannot be met (2020),
// the queue is full (2021) or no endpoint accepts calls (2022), either at once or as
// soon as this becomes true while the call waits. If ctx ends first, the call leaves
// the queue (2023).
func (q *Queue) Admit(ctx context.Context, r Request, now time.Time) (Slot, *result.Refusal) {
	if q.policy == PolicyEngine {
		return q.admitImmediately(r, now)
	}
	answers := make(chan answer, 1)
	id := q.enqueue(waiter{
		request: r,
		answer:  func(a answer) { answers <- a },
	}, now)
	select {
	case a := <-answers:
		return a.slot, a.refusal
	default:
	}
	select {
	case a := <-answers:
		return a.slot, a.refusal
	case <-ctx.Done():
		q.cancel(id, answers)
		return Slot{}, result.Refuse(result.DeadlinePassed, "the caller stopped waiting").WithCause(ctx.Err())
	}
}

// admitImmediately starts a call without queueing, if an endpoint accepts it.
func (q *Queue) admitImmediately(r Request, now time.Time) (Slot, *result.Refusal) {
	choice, ok := q.pool.Choose(r.routingRequest(), now)
	if !ok {
		return Slot{}, newRefusal(Action{
			Code:    result.NoEndpoint,
			RetryAt: now.Add(noEndpointRetryDelay),
		})
	}
	return Slot{
		Choice: choice,
	}, nil
}

func (q *Queue) enqueue(w waiter, now time.Time) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	id := q.lastID
	q.waiters[id] = w
	q.process(Message{
		Kind:    MessageArrive,
		ID:      id,
		Request: w.request,
	}, now)
	return id
}

// cancel removes a call from the queue. A slot that was assigned concurrently is
// released unused.
func (q *Queue) cancel(id uint64, answers chan answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	select {
	case a := <-answers:
		if a.refusal == nil {
			q.release(a.slot, routing.Outcome{Canceled: true}, now)
		}
	default:
		delete(q.waiters, id)
		q.process(Message{
			Kind: MessageCancel,
			ID:   id,
		}, now)
	}
}

// Release frees a slot and reports the outcome of its call.
func (q *Queue) Release(s Slot, o routing.Outcome, now time.Time) {
	if q.policy == PolicyEngine {
		q.pool.Done(s.Choice, o, now)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.release(s, o, now)
}

func (q *Queue) release(s Slot, o routing.Outcome, now time.Time) {
	q.pool.Done(s.Choice, o, now)
	q.process(Message{
		Kind:   MessageDone,
		ID:     s.id,
		Unsent: !o.Sent,
	}, now)
}

// Reevaluate reevaluates the waiting calls after the pool's endpoints changed.
func (q *Queue) Reevaluate(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.process(Message{Kind: MessageTick}, now)
}

// Waiting returns the number of waiting calls by priority.
func (q *Queue) Waiting() [call.Priorities]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Waiting()
}

// process passes a message to the state and executes the resulting actions.
func (q *Queue) process(m Message, now time.Time) {
	m.Supply = q.pool.Capacity(now)
	var unassigned []uint64
	for _, a := range q.state.Step(m, now) {
		w, ok := q.waiters[a.ID]
		delete(q.waiters, a.ID)
		switch {
		case !ok:
		case a.Kind == ActionRefuse:
			w.answer(answer{refusal: newRefusal(a)})
		case !q.assignEndpoint(a.ID, w, now):
			unassigned = append(unassigned, a.ID)
		}
	}
	for _, id := range unassigned {
		q.process(Message{
			Kind:   MessageDone,
			ID:     id,
			Unsent: true,
		}, now)
	}
	q.scheduleTick()
}

// assignEndpoint chooses an endpoint for a call, and refuses the call and returns false
// if there is none.
func (q *Queue) assignEndpoint(id uint64, w waiter, now time.Time) bool {
	choice, ok := q.pool.Choose(w.request.routingRequest(), now)
	if !ok {
		w.answer(answer{refusal: newRefusal(Action{
			Code:    result.NoEndpoint,
			RetryAt: now.Add(noEndpointRetryDelay),
		})})
		return false
	}
	w.answer(answer{slot: Slot{
		Choice: choice,
		id:     id,
	}})
	return true
}

// scheduleTick schedules the next tick while calls wait.
func (q *Queue) scheduleTick() {
	if q.tickScheduled || len(q.waiters) == 0 {
		return
	}
	q.tickScheduled = true
	q.schedule(tickInterval, q.tick)
}

func (q *Queue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tickScheduled = false
	q.process(Message{Kind: MessageTick}, q.now())
}

func (r Request) routingRequest() routing.Request {
	return routing.Request{
		PrefixHash:    r.PrefixHash,
		Prefixes:      r.Prefixes,
		Homes:         r.Homes,
		Pin:           r.Pin,
		PromptTokens:  r.PromptTokens,
		MaxTokens:     r.MaxTokens,
		AnswerTokens:  r.AnswerTokens,
		Deadline:      r.Deadline,
		Priority:      r.Priority,
		QueueLevel:    r.QueueLevel,
		Exclude:       r.Exclude,
		AllowExcluded: r.AllowExcluded,
		Tentative:     r.Tentative,
	}
}

var refusalTexts = map[result.Code]string{
	result.DeadlineUnmeetable: "the deadline cannot be met",
	result.DeadlinePassed:     "the deadline has passed",
	result.QueueFull:          "too many calls wait",
	result.NoEndpoint:         "no endpoint takes work",
}

func newRefusal(a Action) *result.Refusal {
	text := refusalTexts[a.Code]
	if a.Late != nil {
		text += ", " + a.Late.String()
	}
	return result.Refuse(a.Code, "%s", text).WithRetryAt(a.RetryAt)
}

// String tells a call that was late when it was queued from one that has waited for a slot.
func (l *Lateness) String() string {
	if !l.QueuedAt.Before(l.DueAt) {
		return fmt.Sprintf("%s before the call was queued", milliseconds(l.QueuedAt.Sub(l.DueAt)))
	}
	waited := milliseconds(l.RefusedAt.Sub(l.QueuedAt))
	if !l.RefusedAt.Before(l.DueAt) {
		return fmt.Sprintf("%s ago, %s after the call was queued", milliseconds(l.RefusedAt.Sub(l.DueAt)), waited)
	}
	return fmt.Sprintf("%s are left, %s after the call was queued", milliseconds(l.DueAt.Sub(l.RefusedAt)), waited)
}

func milliseconds(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}
