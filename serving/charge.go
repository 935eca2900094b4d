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
	// tokensPerPriceUnit is the number of tokens that a model's price refers to.
	tokensPerPriceUnit = 1000
	// leaseTimeout bounds the wait for a lease from the owner.
	leaseTimeout = 250 * time.Millisecond
	// defaultRetryAfter allows for limit shares to move to their new owner.
	defaultRetryAfter = 500 * time.Millisecond
)

// charge reserves the call's estimated cost from the workspace's limits.
func (s *Server) charge(ctx context.Context, c *call.Call, terms Terms) (limit.Reservation, *result.Refusal) {
	reservation, refusal := s.reserve(ctx, c, terms)
	if refusal != nil && refusal.RetryAt.IsZero() {
		refusal = refusal.WithRetryAt(s.options.Now().Add(defaultRetryAfter))
	}
	return reservation, refusal
}

func (s *Server) reserve(ctx context.Context, c *call.Call, terms Terms) (limit.Reservation, *result.Refusal) {
	view := s.options.View()
	now := s.options.Now()
	r := s.limitRequest(c, terms, view, now)
	reservation, refusal := s.options.Ledger.Take(r, now)
	if refusal == nil || r.Owner {
		return reservation, refusal
	}
	if leaseRefusal := s.requestLease(ctx, c.Workspace, terms, view); leaseRefusal != nil {
		return reservation, leaseRefusal
	}
	return s.options.Ledger.Take(r, s.options.Now())
}

func (s *Server) limitRequest(c *call.Call, terms Terms, view *membership.View, now time.Time) limit.Request {
	r := LimitRequest(c.Workspace, terms.Region, view, now)
	r.Cost = Estimate(c, s.options.Snapshot())
	return r
}

// LimitRequest builds a ledger request from this VM's share in the view. The cost is
// left unset.
func LimitRequest(workspace string, terms contract.RegionLimits, view *membership.View, now time.Time) limit.Request {
	owner, ok := view.Owner(workspace)
	hold := view.ShareHistory(workspace, now)
	return limit.Request{
		Workspace:          workspace,
		Terms:              terms,
		Share:              hold.Share,
		ShareSince:         hold.Since,
		PreviousShare:      hold.Base,
		PreviousShareSince: hold.BaseSince,
		VMs:                view.VMs,
		Owner:              ok && owner.ID == view.Self.ID,
	}
}

// requestLease requests a lease from the workspace's owner. Concurrent requests for
// one workspace are merged.
func (s *Server) requestLease(ctx context.Context, workspace string, terms Terms, view *membership.View) *result.Refusal {
	owner, ok := view.Owner(workspace)
	if !ok {
		return result.Refuse(result.LimitNoShare, "no VM owns workspace %s now", workspace)
	}
	return s.leases.do(workspace, func() *result.Refusal {
		return s.fetchLease(ctx, owner, workspace, terms)
	})
}

func (s *Server) fetchLease(ctx context.Context, owner fleet.VM, workspace string, terms Terms) *result.Refusal {
	want, unused, needed := s.options.Ledger.LeaseRequest(workspace, terms.Region, s.options.Now())
	if !needed {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseTimeout)
	defer cancel()
	lease, refusal := s.options.Lease(ctx, owner, workspace, want, unused)
	if refusal != nil {
		return refusal
	}
	s.options.Ledger.AddLease(workspace, lease.Granted, lease.Until)
	return nil
}

// Estimate returns the cost reserved for a call before it runs.
func Estimate(c *call.Call, snapshot *configuration.Snapshot) limit.Amounts {
	return Cost(c, call.Usage{
		PromptTokens:    c.PromptTokens,
		GeneratedTokens: c.MaxTokens,
	}, snapshot)
}

// Cost returns the cost of a call with the given usage at the published prices.
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
		cost.Spend = (prompt + generated) / tokensPerPriceUnit
	}
	return cost
}

// leaseSingleflight merges concurrent lease requests for the same workspace.
type leaseSingleflight struct {
	mu      sync.Mutex
	flights map[string]*inFlightLease
}

type inFlightLease struct {
	done    chan struct{}
	refusal *result.Refusal
}

func (f *leaseSingleflight) do(workspace string, request func() *result.Refusal) *result.Refusal {
	f.mu.Lock()
	if flight, ok := f.flights[workspace]; ok {
		f.mu.Unlock()
		<-flight.done
		return flight.refusal
	}
	if f.flights == nil {
		f.flights = make(map[string]*inFlightLease)
	}
	flight := &inFlightLease{
		done: make(chan struct{}),
	}
	f.flights[workspace] = flight
	f.mu.Unlock()

	flight.refusal = request()
	f.mu.Lock()
	delete(f.flights, workspace)
	f.mu.Unlock()
	close(flight.done)
	return flight.refusal
}
