package serving

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/configuration"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	tokensPerPrice = 1000
	// leaseWithin bounds the wait for an owner's answer.
	leaseWithin = 250 * time.Millisecond
	// shareWithin is when shares have most likely moved to their new owner.
	shareWithin = 500 * time.Millisecond
)

// charge takes the call's estimated cost from the limits of its workspace.
func (s *Server) charge(ctx context.Context, c *call.Call, terms Terms) (limit.Reservation, *result.Refusal) {
	reservation, refusal := s.take(ctx, c, terms)
	if refusal != nil && refusal.ComeBackAt.IsZero() {
		refusal = refusal.Until(s.options.Now().Add(shareWithin))
	}
	return reservation, refusal
}

func (s *Server) take(ctx context.Context, c *call.Call, terms Terms) (limit.Reservation, *result.Refusal) {
	view := s.options.View()
	now := s.options.Now()
	r := s.limitRequest(c, terms, view, now)
	reservation, refusal := s.options.Ledger.Take(r, now)
	if refusal == nil || r.Owner {
		return reservation, refusal
	}
	if lease := s.askOwner(ctx, c.Workspace, terms, view); lease != nil {
		return reservation, lease
	}
	return s.options.Ledger.Take(r, s.options.Now())
}

func (s *Server) limitRequest(c *call.Call, terms Terms, view *membership.View, now time.Time) limit.Request {
	r := LimitRequest(c.Workspace, terms.Region, view, now)
	r.Cost = Estimate(c, s.options.Snapshot())
	return r
}

// LimitRequest returns what the ledger needs to know of this VM's place in the
// view, without a cost.
func LimitRequest(workspace string, terms contract.RegionTerms, view *membership.View, now time.Time) limit.Request {
	owner, ok := view.Owner(workspace)
	hold := view.Hold(workspace, now)
	return limit.Request{
		Workspace: workspace,
		Terms:     terms,
		Share:     hold.Share,
		Since:     hold.Since,
		Base:      hold.Base,
		BaseSince: hold.BaseSince,
		VMs:       view.VMs,
		Owner:     ok && owner.ID == view.Self.ID,
	}
}

// askOwner asks for a lease; calls of one workspace share one question.
func (s *Server) askOwner(ctx context.Context, workspace string, terms Terms, view *membership.View) *result.Refusal {
	owner, ok := view.Owner(workspace)
	if !ok {
		return result.Refuse(result.LimitNoShare, "no VM owns workspace %s now", workspace)
	}
	return s.leases.do(workspace, func() *result.Refusal {
		return s.fetchLease(ctx, owner, workspace, terms)
	})
}

func (s *Server) fetchLease(ctx context.Context, owner fleet.VM, workspace string, terms Terms) *result.Refusal {
	want, unused, ask := s.options.Ledger.Want(workspace, terms.Region, s.options.Now())
	if !ask {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseWithin)
	defer cancel()
	lease, refusal := s.options.Lease(ctx, owner, workspace, want, unused)
	if refusal != nil {
		return refusal
	}
	s.options.Ledger.AddLease(workspace, lease.Granted, lease.Until)
	return nil
}

// Estimate is what a call is charged before it runs.
func Estimate(c *call.Call, snapshot *configuration.Snapshot) limit.Amounts {
	return Cost(c, call.Usage{
		PromptTokens:    c.PromptTokens,
		GeneratedTokens: c.MaxTokens,
	}, snapshot)
}

// Cost is what a call's usage costs by the published prices.
func Cost(c *call.Call, u call.Usage, snapshot *configuration.Snapshot) limit.Amounts {
	cost := limit.Amounts{
		Requests:    1,
		Tokens:      float64(u.PromptTokens + u.GeneratedTokens),
		Concurrency: 1,
	}
	if c.Kind == call.KindService {
		if service, ok := snapshot.Service(c.Service); ok {
			cost.Spend = service.CallPrice
		}
		return cost
	}
	if model, ok := snapshot.Model(c.Model); ok {
		prompt := float64(u.PromptTokens) * model.PromptPrice
		generated := float64(u.GeneratedTokens) * model.GeneratedPrice
		cost.Spend = (prompt + generated) / tokensPerPrice
	}
	return cost
}

// leaseFlights joins concurrent questions about one workspace into one.
type leaseFlights struct {
	mu      sync.Mutex
	flights map[string]*leaseFlight
}

type leaseFlight struct {
	done    chan struct{}
	refusal *result.Refusal
}

func (f *leaseFlights) do(workspace string, ask func() *result.Refusal) *result.Refusal {
	f.mu.Lock()
	if flight, ok := f.flights[workspace]; ok {
		f.mu.Unlock()
		<-flight.done
		return flight.refusal
	}
	if f.flights == nil {
		f.flights = make(map[string]*leaseFlight)
	}
	flight := &leaseFlight{
		done: make(chan struct{}),
	}
	f.flights[workspace] = flight
	f.mu.Unlock()

	flight.refusal = ask()
	f.mu.Lock()
	delete(f.flights, workspace)
	f.mu.Unlock()
	close(flight.done)
	return flight.refusal
}
