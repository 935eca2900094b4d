package serving

import (
	"context"
	"errors"
	"net/http"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// serveRouted serves a call whose terms follow from its route, here or in
// another region. One that came from another VM is served here or not at all.
func (s *Server) serveRouted(ctx context.Context, c *call.Call, sink call.Sink) call.Outcome {
	if r := s.refuseNew(); r != nil {
		return call.Refused(r.Until(s.options.Now().Add(shareWithin)))
	}
	if c.Forwarded {
		return s.attempt(ctx, c, sink, nil)
	}
	seen := &passed{
		sink: sink,
	}
	var tried []string
	var outcome call.Outcome
	var certain certainty
	for len(tried) < retry.PlacesPerCall {
		vm, away, refusal := s.options.PlaceRouted(c, tried)
		if refusal != nil {
			return unlessTried(outcome, tried, refusal)
		}
		if !away {
			vm = fleet.VM{
				ID: s.options.VM,
			}
			outcome = s.attempt(ctx, c, seen.tracked(), nil)
		} else {
			outcome = s.sendAway(ctx, c, vm, seen.tracked())
		}
		tried = append(tried, vm.ID)
		left := seen.place(c, outcome).RunsLeft(c.Routed.MaxAttempts)
		outcome = certain.judge(outcome)
		here := seen.place(c, outcome)
		if ctx.Err() != nil || left < 1 || !here.MayMove() {
			return outcome
		}
		c = seen.moved(c, here, left)
	}
	return outcome
}

// certainty keeps the first outcome of a call of which it is not known whether
// it ran: a later refusal does not make that certain.
type certainty struct {
	unknown *call.Outcome
}

func (c *certainty) judge(o call.Outcome) call.Outcome {
	switch o.Code.Class() {
	case result.ClassUnknown:
		if c.unknown == nil {
			c.unknown = &o
		}
	case result.ClassNotRun:
		if c.unknown != nil {
			return *c.unknown
		}
	}
	return o
}

// unlessTried gives the outcome of the last place that looked at the call.
func unlessTried(o call.Outcome, tried []string, r *result.Refusal) call.Outcome {
	if len(tried) == 0 {
		return call.Refused(r)
	}
	return o
}

func (s *Server) sendAway(ctx context.Context, c *call.Call, vm fleet.VM, sink call.Sink) call.Outcome {
	s.event(c, "call_sent_away", timeline.Event{
		Peer:   vm.ID,
		Detail: vm.Region,
	})
	traceAway(c, vm)
	s.options.Metrics.SentAway(vm.Region)
	return s.options.Forward(ctx, vm, c, sink)
}

// passed is what the caller has of an answer.
type passed struct {
	sink      call.Sink
	headed    bool
	lastEvent string
}

func (p *passed) tracked() call.Sink {
	return call.Sink{
		Head: func(status int, header http.Header) error {
			if p.headed {
				return p.goesOn(status, header)
			}
			p.headed = true
			return p.sink.Head(status, header)
		},
		Chunk: func(data []byte) error {
			if id := endpoint.LastEventID(data); id != "" {
				p.lastEvent = id
			}
			return p.sink.Chunk(data)
		},
	}
}

// errSeam says that what follows is no continuation of what the caller has.
var errSeam = errors.New("the answer does not continue the stream")

// goesOn refuses any head after the first but that of a stream that goes on.
func (p *passed) goesOn(status int, header http.Header) error {
	if status != http.StatusOK || header.Get("Content-Length") != "" {
		return errSeam
	}
	return nil
}

// place is what the last VM made of the call, with what the caller has of it.
func (p *passed) place(c *call.Call, o call.Outcome) retry.Place {
	return retry.Place{
		Code:       o.Code,
		Ran:        o.Ran,
		Idempotent: c.Idempotent,
		Headed:     p.headed,
		Resumable:  c.Routed.Resumable,
		HasEvent:   p.lastEvent != "",
	}
}

// moved is the call as the next place gets it, after what the one before made of it.
func (p *passed) moved(c *call.Call, before retry.Place, runsLeft int) *call.Call {
	next := *c
	routed := *c.Routed
	routed.MaxAttempts = runsLeft
	next.Routed = &routed
	if p.lastEvent != "" {
		routed.ResumeAfter = p.lastEvent
	}
	if before.IsRepeat() {
		routed.Repeated = true
	}
	return &next
}
