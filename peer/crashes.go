package peer

import (
	"context"
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
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
	s.handlers.Crashes(from.GetVm(), crashNoteFromProto(in, sentAt))
	return &peerpb.CrashReply{}, nil
}

// crashNoteToProto encodes a note for immediate sending. Times are encoded as ages and
// remaining durations, because the clocks of two VMs may differ.
func crashNoteToProto(n quarantine.Note, now time.Time) *peerpb.CrashNote {
	m := &peerpb.CrashNote{}
	for _, c := range n.Crashes {
		m.Crashes = append(m.Crashes, &peerpb.Crash{
			Subject:    uint64(c.Subject),
			Life:       c.Incarnation,
			AgeMs:      ageMillis(c.At, now),
			AnsweredMs: ageMillis(c.AnsweredAt, now),
			Calls:      uint32(c.Calls),
		})
	}
	for _, v := range n.Verdicts {
		m.Verdicts = append(m.Verdicts, &peerpb.CrashVerdict{
			Subject:   uint64(v.Subject),
			Version:   v.Version,
			Crashes:   uint32(v.Crashes),
			Trials:    uint32(v.Trials),
			Proven:    v.Proven,
			TryInMs:   v.NextTrialAt.Sub(now).Milliseconds(),
			Cleared:   v.State != quarantine.StateQuarantined,
			State:     uint32(v.State),
			Lives:     v.Incarnations,
			CrashedMs: ageMillis(v.CrashedAt, now),
			Calls:     uint32(v.Calls),
		})
	}
	for _, a := range n.Answers {
		m.Answers = append(m.Answers, &peerpb.SoundAnswer{
			Subject: uint64(a.Subject),
			AgeMs:   ageMillis(a.At, now),
		})
	}
	return m
}

func stateFromProto(v *peerpb.CrashVerdict) quarantine.State {
	switch {
	case v.GetState() != 0:
		return quarantine.State(v.GetState())
	case v.GetCleared():
		return quarantine.StateReleased
	default:
		return quarantine.StateQuarantined
	}
}

// ageMillis returns the age of a time, at least 1 ms; zero for the zero time.
func ageMillis(at, now time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(min(max(now.Sub(at).Milliseconds(), 1), math.MaxUint32))
}

// timeOfAge reverses ageMillis.
func timeOfAge(millis uint32, sentAt time.Time) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return sentAt.Add(-time.Duration(millis) * time.Millisecond)
}

func crashNoteFromProto(m *peerpb.CrashNote, sentAt time.Time) quarantine.Note {
	var n quarantine.Note
	for _, c := range m.GetCrashes() {
		n.Crashes = append(n.Crashes, quarantine.Crash{
			Subject:     call.Subject(c.GetSubject()),
			Incarnation: c.GetLife(),
			At:          timeOfAge(c.GetAgeMs(), sentAt),
			Calls:       int(c.GetCalls()),
			AnsweredAt:  timeOfAge(c.GetAnsweredMs(), sentAt),
		})
	}
	for _, v := range m.GetVerdicts() {
		n.Verdicts = append(n.Verdicts, quarantine.Verdict{
			Subject:      call.Subject(v.GetSubject()),
			Version:      v.GetVersion(),
			State:        stateFromProto(v),
			Crashes:      int(v.GetCrashes()),
			Trials:       int(v.GetTrials()),
			Proven:       v.GetProven(),
			NextTrialAt:  sentAt.Add(time.Duration(v.GetTryInMs()) * time.Millisecond),
			Incarnations: v.GetLives(),
			CrashedAt:    timeOfAge(v.GetCrashedMs(), sentAt),
			Calls:        int(v.GetCalls()),
		})
	}
	for _, a := range m.GetAnswers() {
		n.Answers = append(n.Answers, quarantine.Answer{
			Subject: call.Subject(a.GetSubject()),
			At:      timeOfAge(a.GetAgeMs(), sentAt),
		})
	}
	return n
}
