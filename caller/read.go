package caller

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/serving"
)

// Headers of requests.
const (
	HeaderTicket   = "Fuchsianotch-Ticket"
	HeaderDeadline = "Fuchsianotch-Deadline"
	HeaderPriority = "Fuchsianotch-Priority"
)

// passedHeaders go on to the endpoint; all others stay here.
var passedHeaders = []string{"Accept", "Content-Type", "Idempotency-Key"}

// readBody reads the body within the bounds of size and time.
func (s *Server) readBody(q *request) ([]byte, *result.Refusal) {
	limit := int64(s.options.Bounds.MaxBodyBytes)
	if q.r.ContentLength > limit {
		return nil, result.Refuse(result.BodyTooLarge, "the body is over %d bytes", limit)
	}
	control := http.NewResponseController(q.w)
	_ = control.SetReadDeadline(time.Now().Add(s.options.Bounds.BodyWithin))
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		q.bodyRead = true
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, result.Refuse(result.BodyTooLarge, "the body is over %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, result.Refuse(result.BodyTooSlow, "the body did not arrive in time").Because(err)
	default:
		return nil, result.Refuse(result.BadRequest, "the body could not be read").Because(err)
	}
}

// place decides from the headers where the call is served, before its body is read.
func (s *Server) place(q *request, idempotent bool) serving.Placement {
	r := serving.PlaceRequest{
		Contract: q.contract,
	}
	if !idempotent {
		r.Ticket = q.r.Header.Get(HeaderTicket)
	}
	place := serving.Place(r, s.options.View())
	q.mayRead = place.Kind != serving.PlaceRefuse
	return place
}

// newCall starts a call with what all kinds have in common.
func (s *Server) newCall(q *request, fallback call.Priority) (*call.Call, *result.Refusal) {
	c := &call.Call{
		ID:        q.id,
		Workspace: q.contract.Workspace,
		Method:    q.r.Method,
		Header:    passHeaders(q.r.Header),
		Priority:  fallback,
		Ticket:    q.r.Header.Get(HeaderTicket),
	}
	if refusal := setPriority(c, q.r.Header); refusal != nil {
		return nil, refusal
	}
	return c, s.setDeadlines(c, q)
}

func passHeaders(from http.Header) http.Header {
	out := make(http.Header, len(passedHeaders))
	for _, name := range passedHeaders {
		if values, ok := from[name]; ok {
			out[name] = values
		}
	}
	return out
}

func setPriority(c *call.Call, h http.Header) *result.Refusal {
	name := h.Get(HeaderPriority)
	if name == "" {
		return nil
	}
	asked, ok := call.ParsePriority(name)
	if !ok {
		return result.Refuse(result.BadRequest, "header %s must be urgent, chat or report", HeaderPriority)
	}
	// Only a later priority may be asked for: urgent is for the calls that the
	// published documents name.
	c.Priority = max(c.Priority, asked)
	return nil
}

// setDeadlines turns the contract's bounds into this call's deadlines. The
// caller may ask for an earlier end.
func (s *Server) setDeadlines(c *call.Call, q *request) *result.Refusal {
	now := s.options.Now()
	c.FirstBy, c.WholeBy = deadlines(q.contract.Answer, c.Priority, now)
	text := q.r.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	asked, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return result.Refuse(result.BadRequest, "header %s must be an RFC 3339 time", HeaderDeadline).Because(err)
	}
	if !asked.After(now) {
		return result.Refuse(result.DeadlinePassed, "the deadline had passed when the call arrived")
	}
	c.WholeBy = earlier(c.WholeBy, asked)
	c.FirstBy = earlier(c.FirstBy, asked)
	return nil
}

func deadlines(a contract.Answer, p call.Priority, now time.Time) (firstBy, wholeBy time.Time) {
	if p == call.PriorityReport {
		by := now.Add(a.ReportWithin.Duration)
		return by, by
	}
	return now.Add(a.FirstTokenWithin.Duration), now.Add(a.WholeWithin.Duration)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// serve carries the call and writes its answer.
func (s *Server) serve(q *request, c *call.Call, place serving.Placement) {
	ctx := q.r.Context()
	q.served = true
	w := s.newWriter(q, c)
	w.finish(s.options.Serve(ctx, c, place, w.sink()))
}
