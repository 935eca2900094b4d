package emulator

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// serving is one VM's attempts at a request.
type serving struct {
	vm       *vm
	life     uint64
	request  *request
	most     int
	history  retry.History
	excluded [2]string
	done     func(code result.Code, ran int)
	failed   bool
	ended    bool
}

// serve sends the request to endpoints of the own region.
func (v *vm) serve(r *request, most int, repeated bool, done func(result.Code, int)) {
	v.awaitNews(v.now().Add(newsWithin), func(current bool) {
		if !current {
			done(result.NotReady, 0)
			return
		}
		v.serveNow(r, most, repeated, done)
	})
}

func (v *vm) serveNow(r *request, most int, repeated bool, done func(result.Code, int)) {
	s := &serving{
		vm:      v,
		life:    v.life,
		request: r,
		most:    most,
		done:    done,
	}
	if v.table() == nil || (!r.call.Routed.Allows(v.vm.Region) && v.world.fault != IgnoreHomes) {
		done(result.NotReady, 0)
		return
	}
	if !v.crashes.admits(r) {
		done(result.Quarantined, 0)
		return
	}
	if repeated && !v.window.Allow() {
		done(result.RetryBudget, 0)
		return
	}
	if !repeated {
		v.window.OnRequest()
	}
	v.world.clock.at(r.deadline, func() { v.do(s.life, func() { s.end(result.EndpointTimeout) }) })
	s.attempt()
}

// attempt sends the request once.
func (s *serving) attempt() {
	v := s.vm
	if !v.crashes.admits(s.request) {
		s.end(s.history.Code(result.Quarantined))
		return
	}
	choice, ok := v.pool.Choose(routing.Request{
		Exclude: s.excluded,
		Again:   s.failed,
	}, v.now())
	if !ok {
		s.end(s.history.Code(result.NoEndpoint))
		return
	}
	v.permit(s.life, choice.Endpoint, func(p *throttle.Permit, opensAt time.Time) {
		switch {
		case s.ended:
			v.pool.Done(choice, routing.Outcome{Canceled: true}, v.now())
		case p == nil:
			v.pool.CloseUntil(choice.Endpoint.ID, opensAt)
			v.pool.Done(choice, routing.Outcome{Canceled: true}, v.now())
			s.attempt()
		case !v.uses(choice.Endpoint, p):
			s.took(choice, result.LimitEndpoint, false)
		default:
			s.send(choice)
		}
	})
}

// send sends the request to the endpoint that was chosen.
func (s *serving) send(choice routing.Choice) {
	v := s.vm
	w, answered, sentAt := v.world, false, v.now()
	a := attempt{
		request:  s.request,
		instance: choice.Endpoint.ID,
		from:     v,
		sentAt:   w.clock.now,
		rated: func(r fleet.Rate) {
			v.do(s.life, func() { v.answeredRate(choice.Endpoint, r, sentAt) })
		},
		done: func(code result.Code, sent bool) {
			v.do(s.life, func() {
				if answered {
					return
				}
				answered = true
				s.took(choice, code, sent)
			})
		},
	}
	w.network.send(v.vm.Region, choice.Endpoint.Region, func() {
		if e := w.engineAtAddr(choice.Endpoint.Addr); e != nil {
			e.get(a)
			return
		}
		a.done(result.EndpointFailed, false)
	})
}

func (w *world) engineAtAddr(addr string) *engine {
	var found *engine
	for _, e := range w.engines {
		if e.endpoint.Addr == addr && (found == nil || e.up) {
			found = e
		}
	}
	return found
}

// took decides what follows an attempt.
func (s *serving) took(choice routing.Choice, code result.Code, sent bool) {
	v, now := s.vm, s.vm.now()
	v.pool.Done(choice, routing.Outcome{
		Code:     code,
		Sent:     sent,
		Answered: code == result.EndpointFailed && sent,
	}, now)
	v.crashes.took(s.request, choice.Endpoint, code)
	if s.ended {
		return
	}
	s.excluded[s.history.Attempts%len(s.excluded)] = choice.Endpoint.ID
	s.history.Take(code, sent)
	s.failed = code == result.EndpointFailed && sent
	if code == result.Done || !s.mayRepeat(code, sent, now) {
		s.end(s.code(code))
		return
	}
	if sent && !v.window.Allow() {
		s.end(s.code(code))
		return
	}
	s.attempt()
}

func (s *serving) code(last result.Code) result.Code {
	if s.vm.world.fault == ForgetUncertain {
		return last
	}
	return s.history.Code(last)
}

func (s *serving) mayRepeat(code result.Code, sent bool, now time.Time) bool {
	a := retry.Attempt{
		Code:       code,
		Sent:       sent,
		Idempotent: s.request.idempotent || s.vm.world.fault == RepeatUnsafe,
		WholeBy:    s.request.deadline,
	}
	a.Attempts, a.MaxAttempts = s.history.Routed(s.most)
	return retry.Decide(a, now) == retry.VerdictRetry
}

func (s *serving) end(code result.Code) {
	if s.ended {
		return
	}
	s.ended = true
	s.done(code, s.history.Ran())
}
