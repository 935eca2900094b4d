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
func (c *Client) Permit(ctx context.Context, vm fleet.VM, w throttle.Word) (throttle.Answer, error) {
	reply, err := c.client(ctx, vm).Permit(ctx, &peerpb.PermitRequest{
		Word: RateWordMessage(w),
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
	return permitMessage(s.handlers.Permit(RateWordFromMessage(in.GetWord())), s.handlers.Now()), nil
}

// permitMessage writes an answer that is sent now.
func permitMessage(a throttle.Answer, now time.Time) *peerpb.PermitReply {
	m := &peerpb.PermitReply{
		Kept:     a.Kept,
		Granted:  a.Granted,
		NextInMs: leftMilli(a.NextAt, now),
	}
	if a.Word.Number > 0 {
		m.Word = RateWordMessage(a.Word)
	}
	return m
}

func permitFromMessage(m *peerpb.PermitReply, now time.Time) throttle.Answer {
	return throttle.Answer{
		Kept:    m.GetKept(),
		Granted: m.GetGranted(),
		NextAt:  deadlineIn(m.GetNextInMs(), now),
		Word:    RateWordFromMessage(m.GetWord()),
	}
}

// RateWordMessage writes a word.
func RateWordMessage(w throttle.Word) *peerpb.RateWord {
	return &peerpb.RateWord{
		Endpoint:    w.Endpoint,
		Incarnation: w.Incarnation,
		Number:      w.Number,
		Limited:     w.Limited,
		PerSecond:   w.PerSecond,
	}
}

// RateWordFromMessage reads a word. One that names no rate a VM could keep to is as none.
func RateWordFromMessage(m *peerpb.RateWord) throttle.Word {
	perSecond := m.GetPerSecond()
	if perSecond < 0 || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return throttle.Word{}
	}
	return throttle.Word{
		Endpoint:    m.GetEndpoint(),
		Incarnation: m.GetIncarnation(),
		Number:      m.GetNumber(),
		Limited:     m.GetLimited(),
		PerSecond:   perSecond,
	}
}
