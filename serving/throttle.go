package serving

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/admission"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// Throttle enforces what endpoints announce about the requests they accept.
type Throttle struct {
	// Take returns a permit for one request to an endpoint, or nil and when the endpoint
	// accepts the next request.
	Take func(ctx context.Context, e fleet.Endpoint) (permit *throttle.Permit, opensAt time.Time)
	// UsePermit consumes a permit right before the first byte of the request is sent.
	UsePermit func(e fleet.Endpoint, permit *throttle.Permit, way throttle.RequestKind) error
	// ObserveNotice reports what an endpoint says about itself in a response, and when the
	// request was sent.
	ObserveNotice func(e fleet.Endpoint, notice endpoint.Notice, sentAt time.Time)
	// CallerRetryAt returns the retry-after time for a caller when all endpoints of a target
	// are closed; opensAt is when the first of them opens.
	CallerRetryAt func(target string, endpointIDs []string, opensAt time.Time) time.Time
}

// noThrottle permits every request.
var noThrottle = Throttle{
	Take: func(context.Context, fleet.Endpoint) (*throttle.Permit, time.Time) {
		return &throttle.Permit{}, time.Time{}
	},
	UsePermit:     func(fleet.Endpoint, *throttle.Permit, throttle.RequestKind) error { return nil },
	ObserveNotice: func(fleet.Endpoint, endpoint.Notice, time.Time) {},
	CallerRetryAt: func(_ string, _ []string, opensAt time.Time) time.Time { return opensAt },
}

const (
	// permitTimeout bounds the time one attempt spends on permits over all endpoints.
	permitTimeout = 200 * time.Millisecond
	// maxEndpointChoices bounds the endpoints that one attempt asks for a permit.
	maxEndpointChoices = 64
	// minClosedDuration is the minimum time that an endpoint without a permit is closed.
	minClosedDuration = 10 * time.Millisecond
)

// admit waits for a slot at an endpoint and a permit to send there. An endpoint that
// refuses a permit is closed until it opens, and the next one is tried.
func (s *Server) admit(ctx context.Context, c *call.Call, pool *Pool, p *progress) (admission.Slot, *throttle.Permit, *result.Refusal) {
	permitCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	r := p.admissionRequest(c)
	r.Tentative = true
	for range maxEndpointChoices {
		slot, refusal := pool.Queue.Admit(ctx, r, s.options.Now())
		if refusal != nil {
			return slot, nil, s.RateLimitRefusal(c, pool, refusal)
		}
		e := slot.Choice.Endpoint
		permit, opensAt := s.options.Throttle.Take(permitCtx, e)
		now := s.options.Now()
		if permit != nil {
			pool.Endpoints.Confirm(slot.Choice, r.Prefixes, now)
			return slot, permit, nil
		}
		if earliest := now.Add(minClosedDuration); opensAt.Before(earliest) {
			opensAt = earliest
		}
		pool.Endpoints.PauseUntil(e.ID, opensAt)
		pool.Queue.Release(slot, routing.Outcome{Canceled: true}, now)
		traceEndpointClosed(c, e, opensAt.Sub(now))
	}
	return admission.Slot{}, nil, s.RateLimitRefusal(c, pool, result.Refuse(result.NoEndpoint, "no endpoint of %s takes a request now", c.Target()))
}

// RateLimitRefusal converts a NoEndpoint refusal into LimitEndpoint with a retry-after time if
// endpoints are closed by their rate limits or rest. Other refusals are returned unchanged.
func (s *Server) RateLimitRefusal(c *call.Call, pool *Pool, refusal *result.Refusal) *result.Refusal {
	if refusal.Code != result.NoEndpoint {
		return refusal
	}
	ids, opensAt := pool.Endpoints.Paused(s.options.Now())
	if len(ids) == 0 {
		return refusal
	}
	refusal = result.Refuse(result.LimitEndpoint, "%d endpoints of %s have named limits or asked for a rest, and take no request now", len(ids), c.Target())
	return refusal.WithRetryAt(s.options.Throttle.CallerRetryAt(c.Target(), ids, opensAt))
}

// attemptKind classifies the next attempt for the throttle.
func (p *progress) attemptKind(c *call.Call) throttle.RequestKind {
	switch {
	case p.delivered > 0 || (c.Routed != nil && c.Routed.ResumeAfter != ""):
		return throttle.KindResumed
	case p.history.Attempts > 0 || (c.Routed != nil && c.Routed.Retry):
		return throttle.KindRepeat
	case c.Forwarded:
		return throttle.KindForwarded
	default:
		return throttle.KindCall
	}
}
