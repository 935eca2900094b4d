package serving

import (
	"log/slog"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// checkQuarantine refuses a call whose content is quarantined for crashing endpoints.
// It is called on arrival, before each attempt, and right before the first byte, as
// the content may be quarantined while the call waits. A call that is repeated under new
// ids can otherwise crash all endpoints of a deployment within seconds.
func (s *Server) checkQuarantine(c *call.Call) *result.Refusal {
	if c.QuarantineTrial {
		return nil
	}
	refusal, trial := s.options.Quarantine.Admit(c.ContentDigest)
	if trial {
		c.QuarantineTrial = true
		c.Log.Fail("call_tried", contentAttr(c), slog.String("service", c.Target()))
	}
	return refusal
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
// crash too. A trial ends with its first attempt.
func (s *Server) reportToQuarantine(c *call.Call, e fleet.Endpoint, out endpoint.Outcome) {
	switch {
	case out.Code == result.Done:
		s.options.Quarantine.Succeeded(c.ContentDigest)
	case !out.Sent || out.CallerDisconnected || out.ErrorResponse != nil:
	case out.Code == result.EndpointCut || out.Code == result.EndpointFailed:
		c.QuarantineTrial = false
		s.options.Quarantine.ConnectionLost(c.ContentDigest, e, out.FirstByteAt)
	}
}
