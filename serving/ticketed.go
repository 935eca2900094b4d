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

// serveTicketed runs a non-idempotent call at most once. A repeated request gets the
// recorded response.
func (s *Server) serveTicketed(ctx context.Context, c *call.Call, terms Terms, sink call.Sink) call.Outcome {
	if c.Ticket == "" {
		return call.Refused(result.Refuse(result.TicketRequired, "a non-idempotent call needs a ticket"))
	}
	for {
		step := s.options.Tickets.Begin(c.Ticket, c.Workspace, hashCall(c), s.options.Now())
		switch step.Kind {
		case ticket.Run:
			return s.runTicket(ctx, c, terms, sink, step.Entry)
		case ticket.Replay:
			return replayRecord(*step.Record, sink)
		case ticket.Wait:
			if refusal := s.waitForRun(ctx, step.Done); refusal != nil {
				return call.Refused(refusal)
			}
		default:
			return call.Refused(step.Refusal)
		}
	}
}

// waitForRun waits for a concurrent request with the same ticket to finish.
func (s *Server) waitForRun(ctx context.Context, done <-chan struct{}) *result.Refusal {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return result.Refuse(result.EndpointTimeout, "the ticket's call is still running")
	}
}

// runTicket runs the call to completion even if the caller disconnects, so that a
// repeated request with the same ticket finds the response.
func (s *Server) runTicket(ctx context.Context, c *call.Call, terms Terms, sink call.Sink, e *ticket.Entry) call.Outcome {
	ctx, cancel := clock.WithDeadline(context.WithoutCancel(ctx), s.options.Now(), c.Deadline)
	defer cancel()
	defer e.Abandon()
	var recorder answerRecorder
	outcome := s.run(ctx, c, terms, recorder.sink(), s.spendOnFirstSend(c, e))
	record := recorder.record(outcome)
	e.Finish(record)
	if outcome.Code.Class() == result.ClassDone {
		_ = writeRecord(record, sink)
	}
	return outcome
}

// spendOnFirstSend marks the ticket as used right before the first byte of the first
// attempt. Later attempts follow only if no earlier one ran.
func (s *Server) spendOnFirstSend(c *call.Call, e *ticket.Entry) beforeSendFunc {
	spent := false
	return func() error {
		if spent {
			return nil
		}
		if refusal := s.markSent(e, s.options.Now()); refusal != nil {
			return refusal
		}
		spent = true
		s.addEvent(c, "ticket_spent", timeline.Event{})
		return nil
	}
}

// answerRecorder buffers a response until it is complete.
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

func replayRecord(r ticket.Record, sink call.Sink) call.Outcome {
	if r.Code.Class() != result.ClassDone {
		return call.Refused(result.Refuse(r.Code, "the ticket's call ended so: %s", r.Code))
	}
	if err := writeRecord(r, sink); err != nil {
		return call.Refused(result.Refuse(result.PeerLost, "the caller has gone").WithCause(err))
	}
	return call.Outcome{
		Code: result.Replayed,
	}
}

func writeRecord(r ticket.Record, sink call.Sink) error {
	if err := sink.Head(r.Status, r.Header); err != nil {
		return err
	}
	return sink.Chunk(r.Body)
}

// hashCall identifies the call that a ticket is used for.
func hashCall(c *call.Call) uint64 {
	h := xxhash.New()
	for _, part := range []string{c.Target(), c.Method, c.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Payload())
	return h.Sum64()
}
