package emulator

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
)

const (
	// Both values equal those of the gateway.
	freshStateTimeout      = 250 * time.Millisecond
	freshStatePollInterval = 5 * time.Millisecond
)

// handleRequest routes a caller's request once the VM's state is current, which it may
// not be after a pause of the process.
func (v *vm) handleRequest(r *request) {
	v.awaitFreshState(v.now().Add(freshStateTimeout), func(current bool) {
		if !current {
			v.world.ledger.recordAnswer(r, v, result.NotReady)
			return
		}
		v.routeRequest(r)
	})
}

// awaitFreshState calls then when the VM's state is current, or at the deadline.
func (v *vm) awaitFreshState(deadline time.Time, then func(current bool)) {
	now, incarnation := v.now(), v.incarnation
	current := v.snapshot().Fresh(now) || v.world.defect == TrustStaleState
	if current || !now.Before(deadline) {
		then(current)
		return
	}
	v.world.after(freshStatePollInterval, func() {
		v.run(incarnation, func() { v.awaitFreshState(deadline, then) })
	})
}

func (v *vm) routeRequest(r *request) {
	if !v.crashTracker.admits(r) {
		v.world.ledger.recordAnswer(r, v, result.Quarantined)
		return
	}
	table := v.table()
	if table == nil {
		v.world.ledger.recordAnswer(r, v, result.NotReady)
		return
	}
	v.world.ledger.checkVersion(v, r, table.Version)
	s := &routedRequest{
		vm:          v,
		incarnation: v.incarnation,
		request:     r,
		runsLeft:    r.maxRuns,
	}
	if v.world.defect == UnboundedRuns {
		s.runsLeft = 2 * unboundedRuns
	}
	s.tryNextVM()
}

// unboundedRuns exceeds the limit of every route.
const unboundedRuns = 10

// routedRequest tries the VMs that can serve a request, one after the other.
type routedRequest struct {
	vm          *vm
	incarnation uint64
	request     *request
	triedVMs    []string
	runsLeft    int
	retried     bool
	// unknownCode is the first code that leaves open whether the request ran.
	unknownCode result.Code
	lastCode    result.Code
}

// tryNextVM sends the request to the next candidate.
func (s *routedRequest) tryNextVM() {
	to := s.nextVM()
	if to == nil {
		s.finish(s.lastCode)
		return
	}
	s.triedVMs = append(s.triedVMs, to.member.ID)
	if to == s.vm {
		v := s.vm
		v.serve(routedCall{
			request: s.request,
			maxRuns: s.runsLeft,
			retried: s.retried,
			done:    s.applyResult,
		})
		return
	}
	s.forward(to)
}

// nextVM returns the own VM first, then VMs of other regions.
func (s *routedRequest) nextVM() *vm {
	allowed := s.request.call.Routed.Allows
	if s.vm.world.defect == IgnoreHomeRegions {
		allowed = func(string) bool { return true }
	}
	s.lastCode = result.NoEndpoint
	if len(s.triedVMs) == 0 && allowed(s.vm.member.Region) && len(s.vm.endpoints()) > 0 {
		return s.vm
	}
	for _, m := range s.vm.snapshot().Members {
		if m.VM.Region != s.vm.member.Region && m.Reachable && m.Ready && allowed(m.VM.Region) && !slices.Contains(s.triedVMs, m.VM.ID) {
			return s.vm.world.vmByID(m.VM.ID)
		}
	}
	return nil
}

func (w *world) vmByID(id string) *vm {
	for _, v := range w.vms {
		if v.member.ID == id {
			return v
		}
	}
	return nil
}

// forward sends the request to a VM of another region.
func (s *routedRequest) forward(to *vm) {
	w := s.vm.world
	answered := false
	grant := s.vm.runGrants.Open(s.runsLeft)
	answer := func(o vmOutcome) {
		if !answered {
			answered = true
			if granted := s.vm.runGrants.Close(grant); o.code == result.PeerLost {
				o.ran = granted.Runs
			}
			s.vm.run(s.incarnation, func() { s.applyResult(o) })
		}
	}
	w.clock.at(s.request.deadline, func() { answer(vmOutcome{code: result.EndpointTimeout}) })
	reached := false
	w.after(dialTimeout, func() {
		if !reached {
			answer(vmOutcome{code: result.PeerUnreachable})
		}
	})
	w.network.send(s.vm.member.Region, to.member.Region, func() {
		if !to.up {
			w.network.send(to.member.Region, s.vm.member.Region, func() { answer(vmOutcome{code: result.PeerUnreachable}) })
			return
		}
		// The connection is open; from here on the request may be lost with the peer.
		reached = true
		incarnation := to.incarnation
		to.run(incarnation, func() {
			to.serve(routedCall{
				request:    s.request,
				maxRuns:    s.runsLeft,
				retried:    s.retried,
				requestRun: func(then func(bool)) { s.requestRun(to, grant, then) },
				done: func(o vmOutcome) {
					w.network.send(to.member.Region, s.vm.member.Region, func() { answer(o) })
				},
			})
		})
		w.after(dialTimeout, func() {
			if !to.up || to.incarnation != incarnation || w.network.separated(s.vm.member.Region, to.member.Region) {
				answer(vmOutcome{code: result.PeerLost})
			}
		})
	})
}

// requestRun handles the question of another VM for a further run.
func (s *routedRequest) requestRun(from *vm, grant uint64, then func(granted bool)) {
	v := s.vm
	v.world.network.send(from.member.Region, v.member.Region, func() {
		v.run(s.incarnation, func() {
			granted := v.runGrants.Grant(grant)
			v.world.network.send(v.member.Region, from.member.Region, func() { then(granted) })
		})
	})
}

// applyResult handles the answer of a VM and tries the next one if the request may move.
func (s *routedRequest) applyResult(o vmOutcome) {
	code := o.code
	place := retry.ForwardResult{
		Code:       code,
		Sent:       o.sent,
		Ran:        o.ran,
		Idempotent: s.request.idempotent,
	}
	s.runsLeft = place.RemainingRuns(s.runsLeft)
	if code.Class() == result.ClassUnknown && s.unknownCode == 0 {
		s.unknownCode = code
	}
	place.Code = s.finalCode(code)
	s.lastCode = place.Code
	late := !s.vm.now().Before(s.request.deadline)
	if late || s.runsLeft < 1 || !place.MayForwardElsewhere() || len(s.triedVMs) >= retry.MaxVMsPerCall {
		s.finish(place.Code)
		return
	}
	s.retried = s.retried || place.NextIsRetry()
	s.tryNextVM()
}

// finalCode keeps an unknown outcome unknown if a later attempt is refused.
func (s *routedRequest) finalCode(code result.Code) result.Code {
	if code.Class() == result.ClassNotRun && s.unknownCode != 0 && s.vm.world.defect != ForgetUnknownOutcome {
		return s.unknownCode
	}
	return code
}

func (s *routedRequest) finish(code result.Code) {
	s.vm.world.ledger.recordAnswer(s.request, s.vm, s.finalCode(code))
}
