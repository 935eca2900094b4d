package peer

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/apikey"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// writeRoutedFields encodes the fields that only routed calls have. Deadlines are
// encoded as remaining durations, because the clocks of two VMs may differ by seconds.
func writeRoutedFields(m *peerpb.Call, c *call.Call, now time.Time) {
	r := c.Routed
	m.FirstByUnixMs = 0
	m.WholeByUnixMs = 0
	m.Host = r.Host
	if !r.Key.IsZero() {
		m.KeyDigest = r.Key[:]
	}
	m.Route = r.Route
	m.RouteVersion = r.Version
	m.Rank = uint32(r.Rank)
	m.MaxAttempts = uint32(r.MaxAttempts)
	m.Resumable = r.Resumable
	m.Homes = r.Homes
	m.FirstInMs = remainingMillis(c.FirstTokenDeadline, now)
	m.WholeInMs = remainingMillis(c.Deadline, now)
	m.CallerInMs = remainingMillis(r.CallerDeadline, now)
	m.ArrivedMs = elapsedMillis(r.ArrivedAt, now)
	m.ObjectiveMs = elapsedMillis(r.ObjectiveFrom, now)
	m.ResumeAfter = []byte(r.ResumeAfter)
	if r.Pin.Set {
		m.Pin = &r.Pin.Version
	}
	m.RepeatedBefore = r.Retry
	m.EventTokens = uint32(r.TokensPerEvent)
	m.AnswerTokens = uint32(r.AnswerTokens)
	m.GapMs = uint32(r.MaxEventGap.Milliseconds())
	for _, p := range r.PromptParts {
		m.Parts = append(m.Parts, &peerpb.PromptPart{
			Id:     p.ID,
			Tokens: uint32(p.Tokens),
		})
	}
}

// remainingMillis returns the time until a deadline, at least 1 ms; 0 means no deadline.
func remainingMillis(by, now time.Time) uint32 {
	if by.IsZero() {
		return 0
	}
	return uint32(max(by.Sub(now).Milliseconds(), 1))
}

// elapsedMillis returns the time since another, at least 1 ms; 0 means that it is not known.
func elapsedMillis(since, now time.Time) uint32 {
	if since.IsZero() {
		return 0
	}
	return uint32(max(now.Sub(since).Milliseconds(), 1))
}

func readRoutedFields(c *call.Call, m *peerpb.Call, sentAt time.Time) {
	c.FirstTokenDeadline = deadlineAfter(m.GetFirstInMs(), sentAt)
	c.Deadline = deadlineAfter(m.GetWholeInMs(), sentAt)
	c.Routed = &call.Routed{
		Host:           m.GetHost(),
		Route:          m.GetRoute(),
		Version:        m.GetRouteVersion(),
		Rank:           int(m.GetRank()),
		MaxAttempts:    int(m.GetMaxAttempts()),
		Resumable:      m.GetResumable(),
		Homes:          m.GetHomes(),
		CallerDeadline: deadlineAfter(m.GetCallerInMs(), sentAt),
		ArrivedAt:      timeBefore(m.GetArrivedMs(), sentAt),
		ObjectiveFrom:  timeBefore(m.GetObjectiveMs(), sentAt),
		ResumeAfter:    string(m.GetResumeAfter()),
		Retry:          m.GetRepeatedBefore(),
		TokensPerEvent: int(m.GetEventTokens()),

		AnswerTokens: int(m.GetAnswerTokens()),
		MaxEventGap:  time.Duration(m.GetGapMs()) * time.Millisecond,
	}
	if m.Pin != nil {
		c.Routed.Pin = fleet.PinTo(m.GetPin())
	}
	if key, ok := apikey.FromBytes(m.GetKeyDigest()); ok {
		c.Routed.Key = key
	}
	for _, p := range m.GetParts() {
		c.Routed.PromptParts = append(c.Routed.PromptParts, call.PromptPart{
			ID:     p.GetId(),
			Tokens: int(p.GetTokens()),
		})
	}
}

func deadlineAfter(ms uint32, now time.Time) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

func timeBefore(ms uint32, now time.Time) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
