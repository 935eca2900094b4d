package serving

import (
	"log/slog"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// admitCrashing refuses a call that is held, as the endpoints that ran it crashed. It is
// asked before each way to an endpoint: as a call arrives, before each attempt, also of
// one that another VM sent or that goes on elsewhere, and right before the first byte,
// as an attempt may have waited. Without it a call that came again and again under new ids
// crashed 17 engines in 15 s at a site of nine, some of them twice.
func (s *Server) admitCrashing(c *call.Call) *result.Refusal {
	if c.Trial {
		return nil
	}
	refusal, trial := s.options.Crashes.Admit(c.Content)
	if trial {
		c.Trial = true
		c.Trail.Fail("call_tried", traceContent(c), slog.String("service", c.Target()))
	}
	return refusal
}

// beforeSending asks that once more, and then what else is asked before the first byte.
func (s *Server) beforeSending(c *call.Call, before sending) sending {
	return func() error {
		if refusal := s.admitCrashing(c); refusal != nil {
			return refusal
		}
		return before()
	}
}

// noteCrash tells how an attempt ended for its endpoint. One that crashes may end its
// answer anywhere, also in the middle of an event, which reads as a malformed one. A
// trial is over with its first attempt.
func (s *Server) noteCrash(c *call.Call, e fleet.Endpoint, out endpoint.Outcome) {
	switch {
	case out.Code == result.Done:
		s.options.Crashes.EndedWell(c.Content)
	case !out.Sent || out.CallerGone || out.Held != nil:
	case out.Code == result.EndpointCut || out.Code == result.EndpointFailed:
		c.Trial = false
		s.options.Crashes.Cut(c.Content, e, out.FirstAt)
	}
}
