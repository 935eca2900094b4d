package peer

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
)

// Crashes sends crash reports and quarantine verdicts to a VM.
func (c *Client) Crashes(ctx context.Context, vm fleet.VM, from *peerpb.Identity, n quarantine.Note) error {
	m := crashNoteToProto(n, c.options.Now())
	m.From = from
	m.SentUs = c.options.Delays.elapsedMicros()
	_, err := c.client(ctx, vm).Crashes(ctx, m)
	return err
}

// Crashes implements peerpb.DRPCPeerServer.
func (s *service) Crashes(_ context.Context, in *peerpb.CrashNote) (*peerpb.CrashReply, error) {
	if s.handlers.Crashes == nil {
		return nil, errUnsupported
	}
	from := in.GetFrom()
	sentAt := s.handlers.Delays.SentAt(from.GetVm(), from.GetIncarnation(), in.GetSentUs())
	s.handlers.Crashes(crashNoteFromProto(in, sentAt))
	return &peerpb.CrashReply{}, nil
}

// crashNoteToProto encodes a note for immediate sending. Times are encoded as ages and
// remaining durations, because the clocks of two VMs may differ.
func crashNoteToProto(n quarantine.Note, now time.Time) *peerpb.CrashNote {
	m := &peerpb.CrashNote{}
	for _, c := range n.Crashes {
		m.Crashes = append(m.Crashes, &peerpb.Crash{
			Content: c.Content,
			Life:    c.Incarnation,
			AgeMs:   uint32(max(now.Sub(c.At).Milliseconds(), 0)),
			Proven:  c.RecentlySucceeded,
		})
	}
	for _, v := range n.Verdicts {
		m.Verdicts = append(m.Verdicts, &peerpb.CrashVerdict{
			Content: v.Content,
			Version: v.Version,
			Crashes: uint32(v.Crashes),
			Failed:  uint32(v.FailedTrials),
			Proven:  v.Proven,
			TryInMs: v.NextTrialAt.Sub(now).Milliseconds(),
			Cleared: v.Cleared,
		})
	}
	return m
}

func crashNoteFromProto(m *peerpb.CrashNote, sentAt time.Time) quarantine.Note {
	var n quarantine.Note
	for _, c := range m.GetCrashes() {
		n.Crashes = append(n.Crashes, quarantine.Crash{
			Content:           c.GetContent(),
			Incarnation:       c.GetLife(),
			At:                sentAt.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond),
			RecentlySucceeded: c.GetProven(),
		})
	}
	for _, v := range m.GetVerdicts() {
		n.Verdicts = append(n.Verdicts, quarantine.Verdict{
			Content:      v.GetContent(),
			Version:      v.GetVersion(),
			Crashes:      int(v.GetCrashes()),
			FailedTrials: int(v.GetFailed()),
			Proven:       v.GetProven(),
			NextTrialAt:  sentAt.Add(time.Duration(v.GetTryInMs()) * time.Millisecond),
			Cleared:      v.GetCleared(),
		})
	}
	return n
}
