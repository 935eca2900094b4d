package admission

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

// MessageKind is the type of an event.
type MessageKind string

// Kinds of messages.
const (
	MessageArrive MessageKind = "arrive"
	MessageCancel MessageKind = "cancel"
	MessageDone   MessageKind = "done"
	MessageTick   MessageKind = "tick"
)

// Message is one event for State.
type Message struct {
	Kind MessageKind
	// ID identifies the call; it is unset on MessageTick.
	ID uint64
	// Request is set on MessageArrive.
	Request Request
	// Unsent is set on MessageDone if the call never reached its endpoint.
	Unsent bool
	// Supply is the current capacity of the endpoints.
	Supply routing.Capacity
}

// ActionKind is the type of an action.
type ActionKind string

// Kinds of actions. Each call gets exactly one, unless it is canceled before.
const (
	ActionStart  ActionKind = "start"
	ActionRefuse ActionKind = "refuse"
)

// Action is one decision of State.
type Action struct {
	Kind ActionKind
	ID   uint64
	// Code and RetryAt are set on ActionRefuse.
	Code    result.Code
	RetryAt time.Time
	// Late is set if the call cannot meet its deadline.
	Late *Lateness
}

// Lateness is how a call that cannot meet its deadline has spent its time.
type Lateness struct {
	QueuedAt  time.Time
	RefusedAt time.Time
	// DueAt is the deadline of the first token, or of the whole answer if that is earlier or the
	// only one.
	DueAt time.Time
}

const (
	defaultQueueLength = 512
	defaultReportShare = 0.5
	// noEndpointRetryDelay is the retry delay if no endpoint has announced when it will
	// be back.
	noEndpointRetryDelay = time.Second
)

// State is the deterministic core of a Queue. It reads no clock and takes no lock; the
// same messages give the same actions.
type State struct {
	policy      string
	length      int
	reportShare float64

	waiting [call.Priorities]callQueue
	running map[uint64]runningCall
	// inFlight counts running by priority.
	inFlight [call.Priorities]int
	demand   demand
	// lastRetryAt is the latest retry time given to a refused call.
	lastRetryAt [call.Priorities]time.Time
	actions     []Action
}

// runningCall is a call that holds a slot.
type runningCall struct {
	priority  call.Priority
	startedAt time.Time
}

// NewState creates a State; Options.Now is not used.
func NewState(o Options) *State {
	s := &State{
		policy:      o.Policy,
		length:      o.Length,
		reportShare: o.ReportShare,
		running:     map[uint64]runningCall{},
	}
	if s.length <= 0 {
		s.length = defaultQueueLength
	}
	if s.reportShare <= 0 {
		s.reportShare = defaultReportShare
	}
	return s
}

// Waiting returns the number of waiting calls by priority.
func (s *State) Waiting() [call.Priorities]int {
	var counts [call.Priorities]int
	for p := range s.waiting {
		counts[p] = len(s.waiting[p].calls)
	}
	return counts
}

// Step processes a message and returns the actions to execute, which are valid until
// the next call of Step.
func (s *State) Step(m Message, now time.Time) []Action {
	s.actions = s.actions[:0]
	switch m.Kind {
	case MessageArrive:
		s.enqueue(m, now)
	case MessageCancel:
		s.remove(m.ID)
	case MessageDone:
		s.complete(m, now)
	case MessageTick:
	}
	supply := m.Supply
	s.refuseExpired(supply, now)
	s.startCalls(&supply, now)
	switch m.Kind {
	case MessageArrive:
		s.refuseNewIfLate(m.ID, m.Request.Priority, supply, now)
	case MessageTick:
		s.refuseQueuedIfLate(supply, now)
	case MessageCancel, MessageDone:
	}
	s.enforceLength(supply, now)
	return s.actions
}

func (s *State) enqueue(m Message, now time.Time) {
	s.demand.recordArrival(m.Request.Priority, now)
	s.waiting[m.Request.Priority].insert(queuedCall{
		id:          m.ID,
		request:     m.Request,
		arrivedAt:   now,
		latestStart: latestStart(m.Request, m.Supply),
	})
}

func (s *State) remove(id uint64) {
	for p := range s.waiting {
		if s.waiting[p].remove(id) {
			return
		}
	}
}

func (s *State) complete(m Message, now time.Time) {
	c, ok := s.running[m.ID]
	if !ok {
		return
	}
	delete(s.running, m.ID)
	s.inFlight[c.priority]--
	if !m.Unsent {
		s.demand.recordSlotTime(c.priority, now.Sub(c.startedAt))
	}
}

// refuseExpired refuses the calls that could not meet their deadline even if they
// started now.
func (s *State) refuseExpired(supply routing.Capacity, now time.Time) {
	for p := range s.waiting {
		queue := &s.waiting[p]
		for len(queue.calls) > 0 {
			e := queue.calls[0]
			if !latestStart(e.request, supply).Before(now) {
				break
			}
			queue.removeAt(0)
			s.refuseLate(e, supply, now)
		}
	}
}

// refuseLate refuses a call that cannot meet its deadline.
func (s *State) refuseLate(e queuedCall, supply routing.Capacity, now time.Time) {
	code := result.DeadlineUnmeetable
	if isPast(e.request.FirstTokenDeadline, now) || isPast(e.request.Deadline, now) {
		code = result.DeadlinePassed
	}
	s.refuse(e.id, code, s.retryTime(e, supply, now))
	s.actions[len(s.actions)-1].Late = &Lateness{
		QueuedAt:  e.arrivedAt,
		RefusedAt: now,
		DueAt:     e.request.dueAt(),
	}
}

// dueAt returns the earlier of the call's deadlines.
func (r Request) dueAt() time.Time {
	if r.FirstTokenDeadline.IsZero() || !r.Deadline.IsZero() && r.Deadline.Before(r.FirstTokenDeadline) {
		return r.Deadline
	}
	return r.FirstTokenDeadline
}

// retryTime returns when a call with as much time as e had on arrival could be
// admitted; zero if never.
func (s *State) retryTime(e queuedCall, supply routing.Capacity, now time.Time) time.Time {
	timeToStart := e.latestStart.Sub(e.arrivedAt)
	if timeToStart <= 0 {
		return time.Time{}
	}
	wait := s.expectedWait(s.callsAhead(e.request.Priority), e.request.Priority, supply, now)
	retryAt := now.Add(max(wait-timeToStart, supply.SlotTime/time.Duration(max(supply.Slots, 1))))
	return s.scheduleRetry(e, retryAt, supply, now)
}

// startCalls assigns free slots to waiting calls.
func (s *State) startCalls(supply *routing.Capacity, now time.Time) {
	if supply.Endpoints == 0 {
		s.startProbe(*supply, now)
		return
	}
	for {
		p, ok := s.nextPriority(*supply, now)
		if !ok {
			return
		}
		s.startCall(s.waiting[p].removeAt(0), now)
		supply.Free--
		supply.OwnInFlight++
	}
}

// startProbe lets one call test an endpoint whose backoff has ended and refuses the
// others.
func (s *State) startProbe(supply routing.Capacity, now time.Time) {
	retryAt := supply.NextProbeAt
	if !retryAt.IsZero() && !retryAt.After(now) {
		for p := range s.waiting {
			if len(s.waiting[p].calls) > 0 {
				s.startCall(s.waiting[p].removeAt(0), now)
				break
			}
		}
	}
	if !retryAt.After(now) {
		retryAt = now.Add(noEndpointRetryDelay)
	}
	for p := range s.waiting {
		for len(s.waiting[p].calls) > 0 {
			s.refuse(s.waiting[p].removeAt(0).id, result.NoEndpoint, retryAt)
		}
	}
}

// nextPriority returns the priority whose first call starts next, if any may start now.
func (s *State) nextPriority(supply routing.Capacity, now time.Time) (call.Priority, bool) {
	if s.policy == PolicyFIFO {
		return s.oldestPriority(supply)
	}
	for p := range s.waiting {
		priority := call.Priority(p)
		if len(s.waiting[p].calls) > 0 && s.mayStart(priority, supply, now) {
			return priority, true
		}
	}
	return 0, false
}

// oldestPriority returns the priority of the call that has waited longest.
func (s *State) oldestPriority(supply routing.Capacity) (call.Priority, bool) {
	found := false
	var first call.Priority
	for p := range s.waiting {
		calls := s.waiting[p].calls
		if len(calls) == 0 {
			continue
		}
		if !found || calls[0].id < s.waiting[first].calls[0].id {
			first = call.Priority(p)
			found = true
		}
	}
	return first, found && supply.Free >= 1
}

func (s *State) startCall(e queuedCall, now time.Time) {
	s.running[e.id] = runningCall{
		priority:  e.request.Priority,
		startedAt: now,
	}
	s.inFlight[e.request.Priority]++
	s.actions = append(s.actions, Action{
		Kind: ActionStart,
		ID:   e.id,
	})
}

func (s *State) refuse(id uint64, code result.Code, comeBackAt time.Time) {
	s.actions = append(s.actions, Action{
		Kind:    ActionRefuse,
		ID:      id,
		Code:    code,
		RetryAt: comeBackAt,
	})
}

// enforceLength refuses the last calls of the lowest priorities while the queue is too
// long.
func (s *State) enforceLength(supply routing.Capacity, now time.Time) {
	excess := -s.length
	for p := range s.waiting {
		excess += len(s.waiting[p].calls)
	}
	for p := call.Priorities - 1; p >= 0 && excess > 0; p-- {
		queue := &s.waiting[p]
		for len(queue.calls) > 0 && excess > 0 {
			e := queue.removeAt(len(queue.calls) - 1)
			wait := s.expectedWait(s.callsAhead(e.request.Priority), e.request.Priority, supply, now)
			s.refuse(e.id, result.QueueFull, s.scheduleRetry(e, now.Add(wait), supply, now))
			excess--
		}
	}
}

func isPast(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
