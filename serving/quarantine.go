package serving

import (
	"log/slog"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// checkQuarantine refuses a call whose content, or a part of whose prompt, is quarantined for
// crashing endpoints. It is called on arrival, before each attempt, and right before the
// first byte, as the verdict may arrive while the call waits. Calls that are repeated under
// new ids, or that share a part, can otherwise crash all endpoints of a deployment within
// seconds.
func (s *Server) checkQuarantine(c *call.Call) *result.Refusal {
	admission := s.options.Quarantine.Admit(c.Subjects, c.Trial)
	if admission.Held != 0 {
		return quarantineRefusal(c, admission)
	}
	if admission.Trial != c.Trial {
		c.Trial = admission.Trial
		c.Log.Fail("call_tried", contentAttr(c), slog.String("subject", c.Trial.String()), slog.String("service", c.Target()))
	}
	return nil
}

func quarantineRefusal(c *call.Call, a quarantine.Admission) *result.Refusal {
	if !a.Held.IsPart() {
		return result.Refuse(result.Quarantined, "%d endpoints crashed under this call", a.Crashes)
	}
	if c.Routed == nil {
		return result.Refuse(result.Quarantined, "%d endpoints crashed under the prompt's first message", a.Crashes)
	}
	for i, p := range c.Routed.SharedParts() {
		if c.Subjects[1+i] == a.Held {
			return result.Refuse(result.Quarantined, "%d endpoints crashed under part %x of the prompt", a.Crashes, p.ID)
		}
	}
	return result.Refuse(result.Quarantined, "%d endpoints crashed under a part of the prompt", a.Crashes)
}

// withQuarantineCheck runs checkQuarantine before next.
func (s *Server) withQuarantineCheck(c *call.Call, next beforeSendFunc) beforeSendFunc {
	return func() error {
		if refusal := s.checkQuarantine(c); refusal != nil {
			return refusal
		}
		return next()
	}
}

// reportToQuarantine reports how an attempt ended. A crashing endpoint may break off
// its response anywhere, also within an event, so a malformed response counts as a
// crash too. Only a success shows that the endpoint has run the call without harm. A trial
// ends with its first attempt.
func (s *Server) reportToQuarantine(c *call.Call, e fleet.Endpoint, out endpoint.Outcome) {
	run := quarantine.Run{
		Subjects:  c.Subjects,
		Endpoint:  e,
		BeganAt:   out.FirstByteAt,
		OpenAt:    out.OpenAt,
		StillOpen: out.StillOpen,
	}
	switch {
	case out.Code == result.Done:
		if out.Succeeded {
			s.options.Quarantine.Answered(run)
		}
	case !out.Sent || out.CallerDisconnected || out.AnsweredError:
	case out.Code == result.EndpointCut || out.Code == result.EndpointFailed:
		c.Trial = 0
		s.options.Quarantine.ConnectionLost(run)
	}
}

// soundProgress reports a stream as answered once it has gone on for long enough, as it may
// last for much longer.
type soundProgress struct {
	run      quarantine.Run
	reported bool
}

func (s *Server) reportProgress(p *soundProgress, openAt time.Time) {
	p.run.OpenAt = openAt
	if p.reported || !quarantine.IsSound(p.run.BeganAt, openAt) {
		return
	}
	p.reported = true
	s.options.Quarantine.Answered(p.run)
}

// returnUnsentTrial takes a trial back that began with this call and reached no endpoint.
func (s *Server) returnUnsentTrial(c *call.Call, outcome call.Outcome) {
	if c.Trial != 0 && !c.Forwarded && outcome.Code.Class() == result.ClassNotRun && !outcome.Sent {
		s.options.Quarantine.TrialUnsent(c.Trial)
	}
}
