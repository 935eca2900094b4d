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
	excluded    [2]string
	onFinish    func(code result.Code, ran int)
	lastFailed  bool
	finished    bool
}

// serve sends the request to endpoints of the own region.
func (v *vm) serve(r *request, maxRuns int, retried bool, done func(result.Code, int)) {
	v.awaitFreshState(v.now().Add(freshStateTimeout), func(current bool) {
		if !current {
			done(result.NotReady, 0)
			return
		}
		v.serveNow(r, maxRuns, retried, done)
	})
}

func (v *vm) serveNow(r *request, maxRuns int, retried bool, done func(result.Code, int)) {
	s := &attempts{
		vm:          v,
		incarnation: v.incarnation,
		request:     r,
		maxRuns:     maxRuns,
		onFinish:    done,
	}
	if v.table() == nil || (!r.call.Routed.Allows(v.member.Region) && v.world.defect != IgnoreHomeRegions) {
		done(result.NotReady, 0)
		return
	}
	if !v.crashTracker.admits(r) {
		done(result.Quarantined, 0)
		return
	}
	if retried && !v.window.Allow() {
		done(result.RetryBudget, 0)
		return
	}
	if !retried {
		v.window.OnRequest()
	}
	v.world.clock.at(r.deadline, func() { v.run(s.incarnation, func() { s.finish(result.EndpointTimeout) }) })
	s.tryEndpoint()
}

// tryEndpoint chooses an endpoint and sends the request once it has a permit.
func (s *attempts) tryEndpoint() {
	v := s.vm
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
	w, answered, sentAt := v.world, false, v.now()
	a := attempt{
		request:    s.request,
		endpointID: choice.Endpoint.ID,
		from:       v,
		sentAt:     w.clock.now,
		onNotice: func(n endpoint.Notice) {
			v.run(s.incarnation, func() { v.applyNotice(choice.Endpoint, n, sentAt) })
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
	if s.finished {
		return
	}
	s.excluded[s.history.Attempts%len(s.excluded)] = choice.Endpoint.ID
	s.history.Record(code, sent)
	s.lastFailed = code == result.EndpointFailed && sent
	if code == result.Done || !s.mayRetry(code, sent, now) {
		s.finish(s.code(code))
		return
	}
	if sent && !v.window.Allow() {
		s.finish(s.code(code))
		return
	}
	s.tryEndpoint()
}

func (s *attempts) code(last result.Code) result.Code {
	if s.vm.world.defect == ForgetUnknownOutcome {
		return last
	}
	return s.history.FinalCode(last)
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
	s.onFinish(code, s.history.MayHaveRun())
}
