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

// The policies that Options names. PolicyPriority is the default.
const (
	// PolicyPriority starts urgent calls before chat and chat before reports, and
	// bounds the slots that reports hold by a fixed share.
	PolicyPriority = "priority"
	// PolicyBackfill bounds the slots that reports hold by the forecast demand of
	// the calls before them.
	PolicyBackfill = "backfill"
	// PolicyFIFO starts calls as they came and refuses none but by deadline; it
	// is a baseline.
	PolicyFIFO = "fifo"
)

// tickEvery is how often a queue with waiting calls is looked at again.
const tickEvery = 20 * time.Millisecond

// Options are the settings of a Queue.
type Options struct {
	// Policy is one of the constants; empty means PolicyPriority.
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
	FirstBy      time.Time
	WholeBy      time.Time
	PrefixHash   uint64
	PromptTokens int
	MaxTokens    int
	// Exclude names endpoints that were tried already.
	Exclude [2]string
}

// Slot is a place at an endpoint. It must be given back by Release exactly once.
type Slot struct {
	Choice routing.Choice
	id     uint64
}

// Queue admits calls to the endpoints of one pool. It is safe for concurrent use.
type Queue struct {
	now  func() time.Time
	pool *routing.Pool

	mu      sync.Mutex
	state   *State
	lastID  uint64
	waiters map[uint64]*waiter
	timer   *time.Timer
	armed   bool
}

// waiter is one call inside Admit.
type waiter struct {
	request Request
	answer  chan answer
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
		now:     o.Now,
		pool:    pool,
		state:   NewState(o),
		waiters: map[uint64]*waiter{},
	}
}

// Admit waits for a place. It refuses at once when the call's deadline cannot
// be met (2020), the queue is full (2021) or no endpoint takes work (2022), and
// later as soon as that becomes so. A canceled ctx leaves the queue (2023).
func (q *Queue) Admit(ctx context.Context, r Request, now time.Time) (Slot, *result.Refusal) {
	w := &waiter{
		request: r,
		answer:  make(chan answer, 1),
	}
	id := q.arrive(w, now)
	select {
	case a := <-w.answer:
		return a.slot, a.refusal
	default:
	}
	select {
	case a := <-w.answer:
		return a.slot, a.refusal
	case <-ctx.Done():
		return q.cancel(ctx, id, w)
	}
}

func (q *Queue) arrive(w *waiter, now time.Time) uint64 {
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
func (q *Queue) cancel(ctx context.Context, id uint64, w *waiter) (Slot, *result.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	select {
	case a := <-w.answer:
		if a.refusal != nil {
			return Slot{}, a.refusal
		}
		q.release(a.slot, routing.Outcome{Canceled: true}, now)
	default:
		delete(q.waiters, id)
		q.step(Message{
			Kind: MessageCancel,
			ID:   id,
		}, now)
	}
	return Slot{}, result.Refuse(result.DeadlinePassed, "the caller stopped waiting").Because(ctx.Err())
}

// Release gives a place back with what became of the call.
func (q *Queue) Release(s Slot, o routing.Outcome, now time.Time) {
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
	var failed []uint64
	for _, a := range q.state.Step(m, now) {
		w := q.waiters[a.ID]
		delete(q.waiters, a.ID)
		if w == nil {
			continue
		}
		if a.Kind == ActionRefuse {
			w.answer <- answer{refusal: refusal(a)}
			continue
		}
		choice, ok := q.pool.Choose(w.request.routing(), now)
		if !ok {
			failed = append(failed, a.ID)
			w.answer <- answer{refusal: refusal(Action{Code: result.NoEndpoint})}
			continue
		}
		w.answer <- answer{slot: Slot{
			Choice: choice,
			id:     a.ID,
		}}
	}
	for _, id := range failed {
		q.step(Message{
			Kind:   MessageDone,
			ID:     id,
			Unsent: true,
		}, now)
	}
	q.arm()
}

// arm sets the timer while calls wait.
func (q *Queue) arm() {
	if q.armed || len(q.waiters) == 0 {
		return
	}
	q.armed = true
	if q.timer == nil {
		q.timer = time.AfterFunc(tickEvery, q.tick)
		return
	}
	q.timer.Reset(tickEvery)
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
		PromptTokens: r.PromptTokens,
		MaxTokens:    r.MaxTokens,
		Priority:     r.Priority,
		Exclude:      r.Exclude,
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
