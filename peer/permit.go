package peer

import (
	"context"
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// Permit asks the VM that enforces an endpoint's rate limit to admit one request.
func (c *Client) Permit(ctx context.Context, vm fleet.VM, l throttle.Limit) (throttle.Answer, error) {
	reply, err := c.client(ctx, vm).Permit(ctx, &peerpb.PermitRequest{
		Limit: EndpointLimitToProto(l),
	})
	if err != nil {
		return throttle.Answer{}, err
	}
	return permitFromProto(reply, c.options.Now()), nil
}

// Permit implements peerpb.DRPCPeerServer.
func (s *service) Permit(_ context.Context, in *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	if s.handlers.Permit == nil {
		return nil, errUnsupported
	}
	return permitToProto(s.handlers.Permit(EndpointLimitFromProto(in.GetLimit())), s.handlers.Now()), nil
}

// permitToProto encodes an answer for immediate sending; its time becomes a remaining
// duration.
func permitToProto(a throttle.Answer, now time.Time) *peerpb.PermitReply {
	m := &peerpb.PermitReply{
		Kept:     a.IsCoordinator,
		Granted:  a.Granted,
		NextInMs: remainingMillis(a.NextAt, now),
	}
	if a.Limit.Version > 0 {
		m.Limit = EndpointLimitToProto(a.Limit)
	}
	return m
}

func permitFromProto(m *peerpb.PermitReply, now time.Time) throttle.Answer {
	return throttle.Answer{
		IsCoordinator: m.GetKept(),
		Granted:       m.GetGranted(),
		NextAt:        deadlineAfter(m.GetNextInMs(), now),
		Limit:         EndpointLimitFromProto(m.GetLimit()),
	}
}

// EndpointLimitToProto encodes an endpoint's rate limit.
func EndpointLimitToProto(l throttle.Limit) *peerpb.EndpointLimit {
	return &peerpb.EndpointLimit{
		Endpoint:    l.Endpoint,
		Incarnation: l.Incarnation,
		Version:     l.Version,
		Active:      l.Active,
		PerSecond:   l.PerSecond,
	}
}

// EndpointLimitFromProto decodes an endpoint's rate limit. It returns the zero Limit
// for a rate that is negative, infinite or not a number.
func EndpointLimitFromProto(m *peerpb.EndpointLimit) throttle.Limit {
	perSecond := m.GetPerSecond()
	if perSecond < 0 || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return throttle.Limit{}
	}
	return throttle.Limit{
		Endpoint:    m.GetEndpoint(),
		Incarnation: m.GetIncarnation(),
		Version:     m.GetVersion(),
		Active:      m.GetActive(),
		PerSecond:   perSecond,
	}
}
