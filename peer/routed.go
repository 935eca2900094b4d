package peer

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/apikey"
	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// putRouted writes what only routed calls have. Their deadlines travel as what
// is left of them: a deadline by the sender's clock would be off by the
// difference of the two clocks, which may be seconds.
func putRouted(m *peerpb.Call, c *call.Call, now time.Time) {
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
	m.FirstInMs = leftMilli(c.FirstBy, now)
	m.WholeInMs = leftMilli(c.WholeBy, now)
	m.CallerInMs = leftMilli(r.CallerBy, now)
	m.ResumeAfter = r.ResumeAfter
	m.RepeatedBefore = r.Repeated
	m.EventTokens = uint32(r.EventTokens)
	m.AnswerTokens = uint32(r.AnswerTokens)
	m.GapMs = uint32(r.Gap.Milliseconds())
	for _, p := range r.Parts {
		m.Parts = append(m.Parts, &peerpb.PromptPart{
			Id:     p.ID,
			Tokens: uint32(p.Tokens),
		})
	}
}

// leftMilli is at least 1 for a deadline, as 0 means that there is none.
func leftMilli(by, now time.Time) uint32 {
	if by.IsZero() {
		return 0
	}
	return uint32(max(by.Sub(now).Milliseconds(), 1))
}

func takeRouted(c *call.Call, m *peerpb.Call, sentAt time.Time) {
	c.FirstBy = deadlineIn(m.GetFirstInMs(), sentAt)
	c.WholeBy = deadlineIn(m.GetWholeInMs(), sentAt)
	c.Routed = &call.Routed{
		Host:        m.GetHost(),
		Route:       m.GetRoute(),
		Version:     m.GetRouteVersion(),
		Rank:        int(m.GetRank()),
		MaxAttempts: int(m.GetMaxAttempts()),
		Resumable:   m.GetResumable(),
		Homes:       m.GetHomes(),
		CallerBy:    deadlineIn(m.GetCallerInMs(), sentAt),
		ResumeAfter: m.GetResumeAfter(),
		Repeated:    m.GetRepeatedBefore(),
		EventTokens: int(m.GetEventTokens()),

		AnswerTokens: int(m.GetAnswerTokens()),
		Gap:          time.Duration(m.GetGapMs()) * time.Millisecond,
	}
	if key, ok := apikey.FromBytes(m.GetKeyDigest()); ok {
		c.Routed.Key = key
	}
	for _, p := range m.GetParts() {
		c.Routed.Parts = append(c.Routed.Parts, call.PromptPart{
			ID:     p.GetId(),
			Tokens: int(p.GetTokens()),
		})
	}
}

func deadlineIn(ms uint32, now time.Time) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}
