package peer

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/metering"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// Limits reports usage and demand to a VM and returns its reply.
func (c *Client) Limits(ctx context.Context, vm fleet.VM, from *peerpb.Identity, n metering.Note) (metering.Reply, error) {
	m := limitNoteToProto(n)
	m.From = from
	reply, err := c.client(ctx, vm).Limits(ctx, m)
	if err != nil {
		return metering.Reply{}, err
	}
	return limitReplyFromProto(reply, c.options.Now()), nil
}

// Limits implements peerpb.DRPCPeerServer.
func (s *service) Limits(_ context.Context, in *peerpb.LimitNote) (*peerpb.LimitReply, error) {
	if s.handlers.Limits == nil {
		return nil, errUnsupported
	}
	return limitReplyToProto(s.handlers.Limits(limitNoteFromProto(in)), s.handlers.Now()), nil
}

func limitNoteToProto(n metering.Note) *peerpb.LimitNote {
	m := &peerpb.LimitNote{}
	for _, u := range n.Usage {
		m.Uses = append(m.Uses, &peerpb.LimitUse{
			Workspace: u.Workspace,
			Used:      u.Used,
			Wanted:    u.Requested,
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

func limitNoteFromProto(m *peerpb.LimitNote) metering.Note {
	var n metering.Note
	for _, u := range m.GetUses() {
		n.Usage = append(n.Usage, metering.Usage{
			Workspace: u.GetWorkspace(),
			Used:      u.GetUsed(),
			Requested: u.GetWanted(),
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

// limitReplyToProto encodes a reply for immediate sending; its times become remaining
// durations.
func limitReplyToProto(r metering.Reply, now time.Time) *peerpb.LimitReply {
	m := &peerpb.LimitReply{
		Demands: r.Demands,
	}
	for _, a := range r.Answers {
		m.Verdicts = append(m.Verdicts, &peerpb.LimitVerdict{
			Kept:         a.IsCoordinator,
			Admitted:     a.Admitted,
			ComeBackInMs: remainingMillis(a.RetryAt, now),
			Scarce:       a.Scarce,
		})
	}
	return m
}

func limitReplyFromProto(m *peerpb.LimitReply, now time.Time) metering.Reply {
	r := metering.Reply{
		Demands: m.GetDemands(),
	}
	for _, v := range m.GetVerdicts() {
		r.Answers = append(r.Answers, metering.Answer{
			IsCoordinator: v.GetKept(),
			Admitted:      v.GetAdmitted(),
			RetryAt:       deadlineAfter(v.GetComeBackInMs(), now),
			Scarce:        v.GetScarce(),
			At:            now,
		})
	}
	return r
}
