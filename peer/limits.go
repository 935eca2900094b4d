package peer

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/metering"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// Limits tells a VM of uses and demands.
func (c *Client) Limits(ctx context.Context, vm fleet.VM, from *peerpb.Identity, n metering.Note) (metering.Reply, error) {
	m := limitNoteMessage(n)
	m.From = from
	reply, err := c.client(ctx, vm).Limits(ctx, m)
	if err != nil {
		return metering.Reply{}, err
	}
	return limitReplyFromMessage(reply, c.options.Now()), nil
}

// Limits implements peerpb.DRPCPeerServer.
func (s *service) Limits(_ context.Context, in *peerpb.LimitNote) (*peerpb.LimitReply, error) {
	if s.handlers.Limits == nil {
		return nil, errNotServed
	}
	return limitReplyMessage(s.handlers.Limits(limitNoteFromMessage(in)), s.handlers.Now()), nil
}

func limitNoteMessage(n metering.Note) *peerpb.LimitNote {
	m := &peerpb.LimitNote{}
	for _, u := range n.Uses {
		m.Uses = append(m.Uses, &peerpb.LimitUse{
			Workspace: u.Workspace,
			Used:      u.Used,
			Wanted:    u.Wanted,
		})
	}
	for _, d := range n.Demands {
		m.Demands = append(m.Demands, &peerpb.RegionDemand{
			Workspace: d.Workspace,
			PerSecond: d.PerSecond,
		})
	}
	return m
}

func limitNoteFromMessage(m *peerpb.LimitNote) metering.Note {
	var n metering.Note
	for _, u := range m.GetUses() {
		n.Uses = append(n.Uses, metering.Use{
			Workspace: u.GetWorkspace(),
			Used:      u.GetUsed(),
			Wanted:    u.GetWanted(),
		})
	}
	for _, d := range m.GetDemands() {
		n.Demands = append(n.Demands, metering.Demand{
			Region:    m.GetFrom().GetRegion(),
			Workspace: d.GetWorkspace(),
			PerSecond: d.GetPerSecond(),
		})
	}
	return n
}

// limitReplyMessage writes a reply that is sent now.
func limitReplyMessage(r metering.Reply, now time.Time) *peerpb.LimitReply {
	m := &peerpb.LimitReply{
		Demands: r.Demands,
	}
	for _, a := range r.Answers {
		m.Verdicts = append(m.Verdicts, &peerpb.LimitVerdict{
			Kept:         a.Kept,
			Admitted:     a.Admitted,
			ComeBackInMs: leftMilli(a.ComeBackAt, now),
			Scarce:       a.Scarce,
		})
	}
	return m
}

func limitReplyFromMessage(m *peerpb.LimitReply, now time.Time) metering.Reply {
	r := metering.Reply{
		Demands: m.GetDemands(),
	}
	for _, v := range m.GetVerdicts() {
		r.Answers = append(r.Answers, metering.Answer{
			Kept:       v.GetKept(),
			Admitted:   v.GetAdmitted(),
			ComeBackAt: deadlineIn(v.GetComeBackInMs(), now),
			Scarce:     v.GetScarce(),
			At:         now,
		})
	}
	return r
}
