package serving

import (
	"context"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// maxOverflowAttempts bounds the VMs of other regions that one call is sent to.
const maxOverflowAttempts = 2

// canOverflow reports whether a call that this region could not serve may be sent to
// another one. Nothing may have run, the call must not have been forwarded, and it
// must be idempotent, as a ticket binds a call to its executor.
func canOverflow(c *call.Call, o call.Outcome) bool {
	if c.Forwarded || !c.Idempotent {
		return false
	}
	switch o.Code {
	case result.DeadlineUnmeetable, result.QueueFull, result.NoEndpoint, result.RetryBudget:
		return true
	default:
		return false
	}
}

// overflow sends the call to a region with spare capacity, and retries once if that
// capacity is gone by then. The charge stays with this region's limits. If no region
// has spare capacity, the last outcome is returned.
func (s *Server) overflow(ctx context.Context, c *call.Call, terms Terms, sink call.Sink, local call.Outcome) call.Outcome {
	outcome := local
	for range maxOverflowAttempts {
		remote, ok := s.overflowOnce(ctx, c, terms, sink)
		if !ok {
			return outcome
		}
		outcome = remote
		if outcome.Code != result.NoSurplus {
			return outcome
		}
	}
	return outcome
}

// overflowOnce sends the call to one other region. It returns false if nothing was sent.
func (s *Server) overflowOnce(ctx context.Context, c *call.Call, terms Terms, sink call.Sink) (call.Outcome, bool) {
	vm, ok := s.options.ChooseOverflow(c, terms)
	if !ok {
		return call.Outcome{}, false
	}
	borrowed, ok := s.chargeBorrowed(c, terms)
	if !ok {
		return call.Outcome{}, false
	}
	overflowCall := *c
	overflowCall.ChargedRegion = s.options.Region
	s.addEvent(c, "call_sent_away", timeline.Event{
		Peer:   vm.ID,
		Detail: vm.Region,
	})
	s.options.Metrics.CountCrossRegionCall(vm.Region)
	outcome := s.options.Forward(ctx, vm, &overflowCall, sink)
	s.settleBorrowed(borrowed, outcome)
	return outcome, true
}

// chargeBorrowed reserves the call's tokens from the region's borrowing limit.
func (s *Server) chargeBorrowed(c *call.Call, terms Terms) (limit.Reservation, bool) {
	now := s.options.Now()
	r := LimitRequest(c.Workspace, terms.Region, s.options.View(), now)
	r.Cost = limit.Amounts{
		Borrowed: Estimate(c, s.options.Snapshot()).Tokens,
	}
	reservation, refusal := s.options.Ledger.Take(r, now)
	return reservation, refusal == nil
}

func (s *Server) settleBorrowed(reservation limit.Reservation, outcome call.Outcome) {
	now := s.options.Now()
	if outcome.Code.Class() == result.ClassNotRun {
		s.options.Ledger.Cancel(reservation, now)
		return
	}
	s.options.Ledger.Settle(reservation, limit.Amounts{
		Borrowed: float64(outcome.Usage.PromptTokens + outcome.Usage.GeneratedTokens),
	}, now)
}
