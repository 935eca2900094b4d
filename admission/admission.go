// Package admission decides which call starts, waits or is refused, so that a
// call is refused at once when its deadline cannot be met.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

// The policies that Options names. PolicyBackfill is the default; the others
// are baselines to compare it with.
const (
	// PolicyBackfill starts urgent calls before chat and chat before reports, and
	// lets reports fill the slots that the forecast demand of the others leaves, up
	// to the report share.
	PolicyBackfill = "backfill"
	// PolicyPriority is the same with the report share alone.
	PolicyPriority = "priority"
	// PolicyFIFO starts calls as they came.
	PolicyFIFO = "fifo"
	// PolicyEngine starts every call at once and leaves the order to the
	// endpoints' own queues, which know the calls of all VMs.
	PolicyEngine = "engine"
)

// tickEvery is how often a queue with waiting calls is looked at again.
const tickEvery = 20 * time.Millisecond

// Options are the settings of a Queue.
type Options struct {
	// Policy is one of the constants; empty means PolicyBackfill.
	Policy string
	// Length is how many calls may wait; zero means a default.
	Length int
	// ReportShare is the part of the slots, above 0 and up to 1, that reports may
	// hold; zero means a default.
	ReportShare float64
	// Now is the clock for waiting calls; nil means time.Now.
	Now func() time.Time
}

// Request is one call that asks for a place.
type Request struct {
	Priority call.Priority
	// FirstBy and WholeBy are deadlines; a zero time means none.
	FirstBy    time.Time
	WholeBy    time.Time
	PrefixHash uint64
	Prefixes   []routing.Prefix
	// Homes are the regions that may hold the prompt; none means all.
	Homes        []string
	PromptTokens int
	MaxTokens    int
	// Turn is the call's place in the order at an endpoint, 0 first.
	Turn int
	// Exclude names endpoints that were tried already.
	Exclude [2]string
	// Again lets one of them be tried again where no other takes work.
	Again bool
	// Tentative is as in routing.Request.
	Tentative bool
}

// Slot is a place at an endpoint. It must be given back by Release exactly once.
type Slot struct {
	Choice routing.Choice
	id     uint64
}

// Queue admits calls to the endpoints of one pool. It is safe for concurrent use.
type Queue struct {
	now func() time.Time
	// schedule runs a function later.
	schedule func(d time.Duration, f func())
	pool     *routing.Pool
	policy   string

	mu      sync.Mutex
	state   *State
	lastID  uint64
	waiters map[uint64]waiter
	// armed is set while a tick is scheduled.
	armed bool
}

// waiter is one call that waits for its answer, which is given once.
type waiter struct {
	request Request
	answer  func(answer)
}

// answer is a slot, or a refusal.
type answer struct {
	slot    Slot
	refusal *result.Refusal
}

// New makes an empty Queue over the pool.
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

// Admit waits for a place. It refuses at once when the call's deadline cannot
// be met (2020), the queue is full (2021) or no endpoint takes work (2022), and
// later as soon as that becomes so. A canceled ctx leaves the queue (2023).
func (q *Queue) Admit(ctx context.Context, r Request, now time.Time) (Slot, *result.Refusal) {
	if q.policy == PolicyEngine {
		return q.admitNow(r, now)
	}
	answers := make(chan answer, 1)
	id := q.arrive(waiter{
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
		return Slot{}, result.Refuse(result.DeadlinePassed, "the caller stopped waiting").Because(ctx.Err())
	}
}

// admitNow starts a call at once, if an endpoint takes work.
func (q *Queue) admitNow(r Request, now time.Time) (Slot, *result.Refusal) {
	choice, ok := q.pool.Choose(r.routing(), now)
	if !ok {
		return Slot{}, refusal(Action{
			Code:       result.NoEndpoint,
			ComeBackAt: now.Add(noEndpointRetry),
		})
	}
	return Slot{
		Choice: choice,
	}, nil
}

func (q *Queue) arrive(w waiter, now time.Time) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	id := q.lastID
	q.waiters[id] = w
	q.step(Message{
		Kind:    MessageArrive,
		ID:      id,
		Request: w.request,
	}, now)
	return id
}

// cancel takes a call out of the queue. A place that was given meanwhile is
// given back unused.
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
		q.step(Message{
			Kind: MessageCancel,
			ID:   id,
		}, now)
	}
}

// Release gives a place back with what became of the call.
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
	q.step(Message{
		Kind:   MessageDone,
		ID:     s.id,
		Unsent: !o.Sent,
	}, now)
}

// Poke looks at the waiting calls again, after the pool's endpoints changed.
func (q *Queue) Poke(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.step(Message{Kind: MessageTick}, now)
}

// Waiting is how many calls of each priority wait.
func (q *Queue) Waiting() [call.Priorities]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Waiting()
}

// step runs the core and carries its actions out.
func (q *Queue) step(m Message, now time.Time) {
	m.Supply = q.pool.Supply(now)
	var unplaced []uint64
	for _, a := range q.state.Step(m, now) {
		w, ok := q.waiters[a.ID]
		delete(q.waiters, a.ID)
		switch {
		case !ok:
		case a.Kind == ActionRefuse:
			w.answer(answer{refusal: refusal(a)})
		case !q.place(a.ID, w, now):
			unplaced = append(unplaced, a.ID)
		}
	}
	for _, id := range unplaced {
		q.step(Message{
			Kind:   MessageDone,
			ID:     id,
			Unsent: true,
		}, now)
	}
	q.arm()
}

// place returns the call an endpoint; it returns false when none is left for it.
func (q *Queue) place(id uint64, w waiter, now time.Time) bool {
	choice, ok := q.pool.Choose(w.request.routing(), now)
	if !ok {
		w.answer(answer{refusal: refusal(Action{
			Code:       result.NoEndpoint,
			ComeBackAt: now.Add(noEndpointRetry),
		})})
		return false
	}
	w.answer(answer{slot: Slot{
		Choice: choice,
		id:     id,
	}})
	return true
}

// arm schedules the next tick while calls wait.
func (q *Queue) arm() {
	if q.armed || len(q.waiters) == 0 {
		return
	}
	q.armed = true
	q.schedule(tickEvery, q.tick)
}

func (q *Queue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.armed = false
	q.step(Message{Kind: MessageTick}, q.now())
}

func (r Request) routing() routing.Request {
	return routing.Request{
		PrefixHash:   r.PrefixHash,
		Prefixes:     r.Prefixes,
		Homes:        r.Homes,
		PromptTokens: r.PromptTokens,
		MaxTokens:    r.MaxTokens,
		Priority:     r.Priority,
		Turn:         r.Turn,
		Exclude:      r.Exclude,
		Again:        r.Again,
		Tentative:    r.Tentative,
	}
}

var refusalTexts = map[result.Code]string{
	result.DeadlineUnmeetable: "the deadline cannot be met",
	result.DeadlinePassed:     "the deadline has passed",
	result.QueueFull:          "too many calls wait",
	result.NoEndpoint:         "no endpoint takes work",
}

func refusal(a Action) *result.Refusal {
	return result.Refuse(a.Code, "%s", refusalTexts[a.Code]).Until(a.ComeBackAt)
}
