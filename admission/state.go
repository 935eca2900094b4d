package admission

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
)

// MessageKind tells what happened.
type MessageKind string

// The kinds of messages.
const (
	MessageArrive MessageKind = "arrive"
	MessageCancel MessageKind = "cancel"
	MessageDone   MessageKind = "done"
	MessageTick   MessageKind = "tick"
)

// Message is one event for State.
type Message struct {
	Kind MessageKind
	// ID names the call, but for MessageTick.
	ID uint64
	// Request is set on MessageArrive.
	Request Request
	// Unsent is set on MessageDone when the call never reached its endpoint.
	Unsent bool
	// Supply is what the endpoints can take now.
	Supply routing.Supply
}

// ActionKind tells what to do with a call.
type ActionKind string

// The kinds of actions. Each call that arrived gets exactly one, unless it was
// canceled before.
const (
	ActionStart  ActionKind = "start"
	ActionRefuse ActionKind = "refuse"
)

// Action is one decision of State.
type Action struct {
	Kind ActionKind
	ID   uint64
	// Code and ComeBackAt are set on ActionRefuse.
	Code       result.Code
	ComeBackAt time.Time
}

const (
	defaultLength      = 512
	defaultReportShare = 0.5
	// noEndpointRetry is when to come back if nothing tells when an endpoint will.
	noEndpointRetry = time.Second
)

// State is the queue's decision core. It reads no clock and takes no lock; the
// same messages give the same actions.
type State struct {
	policy      string
	length      int
	reportShare float64

	waiting [call.Priorities]line
	running map[uint64]started
	// inFlight counts running by priority.
	inFlight [call.Priorities]int
	demand   demand
	// promised is the latest time that a refused call was told to come back at.
	promised [call.Priorities]time.Time
	actions  []Action
}

// started is a call that got a place.
type started struct {
	priority call.Priority
	at       time.Time
}

// NewState makes the core for the options; Now is not used.
func NewState(o Options) *State {
	s := &State{
		policy:      o.Policy,
		length:      o.Length,
		reportShare: o.ReportShare,
		running:     map[uint64]started{},
	}
	if s.length <= 0 {
		s.length = defaultLength
	}
	if s.reportShare <= 0 {
		s.reportShare = defaultReportShare
	}
	return s
}

// Waiting is how many calls of each priority wait.
func (s *State) Waiting() [call.Priorities]int {
	var counts [call.Priorities]int
	for p := range s.waiting {
		counts[p] = len(s.waiting[p].entries)
	}
	return counts
}

// Step takes one message and returns the actions to carry out, valid until the
// next step.
func (s *State) Step(m Message, now time.Time) []Action {
	s.actions = s.actions[:0]
	switch m.Kind {
	case MessageArrive:
		s.arrive(m, now)
	case MessageCancel:
		s.remove(m.ID)
	case MessageDone:
		s.done(m, now)
	case MessageTick:
	}
	supply := m.Supply
	s.expire(supply, now)
	s.start(&supply, now)
	switch m.Kind {
	case MessageArrive:
		s.forecastNew(m.ID, m.Request.Priority, supply, now)
	case MessageTick:
		s.forecastAll(supply, now)
	case MessageCancel, MessageDone:
	}
	s.bound(supply, now)
	return s.actions
}

func (s *State) arrive(m Message, now time.Time) {
	s.demand.arrived(m.Request.Priority, now)
	s.waiting[m.Request.Priority].insert(entry{
		id:      m.ID,
		request: m.Request,
		at:      now,
		latest:  latestStart(m.Request, m.Supply),
	})
}

func (s *State) remove(id uint64) {
	for p := range s.waiting {
		if s.waiting[p].remove(id) {
			return
		}
	}
}

func (s *State) done(m Message, now time.Time) {
	c, ok := s.running[m.ID]
	if !ok {
		return
	}
	delete(s.running, m.ID)
	s.inFlight[c.priority]--
	if !m.Unsent {
		s.demand.held(c.priority, now.Sub(c.at))
	}
}

// expire refuses the calls that cannot be on time even if they started now.
func (s *State) expire(supply routing.Supply, now time.Time) {
	for p := range s.waiting {
		l := &s.waiting[p]
		for len(l.entries) > 0 {
			e := l.entries[0]
			if !latestStart(e.request, supply).Before(now) {
				break
			}
			l.removeAt(0)
			s.refuseLate(e, supply, now)
		}
	}
}

// refuseLate refuses a call that would be late if it started now.
func (s *State) refuseLate(e entry, supply routing.Supply, now time.Time) {
	code := result.DeadlineUnmeetable
	if passed(e.request.FirstBy, now) || passed(e.request.WholeBy, now) {
		code = result.DeadlinePassed
	}
	s.refuse(e.id, code, s.comeBack(e, supply, now))
}

// comeBack is when a call like e, with as much time as e had when it came,
// could be admitted; zero if never.
func (s *State) comeBack(e entry, supply routing.Supply, now time.Time) time.Time {
	patience := e.latest.Sub(e.at)
	if patience <= 0 {
		return time.Time{}
	}
	wait := s.forecast(s.ahead(e.request.Priority), e.request.Priority, supply, now)
	at := now.Add(max(wait-patience, supply.Hold/time.Duration(max(supply.Slots, 1))))
	return s.promise(e, at, supply, now)
}

// start gives places to waiting calls while there are any.
func (s *State) start(supply *routing.Supply, now time.Time) {
	if supply.Endpoints == 0 {
		s.startProbe(*supply, now)
		return
	}
	for {
		p, ok := s.next(*supply, now)
		if !ok {
			return
		}
		s.begin(s.waiting[p].removeAt(0), now)
		supply.Free--
		supply.Own++
	}
}

// startProbe lets one call test an endpoint after its back-off and refuses the others.
func (s *State) startProbe(supply routing.Supply, now time.Time) {
	retryAt := supply.RetryAt
	if !retryAt.IsZero() && !retryAt.After(now) {
		for p := range s.waiting {
			if len(s.waiting[p].entries) > 0 {
				s.begin(s.waiting[p].removeAt(0), now)
				break
			}
		}
	}
	if !retryAt.After(now) {
		retryAt = now.Add(noEndpointRetry)
	}
	for p := range s.waiting {
		for len(s.waiting[p].entries) > 0 {
			s.refuse(s.waiting[p].removeAt(0).id, result.NoEndpoint, retryAt)
		}
	}
}

// next names the priority whose first call may start now.
func (s *State) next(supply routing.Supply, now time.Time) (call.Priority, bool) {
	if s.policy == PolicyFIFO {
		return s.oldest(supply)
	}
	for p := range s.waiting {
		priority := call.Priority(p)
		if len(s.waiting[p].entries) > 0 && s.allowed(priority, supply, now) {
			return priority, true
		}
	}
	return 0, false
}

// oldest names the priority of the call that waits longest.
func (s *State) oldest(supply routing.Supply) (call.Priority, bool) {
	found := false
	var first call.Priority
	for p := range s.waiting {
		l := s.waiting[p].entries
		if len(l) == 0 {
			continue
		}
		if !found || l[0].id < s.waiting[first].entries[0].id {
			first = call.Priority(p)
			found = true
		}
	}
	return first, found && supply.Free >= 1
}

func (s *State) begin(e entry, now time.Time) {
	s.running[e.id] = started{
		priority: e.request.Priority,
		at:       now,
	}
	s.inFlight[e.request.Priority]++
	s.actions = append(s.actions, Action{
		Kind: ActionStart,
		ID:   e.id,
	})
}

func (s *State) refuse(id uint64, code result.Code, comeBackAt time.Time) {
	s.actions = append(s.actions, Action{
		Kind:       ActionRefuse,
		ID:         id,
		Code:       code,
		ComeBackAt: comeBackAt,
	})
}

// bound refuses the last calls of the lowest priority above the queue's length.
func (s *State) bound(supply routing.Supply, now time.Time) {
	over := -s.length
	for p := range s.waiting {
		over += len(s.waiting[p].entries)
	}
	for p := call.Priorities - 1; p >= 0 && over > 0; p-- {
		l := &s.waiting[p]
		for len(l.entries) > 0 && over > 0 {
			e := l.removeAt(len(l.entries) - 1)
			wait := s.forecast(s.ahead(e.request.Priority), e.request.Priority, supply, now)
			s.refuse(e.id, result.QueueFull, s.promise(e, now.Add(wait), supply, now))
			over--
		}
	}
}

func passed(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
