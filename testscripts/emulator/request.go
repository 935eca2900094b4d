package emulator

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const (
	// newsWithin and newsEvery are those of the gateway.
	newsWithin = 250 * time.Millisecond
	newsEvery  = 5 * time.Millisecond
)

// take serves a caller's request here or elsewhere, once what the VM believes is
// not from before a pause.
func (v *vm) take(r *request) {
	v.awaitNews(v.now().Add(newsWithin), func(current bool) {
		if !current {
			v.world.ledger.answer(r, v, result.NotReady)
			return
		}
		v.search(r)
	})
}

// awaitNews goes on when what the VM believes is current, or at a moment.
func (v *vm) awaitNews(by time.Time, then func(current bool)) {
	now, life := v.now(), v.life
	current := v.picture().Current(now) || v.world.fault == TrustOld
	if current || !now.Before(by) {
		then(current)
		return
	}
	v.world.after(newsEvery, func() {
		v.do(life, func() { v.awaitNews(by, then) })
	})
}

func (v *vm) search(r *request) {
	if !v.crashes.admits(r) {
		v.world.ledger.answer(r, v, result.Quarantined)
		return
	}
	table := v.table()
	if table == nil {
		v.world.ledger.answer(r, v, result.NotReady)
		return
	}
	v.world.ledger.handled(v, r, table.Version)
	s := &search{
		vm:       v,
		life:     v.life,
		request:  r,
		runsLeft: r.most,
	}
	if v.world.fault == UnboundedRuns {
		s.runsLeft = 2 * placeholderRuns
	}
	s.next()
}

// placeholderRuns is far beyond what a route allows.
const placeholderRuns = 10

// search carries a request over the VMs that look at it.
type search struct {
	vm       *vm
	life     uint64
	request  *request
	tried    []string
	runsLeft int
	repeated bool
	// unknown is the first code that leaves open whether the request ran.
	unknown result.Code
	last    result.Code
}

// next has the next VM look at the request.
func (s *search) next() {
	to := s.place()
	if to == nil {
		s.end(s.last)
		return
	}
	s.tried = append(s.tried, to.vm.ID)
	if to == s.vm {
		v := s.vm
		v.serve(s.request, s.runsLeft, s.repeated, s.heard)
		return
	}
	s.forward(to)
}

// place is the own VM first, then one of another region.
func (s *search) place() *vm {
	allowed := s.request.call.Routed.Allows
	if s.vm.world.fault == IgnoreHomes {
		allowed = func(string) bool { return true }
	}
	s.last = result.NoEndpoint
	if len(s.tried) == 0 && allowed(s.vm.vm.Region) && len(s.vm.endpoints()) > 0 {
		return s.vm
	}
	for _, m := range s.vm.picture().Members {
		if m.VM.Region != s.vm.vm.Region && m.Reachable && m.Ready && allowed(m.VM.Region) && !slices.Contains(s.tried, m.VM.ID) {
			return s.vm.world.vmByID(m.VM.ID)
		}
	}
	return nil
}

func (w *world) vmByID(id string) *vm {
	for _, v := range w.vms {
		if v.vm.ID == id {
			return v
		}
	}
	return nil
}

// forward has a VM of another region serve the request.
func (s *search) forward(to *vm) {
	w := s.vm.world
	answered := false
	answer := func(code result.Code, ran int) {
		if !answered {
			answered = true
			s.vm.do(s.life, func() { s.heard(code, ran) })
		}
	}
	w.clock.at(s.request.deadline, func() { answer(result.EndpointTimeout, 0) })
	reached := false
	w.after(dialWithin, func() {
		if !reached {
			answer(result.PeerUnreachable, 0)
		}
	})
	w.network.send(s.vm.vm.Region, to.vm.Region, func() {
		if !to.up {
			w.network.send(to.vm.Region, s.vm.vm.Region, func() { answer(result.PeerUnreachable, 0) })
			return
		}
		// The connection stands; what follows may be lost with the VM.
		reached = true
		life := to.life
		to.do(life, func() {
			to.serve(s.request, s.runsLeft, s.repeated, func(code result.Code, ran int) {
				w.network.send(to.vm.Region, s.vm.vm.Region, func() { answer(code, ran) })
			})
		})
		w.after(dialWithin, func() {
			if !to.up || to.life != life {
				answer(result.PeerLost, 0)
			}
		})
	})
}

// heard takes what a VM made of the request.
func (s *search) heard(code result.Code, ran int) {
	place := retry.Place{
		Code:       code,
		Ran:        ran,
		Idempotent: s.request.idempotent,
	}
	s.runsLeft = place.RunsLeft(s.runsLeft)
	if code.Class() == result.ClassUnknown && s.unknown == 0 {
		s.unknown = code
	}
	place.Code = s.judge(code)
	s.last = place.Code
	late := !s.vm.now().Before(s.request.deadline)
	if late || s.runsLeft < 1 || !place.MayMove() || len(s.tried) >= retry.PlacesPerCall {
		s.end(place.Code)
		return
	}
	s.repeated = s.repeated || place.IsRepeat()
	s.next()
}

// judge lets no later refusal make certain what was not.
func (s *search) judge(code result.Code) result.Code {
	if code.Class() == result.ClassNotRun && s.unknown != 0 && s.vm.world.fault != ForgetUncertain {
		return s.unknown
	}
	return code
}

func (s *search) end(code result.Code) {
	s.vm.world.ledger.answer(s.request, s.vm, s.judge(code))
}

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
