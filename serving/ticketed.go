package serving

import (
	"bytes"
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/ticket"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// serveTicketed runs a non-idempotent call at most once, or replays its answer.
func (s *Server) serveTicketed(ctx context.Context, c *call.Call, terms Terms, sink call.Sink) call.Outcome {
	if c.Ticket == "" {
		return call.Refused(result.Refuse(result.TicketRequired, "a non-idempotent call needs a ticket"))
	}
	for {
		step := s.options.Desk.Begin(c.Ticket, c.Workspace, hashCall(c), s.options.Now())
		switch step.Kind {
		case ticket.Run:
			return s.runTicket(ctx, c, terms, sink, step.Entry)
		case ticket.Replay:
			return replay(*step.Record, sink)
		case ticket.Wait:
			if refusal := s.await(ctx, step.Done); refusal != nil {
				return call.Refused(refusal)
			}
		default:
			return call.Refused(step.Refusal)
		}
	}
}

// await waits for another call of the same ticket.
func (s *Server) await(ctx context.Context, done <-chan struct{}) *result.Refusal {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return result.Refuse(result.EndpointTimeout, "the ticket's call is still running")
	}
}

// runTicket runs the call to its end even if the caller goes, so that a
// repeat with the same ticket finds the answer.
func (s *Server) runTicket(ctx context.Context, c *call.Call, terms Terms, sink call.Sink, e *ticket.Entry) call.Outcome {
	ctx, cancel := clock.WithDeadline(context.WithoutCancel(ctx), s.options.Now(), c.WholeBy)
	defer cancel()
	defer e.Abandon()
	var recorder answerRecorder
	outcome := s.run(ctx, c, terms, recorder.sink(), s.sendOnce(c, e))
	record := recorder.record(outcome)
	e.Finish(record)
	if outcome.Code.Class() == result.ClassDone {
		_ = pass(record, sink)
	}
	return outcome
}

// sendOnce spends the ticket right before the first attempt's first byte.
// Later attempts follow only on one that certainly ran nothing.
func (s *Server) sendOnce(c *call.Call, e *ticket.Entry) sending {
	spent := false
	return func() error {
		if spent {
			return nil
		}
		if refusal := s.spend(e, s.options.Now()); refusal != nil {
			return refusal
		}
		spent = true
		s.event(c, "ticket_spent", timeline.Event{})
		return nil
	}
}

// answerRecorder keeps an answer until it is known to be whole.
type answerRecorder struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func (a *answerRecorder) sink() call.Sink {
	return call.Sink{
		Head: func(status int, header http.Header) error {
			a.status = status
			a.header = header.Clone()
			return nil
		},
		Chunk: func(data []byte) error {
			_, err := a.body.Write(data)
			return err
		},
	}
}

func (a *answerRecorder) record(o call.Outcome) ticket.Record {
	return ticket.Record{
		Code:   o.Code,
		Status: a.status,
		Header: a.header,
		Body:   a.body.Bytes(),
	}
}

func replay(r ticket.Record, sink call.Sink) call.Outcome {
	if r.Code.Class() != result.ClassDone {
		return call.Refused(result.Refuse(r.Code, "the ticket's call ended so: %s", r.Code))
	}
	if err := pass(r, sink); err != nil {
		return call.Refused(result.Refuse(result.PeerLost, "the caller has gone").Because(err))
	}
	return call.Outcome{
		Code: result.Replayed,
	}
}

func pass(r ticket.Record, sink call.Sink) error {
	if err := sink.Head(r.Status, r.Header); err != nil {
		return err
	}
	return sink.Chunk(r.Body)
}

// hashCall identifies what a ticket was used for.
func hashCall(c *call.Call) uint64 {
	h := xxhash.New()
	for _, part := range []string{c.Target(), c.Method, c.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}
