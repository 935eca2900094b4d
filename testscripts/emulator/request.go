package emulator

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
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
