package serving

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/admission"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// Throttle keeps to the rates that endpoints name.
type Throttle struct {
	// Take returns a permit to send a request to an endpoint, or when it takes the next one.
	Take func(ctx context.Context, e fleet.Endpoint) (permit *throttle.Permit, opensAt time.Time)
	// Sending uses a permit right before the first byte of the request goes out.
	Sending func(e fleet.Endpoint, permit *throttle.Permit, way throttle.Way) error
	// Answered is told what an answer says of its endpoint's rate, and when its request
	// was sent.
	Answered func(e fleet.Endpoint, r fleet.Rate, sentAt time.Time)
	// ComeBackAt returns when a caller is to come back for whom all endpoints of a target
	// are closed. They are given with the time at which the first of them opens.
	ComeBackAt func(target string, endpointIDs []string, opensAt time.Time) time.Time
}

// noThrottle knows of no rate.
var noThrottle = Throttle{
	Take: func(context.Context, fleet.Endpoint) (*throttle.Permit, time.Time) {
		return &throttle.Permit{}, time.Time{}
	},
	Sending:    func(fleet.Endpoint, *throttle.Permit, throttle.Way) error { return nil },
	Answered:   func(fleet.Endpoint, fleet.Rate, time.Time) {},
	ComeBackAt: func(_ string, _ []string, opensAt time.Time) time.Time { return opensAt },
}

const (
	// permitWithin bounds how long one attempt asks for permits, at one endpoint after the
	// other.
	permitWithin = 200 * time.Millisecond
	// choicesMost bounds at how many endpoints.
	choicesMost = 64
	// closedLeast is how long an endpoint at least gets no call that has permitted none.
	closedLeast = 10 * time.Millisecond
)

// admit finds a place for a call at an endpoint that takes a request now. What this VM may
// not send there goes to another one, or is refused at once.
func (s *Server) admit(ctx context.Context, c *call.Call, pool *Pool, p *progress) (admission.Slot, *throttle.Permit, *result.Refusal) {
	asking, cancel := context.WithTimeout(ctx, permitWithin)
	defer cancel()
	r := p.admission(c)
	r.Tentative = true
	for range choicesMost {
		slot, refusal := pool.Queue.Admit(ctx, r, s.options.Now())
		if refusal != nil {
			return slot, nil, s.UntilOpen(c, pool, refusal)
		}
		e := slot.Choice.Endpoint
		permit, opensAt := s.options.Throttle.Take(asking, e)
		now := s.options.Now()
		if permit != nil {
			pool.Endpoints.Confirm(slot.Choice, r.Prefixes, now)
			return slot, permit, nil
		}
		if least := now.Add(closedLeast); opensAt.Before(least) {
			opensAt = least
		}
		pool.Endpoints.CloseUntil(e.ID, opensAt)
		pool.Queue.Release(slot, routing.Outcome{Canceled: true}, now)
		traceClosed(c, e, opensAt.Sub(now))
	}
	return admission.Slot{}, nil, s.UntilOpen(c, pool, result.Refuse(result.NoEndpoint, "no endpoint of %s takes a request now", c.Target()))
}

// UntilOpen tells the caller of a call that no endpoint takes when one does again, where
// they are closed.
func (s *Server) UntilOpen(c *call.Call, pool *Pool, refusal *result.Refusal) *result.Refusal {
	if refusal.Code != result.NoEndpoint {
		return refusal
	}
	ids, opensAt := pool.Endpoints.Closed(s.options.Now())
	if len(ids) == 0 {
		return refusal
	}
	refusal = result.Refuse(result.LimitEndpoint, "%d endpoints of %s have named limits and take no request now", len(ids), c.Target())
	return refusal.Until(s.options.Throttle.ComeBackAt(c.Target(), ids, opensAt))
}

// way is how the next attempt at a call comes to be sent.
func (p *progress) way(c *call.Call) throttle.Way {
	switch {
	case p.delivered > 0 || (c.Routed != nil && c.Routed.ResumeAfter != ""):
		return throttle.WayResumed
	case p.history.Attempts > 0 || (c.Routed != nil && c.Routed.Repeated):
		return throttle.WayRepeat
	case c.Forwarded:
		return throttle.WayForwarded
	default:
		return throttle.WayCall
	}
}
