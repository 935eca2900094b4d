package peer

import (
	"context"
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// Permit asks the VM that keeps an endpoint's rate for one request to it.
func (c *Client) Permit(ctx context.Context, vm fleet.VM, l throttle.Limit) (throttle.Answer, error) {
	reply, err := c.client(ctx, vm).Permit(ctx, &peerpb.PermitRequest{
		Limit: EndpointLimitMessage(l),
	})
	if err != nil {
		return throttle.Answer{}, err
	}
	return permitFromMessage(reply, c.options.Now()), nil
}

// Permit implements peerpb.DRPCPeerServer.
func (s *service) Permit(_ context.Context, in *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	if s.handlers.Permit == nil {
		return nil, errNotServed
	}
	return permitMessage(s.handlers.Permit(EndpointLimitFromMessage(in.GetLimit())), s.handlers.Now()), nil
}

// permitMessage writes an answer that is sent now.
func permitMessage(a throttle.Answer, now time.Time) *peerpb.PermitReply {
	m := &peerpb.PermitReply{
		Kept:     a.Kept,
		Granted:  a.Granted,
		NextInMs: leftMilli(a.NextAt, now),
	}
	if a.Limit.Version > 0 {
		m.Limit = EndpointLimitMessage(a.Limit)
	}
	return m
}

func permitFromMessage(m *peerpb.PermitReply, now time.Time) throttle.Answer {
	return throttle.Answer{
		Kept:    m.GetKept(),
		Granted: m.GetGranted(),
		NextAt:  deadlineIn(m.GetNextInMs(), now),
		Limit:   EndpointLimitFromMessage(m.GetLimit()),
	}
}

// EndpointLimitMessage writes a limit.
func EndpointLimitMessage(l throttle.Limit) *peerpb.EndpointLimit {
	return &peerpb.EndpointLimit{
		Endpoint:    l.Endpoint,
		Incarnation: l.Incarnation,
		Version:     l.Version,
		Active:      l.Active,
		PerSecond:   l.PerSecond,
	}
}

// EndpointLimitFromMessage reads a limit. One that names no rate a VM could keep to is as none.
func EndpointLimitFromMessage(m *peerpb.EndpointLimit) throttle.Limit {
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
