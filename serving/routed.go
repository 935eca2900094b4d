package serving

import (
	"context"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// serveRouted serves a call whose terms follow from its route, here or in another
// region. A forwarded call is served here only.
func (s *Server) serveRouted(ctx context.Context, c *call.Call, sink call.Sink) call.Outcome {
	if r := s.refuseIfStopping(); r != nil {
		return call.Refused(r.WithRetryAt(s.options.Now().Add(defaultRetryAfter)))
	}
	if r := s.checkQuarantine(c); r != nil {
		return call.Refused(r)
	}
	if c.Forwarded {
		return s.sendWithRetries(ctx, c, sink, nil)
	}
	if r := s.pinToOrigin(ctx, c); r != nil {
		return call.Refused(r)
	}
	if r := s.options.Limits.Take(ctx, c); r != nil {
		return call.Refused(r)
	}
	tracker := &answerTracker{
		sink:  sink,
		now:   s.options.Now,
		began: func(softwareVersion string) { s.options.Streams.Began(c, softwareVersion) },
	}
	outcome := s.serveWithFailover(ctx, c, tracker)
	outcome.LongestGap = tracker.longestGap
	if outcome.Code.Class() == result.ClassNotRun {
		s.options.Limits.Refund(c)
	}
	return outcome
}

// pinToOrigin restricts a call that resumes a stream to the service and the software version
// that began it. It refuses the call if they are not known.
func (s *Server) pinToOrigin(ctx context.Context, c *call.Call) *result.Refusal {
	if !c.Stream || c.Routed.ResumeAfter == "" {
		return nil
	}
	o, ok := s.options.Streams.Origin(ctx, c)
	traceOrigin(c, o, ok)
	if !ok {
		return result.Refuse(result.StreamUnknown, "no VM knows which software version began the stream of request %q", c.Routed.Resumes)
	}
	c.Service = o.Service
	c.Routed.Pin = fleet.PinTo(o.Version)
	return nil
}

// serveWithFailover tries places in turn until one serves the call.
func (s *Server) serveWithFailover(ctx context.Context, c *call.Call, tracker *answerTracker) call.Outcome {
	var tried []fleet.VM
	var outcome call.Outcome
	var ambiguous ambiguity
	cutOff := false
	for len(tried) < retry.MaxVMsPerCall {
		vm, remote, refusal := s.options.PlaceRouted(ctx, c, tried)
		if refusal != nil {
			return refusedUnlessTried(outcome, tried, refusal)
		}
		if !remote {
			vm = fleet.VM{
				ID: s.options.VM,
			}
			outcome = s.sendWithRetries(ctx, c, tracker.wrappedSink(), nil)
		} else {
			outcome = s.forwardToRegion(ctx, c, vm, tracker.wrappedSink())
		}
		tried = append(tried, vm)
		if outcome.RunsOnce {
			c.RunOnce()
		}
		s.restrictRuns(ctx, c, outcome.Code)
		attemptsLeft := tracker.placeResult(c, outcome).RemainingRuns(c.Routed.MaxAttempts)
		cutOff = outcome.VMStopped || cutOff && isVMGone(outcome.Code)
		outcome = ambiguous.resolve(outcome)
		current := tracker.placeResult(c, outcome)
		if ctx.Err() != nil || attemptsLeft < 1 || c.BodyReleased() || !current.MayForwardElsewhere() {
			return outcome
		}
		c = tracker.nextCall(c, current, attemptsLeft)
		c.Routed.CutOff = cutOff
	}
	return outcome
}

// restrictRuns forbids further runs of a call that may have run, if it may no longer run again.
func (s *Server) restrictRuns(ctx context.Context, c *call.Call, code result.Code) {
	if c.Idempotent && s.options.MayRepeat != nil && code.Class() == result.ClassUnknown && !s.options.MayRepeat(ctx, c) {
		c.RunOnce()
	}
}

// isVMGone reports whether a VM had no part in a call because it was stopping or had ended.
func isVMGone(code result.Code) bool {
	return code == result.Stopping || code == result.PeerUnreachable
}

// ambiguity keeps the first outcome that leaves open whether the call ran. A later
// "not run" outcome must not replace it.
type ambiguity struct {
	unknown *call.Outcome
}

func (a *ambiguity) resolve(o call.Outcome) call.Outcome {
	switch o.Code.Class() {
	case result.ClassUnknown:
		if a.unknown == nil {
			a.unknown = &o
		}
	case result.ClassNotRun:
		if a.unknown != nil {
			return *a.unknown
		}
	}
	return o
}

// refusedUnlessTried returns the last outcome, or the refusal if no place was tried.
func refusedUnlessTried(o call.Outcome, tried []fleet.VM, r *result.Refusal) call.Outcome {
	if len(tried) == 0 {
		return call.Refused(r)
	}
	return o
}

func (s *Server) forwardToRegion(ctx context.Context, c *call.Call, vm fleet.VM, sink call.Sink) call.Outcome {
	s.addEvent(c, "call_sent_away", timeline.Event{
		Peer:   vm.ID,
		Detail: vm.Region,
	})
	traceOverflow(c, vm)
	s.options.Metrics.CountCrossRegionCall(vm.Region)
	budget := s.options.Budget
	grantedAt := s.options.Now()
	// A VM that has just started can't grant it: it doesn't know the retries before its start.
	c.Routed.RetryGranted = c.Routed.CutOff && budget.Allow(c.Target())
	outcome := s.options.Forward(ctx, vm, c, sink)
	if c.Routed.RetryGranted && !outcome.Sent && outcome.Code.Class() == result.ClassNotRun && budget.Return != nil {
		budget.Return(c.Target(), grantedAt)
	}
	outcome.VM = vm.ID
	traceForward(c, outcome)
	return outcome
}
