package serving

import (
	"context"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// lendersPerCall is how many VMs of other regions one call is sent to at most.
const lendersPerCall = 2

// mayBorrow reports whether a call that this region could not serve may go to
// another one: nothing ran, it did not come from another VM, and it is
// idempotent, so no ticket ties it to this one.
func mayBorrow(c *call.Call, o call.Outcome) bool {
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

// borrow sends the call to a region with surplus, and once more if that has
// none by then. The charge stays with this region's part of the contract.
// Without such a region the last outcome stands.
func (s *Server) borrow(ctx context.Context, c *call.Call, terms Terms, sink call.Sink, local call.Outcome) call.Outcome {
	outcome := local
	for range lendersPerCall {
		away, ok := s.borrowOnce(ctx, c, terms, sink)
		if !ok {
			return outcome
		}
		outcome = away
		if outcome.Code != result.NoSurplus {
			return outcome
		}
	}
	return outcome
}

// borrowOnce sends the call away. It returns false if nothing was sent.
func (s *Server) borrowOnce(ctx context.Context, c *call.Call, terms Terms, sink call.Sink) (call.Outcome, bool) {
	vm, ok := s.options.Borrow(c, terms)
	if !ok {
		return call.Outcome{}, false
	}
	borrowed, ok := s.chargeBorrowed(c, terms)
	if !ok {
		return call.Outcome{}, false
	}
	away := *c
	away.Origin = s.options.Region
	s.event(c, "call_sent_away", timeline.Event{
		Peer:   vm.ID,
		Detail: vm.Region,
	})
	s.options.Metrics.SentAway(vm.Region)
	outcome := s.options.Forward(ctx, vm, &away, sink)
	s.settleBorrowed(borrowed, outcome)
	return outcome, true
}

// chargeBorrowed takes the call's tokens from what the region may borrow.
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
