package serving

import (
	"context"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// serveRouted serves a call whose terms follow from its route, here or in
// another region. One that came from another VM is served here or not at all.
func (s *Server) serveRouted(ctx context.Context, c *call.Call, sink call.Sink) call.Outcome {
	if r := s.refuseNew(); r != nil {
		return call.Refused(r.Until(s.options.Now().Add(shareWithin)))
	}
	if r := s.admitCrashing(c); r != nil {
		return call.Refused(r)
	}
	if c.Forwarded {
		return s.attempt(ctx, c, sink, nil)
	}
	if r := s.options.Limits.Take(ctx, c); r != nil {
		return call.Refused(r)
	}
	seen := &passed{
		sink: sink,
		now:  s.options.Now,
	}
	outcome := s.serveSomewhere(ctx, c, seen)
	outcome.Pause = seen.pause
	if outcome.Code.Class() == result.ClassNotRun {
		s.options.Limits.GiveBack(c)
	}
	return outcome
}

// serveSomewhere tries one place after the other until one serves the call.
func (s *Server) serveSomewhere(ctx context.Context, c *call.Call, seen *passed) call.Outcome {
	var tried []string
	var outcome call.Outcome
	var certain certainty
	for len(tried) < retry.PlacesPerCall {
		vm, away, refusal := s.options.PlaceRouted(ctx, c, tried)
		if refusal != nil {
			return unlessTried(outcome, tried, refusal)
		}
		if !away {
			vm = fleet.VM{
				ID: s.options.VM,
			}
			outcome = s.attempt(ctx, c, seen.tracked(), nil)
		} else {
			outcome = s.sendAway(ctx, c, vm, seen.tracked())
		}
		tried = append(tried, vm.ID)
		left := seen.place(c, outcome).RunsLeft(c.Routed.MaxAttempts)
		outcome = certain.judge(outcome)
		here := seen.place(c, outcome)
		if ctx.Err() != nil || left < 1 || !here.MayMove() {
			return outcome
		}
		c = seen.moved(c, here, left)
	}
	return outcome
}

// certainty keeps the first outcome of a call of which it is not known whether
// it ran: a later refusal does not make that certain.
type certainty struct {
	unknown *call.Outcome
}

func (c *certainty) judge(o call.Outcome) call.Outcome {
	switch o.Code.Class() {
	case result.ClassUnknown:
		if c.unknown == nil {
			c.unknown = &o
		}
	case result.ClassNotRun:
		if c.unknown != nil {
			return *c.unknown
		}
	}
	return o
}

// unlessTried returns the outcome of the last place that looked at the call.
func unlessTried(o call.Outcome, tried []string, r *result.Refusal) call.Outcome {
	if len(tried) == 0 {
		return call.Refused(r)
	}
	return o
}

func (s *Server) sendAway(ctx context.Context, c *call.Call, vm fleet.VM, sink call.Sink) call.Outcome {
	s.event(c, "call_sent_away", timeline.Event{
		Peer:   vm.ID,
		Detail: vm.Region,
	})
	traceAway(c, vm)
	s.options.Metrics.SentAway(vm.Region)
	return s.options.Forward(ctx, vm, c, sink)
}
