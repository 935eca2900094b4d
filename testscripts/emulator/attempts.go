package emulator

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// attempts tracks one VM's attempts at a request.
type attempts struct {
	vm          *vm
	incarnation uint64
	request     *request
	maxRuns     int
	history     retry.History
	budget      *retry.CallBudget
	excluded    [2]string
	onFinish    func(o vmOutcome)
	// requestRun is as in routedCall, runsRequested is how many runs it granted.
	requestRun    func(then func(granted bool))
	runsRequested int
	lastFailed    bool
	// lastSent is set while an attempt is under way that may have reached its endpoint, and
	// after it.
	lastSent bool
	finished bool
}

// vmOutcome is what one VM reports of its attempts at a request.
type vmOutcome struct {
	code result.Code
	// ran is the number of endpoints that may have run the request, sent is set if it may
	// have reached one.
	ran  int
	sent bool
}

// routedCall is a request as a VM is to serve it.
type routedCall struct {
	request *request
	maxRuns int
	// retried is set if another VM may have sent it to an endpoint.
	retried bool
	// requestRun asks the VM that sent the request for a further run; nil if it came from a
	// caller.
	requestRun func(then func(granted bool))
	done       func(vmOutcome)
}

// serve sends the request to endpoints of the own region.
func (v *vm) serve(c routedCall) {
	v.awaitFreshState(v.now().Add(freshStateTimeout), func(current bool) {
		if !current {
			c.done(vmOutcome{code: result.NotReady})
			return
		}
		v.serveNow(c)
	})
}

func (v *vm) serveNow(c routedCall) {
	r := c.request
	s := &attempts{
		vm:          v,
		incarnation: v.incarnation,
		request:     r,
		maxRuns:     c.maxRuns,
		onFinish:    c.done,
		requestRun:  c.requestRun,
		budget:      retry.NewCallBudget(v.retryBudget, c.retried),
	}
	if v.table() == nil || (!r.call.Routed.Allows(v.member.Region) && v.world.defect != IgnoreHomeRegions) {
		c.done(vmOutcome{code: result.NotReady})
		return
	}
	if !v.crashTracker.admits(r) {
		c.done(vmOutcome{code: result.Quarantined})
		return
	}
	if !s.budget.Begin() {
		c.done(vmOutcome{code: result.RetryBudget})
		return
	}
	v.world.clock.at(r.deadline, func() { v.run(s.incarnation, func() { s.finish(result.EndpointTimeout) }) })
	s.tryEndpoint()
}

// minClosedDuration equals the gateway's: an endpoint may open at the moment of its refusal.
const minClosedDuration = 10 * time.Millisecond

// tryEndpoint chooses an endpoint and sends the request once it has a permit.
func (s *attempts) tryEndpoint() {
	v := s.vm
	s.lastSent = false
	if !v.crashTracker.admits(s.request) {
		s.finish(s.history.FinalCode(result.Quarantined))
		return
	}
	choice, ok := v.pool.Choose(routing.Request{
		Exclude:       s.excluded,
		AllowExcluded: s.lastFailed,
	}, v.now())
	if !ok {
		s.finish(s.history.FinalCode(result.NoEndpoint))
		return
	}
	v.requestPermit(s.incarnation, choice.Endpoint, func(p *throttle.Permit, opensAt time.Time) {
		switch {
		case s.finished:
			v.pool.Done(choice, routing.Outcome{Canceled: true}, v.now())
		case p == nil:
			if earliest := v.now().Add(minClosedDuration); opensAt.Before(earliest) {
				opensAt = earliest
			}
			v.pool.PauseUntil(choice.Endpoint.ID, opensAt)
			v.pool.Done(choice, routing.Outcome{Canceled: true}, v.now())
			s.tryEndpoint()
		case !v.mayUse(choice.Endpoint, p):
			s.applyResult(choice, result.LimitEndpoint, false)
		default:
			s.send(choice)
		}
	})
}

// send sends the request to the chosen endpoint.
func (s *attempts) send(choice routing.Choice) {
	v := s.vm
	if !s.budget.OnSend() {
		v.pool.Done(choice, routing.Outcome{Canceled: true}, v.now())
		s.finish(s.history.FinalCode(result.RetryBudget))
		return
	}
	s.lastSent = true
	w, answered, sentAt := v.world, false, v.now()
	a := attempt{
		request:    s.request,
		endpointID: choice.Endpoint.ID,
		from:       v,
		sentAt:     w.clock.now,
		onNotice: func(n endpoint.Notice) {
			v.run(s.incarnation, func() { v.applyNotice(choice.Endpoint, n, sentAt) })
		},
		onProgress: func() {
			v.run(s.incarnation, func() { v.crashTracker.recordAnswer(s.request) })
		},
		onAnswer: func(code result.Code, sent bool) {
			v.run(s.incarnation, func() {
				if answered {
					return
				}
				answered = true
				s.applyResult(choice, code, sent)
			})
		},
	}
	w.network.send(v.member.Region, choice.Endpoint.Region, func() {
		if e := w.engineByAddr(choice.Endpoint.Addr); e != nil {
			e.receive(a)
			return
		}
		a.onAnswer(result.EndpointFailed, false)
	})
}

func (w *world) engineByAddr(addr string) *engine {
	var found *engine
	for _, e := range w.engines {
		if e.endpoint.Addr == addr && (found == nil || e.up) {
			found = e
		}
	}
	return found
}

// applyResult handles the result of an attempt and retries if allowed.
func (s *attempts) applyResult(choice routing.Choice, code result.Code, sent bool) {
	v, now := s.vm, s.vm.now()
	v.pool.Done(choice, routing.Outcome{
		Code:          code,
		Sent:          sent,
		EndpointError: code == result.EndpointFailed && sent,
	}, now)
	v.crashTracker.recordOutcome(s.request, choice.Endpoint, code)
	if !sent {
		s.request.outcome.unreached++
	}
	if s.finished {
		return
	}
	s.excluded[s.history.Attempts%len(s.excluded)] = choice.Endpoint.ID
	s.history.Record(code, sent)
	s.lastSent = sent
	s.lastFailed = code == result.EndpointFailed && sent
	givesUp := !sent && v.world.defect == GiveUpUnreached
	if code == result.Done || givesUp || !s.mayRetry(code, sent, now) {
		s.finish(s.code(code))
		return
	}
	s.obtainRun(func(granted bool) {
		switch {
		case s.finished:
		case !granted:
			s.finish(s.code(code))
		case !s.budget.Allow(sent):
			s.finish(s.codeOnBudgetExhausted(code))
		default:
			s.tryEndpoint()
		}
	})
}

// obtainRun asks for a further run if all that were granted may be used up.
func (s *attempts) obtainRun(then func(granted bool)) {
	if s.requestRun == nil || s.history.MayHaveRun() <= s.runsRequested {
		then(true)
		return
	}
	answered := false
	answer := func(granted bool) {
		s.vm.run(s.incarnation, func() {
			if answered {
				return
			}
			answered = true
			if granted {
				s.runsRequested++
			}
			then(granted)
		})
	}
	s.requestRun(answer)
	s.vm.world.after(runRequestTimeout, func() { answer(false) })
}

// runRequestTimeout equals the gateway's.
const runRequestTimeout = 400 * time.Millisecond

func (s *attempts) code(last result.Code) result.Code {
	if s.vm.world.defect == ForgetUnknownOutcome {
		return last
	}
	return s.history.FinalCode(last)
}

// codeOnBudgetExhausted returns the code of a request that could be retried but for the
// retry budget.
func (s *attempts) codeOnBudgetExhausted(last result.Code) result.Code {
	if code := s.code(last); code.Class() != result.ClassNotRun {
		return code
	}
	return result.RetryBudget
}

func (s *attempts) mayRetry(code result.Code, sent bool, now time.Time) bool {
	a := retry.Attempt{
		Code:       code,
		Sent:       sent,
		Idempotent: s.request.idempotent || s.vm.world.defect == RetryNonIdempotent,
		WholeBy:    s.request.deadline,
	}
	a.Attempts, a.MaxAttempts = s.history.AttemptsAndLimit(s.maxRuns)
	return retry.Decide(a, now) == retry.VerdictRetry
}

func (s *attempts) finish(code result.Code) {
	if s.finished {
		return
	}
	s.finished = true
	s.budget.End(s.lastSent)
	s.onFinish(vmOutcome{
		code: code,
		ran:  s.history.MayHaveRun(),
		sent: s.history.Sent,
	})
}
