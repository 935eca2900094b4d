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

// Request headers.
const (
	HeaderTicket   = "Fuchsianotch-Ticket"
	HeaderDeadline = "Fuchsianotch-Deadline"
	HeaderPriority = "Fuchsianotch-Priority"
)

// forwardedHeaders are the only request headers sent to the endpoint.
var forwardedHeaders = []string{"Accept", "Content-Type", "Idempotency-Key"}

// readBody reads the body within the size limit and the read timeout.
func (s *Server) readBody(q *request) ([]byte, *result.Refusal) {
	limit := int64(s.options.Limits.MaxBodyBytes)
	if q.r.ContentLength > limit {
		return nil, result.Refuse(result.BodyTooLarge, "the body is over %d bytes", limit)
	}
	control := http.NewResponseController(q.w)
	_ = control.SetReadDeadline(time.Now().Add(s.options.Limits.BodyTimeout))
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
		return nil, result.Refuse(result.BodyTooSlow, "the body did not arrive in time").WithCause(err)
	default:
		return nil, result.Refuse(result.BadRequest, "the body could not be read").WithCause(err)
	}
}

// placeCall selects where the call is served, using the headers only, as the
// body must not be read in a region that the contract does not allow.
func (s *Server) placeCall(q *request, idempotent bool) serving.Placement {
	r := serving.PlaceRequest{
		Contract: q.contract,
	}
	if !idempotent {
		r.Ticket = q.r.Header.Get(HeaderTicket)
	}
	placement := serving.Place(r, s.options.View())
	q.bodyAllowed = placement.Kind != serving.PlaceRefuse
	return placement
}

// newCall returns a call with the fields common to chats and service calls.
func (s *Server) newCall(q *request, defaultPriority call.Priority) (*call.Call, *result.Refusal) {
	c := &call.Call{
		ID:        q.id,
		Workspace: q.contract.Workspace,
		Method:    q.r.Method,
		Header:    selectForwardedHeaders(q.r.Header),
		Priority:  defaultPriority,
		Ticket:    q.r.Header.Get(HeaderTicket),
	}
	if refusal := setPriority(c, q.r.Header); refusal != nil {
		return nil, refusal
	}
	return c, s.setDeadlines(c, q)
}

func selectForwardedHeaders(from http.Header) http.Header {
	out := make(http.Header, len(forwardedHeaders))
	for _, name := range forwardedHeaders {
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
	requested, ok := call.ParsePriority(name)
	if !ok {
		return result.Refuse(result.BadRequest, "header %s must be urgent, chat or report", HeaderPriority)
	}
	// Callers may lower the priority but not raise it; only the published
	// documents assign urgent.
	c.Priority = max(c.Priority, requested)
	return nil
}

// setDeadlines derives the call's deadlines from the contract. A deadline
// header can only shorten them.
func (s *Server) setDeadlines(c *call.Call, q *request) *result.Refusal {
	now := s.options.Now()
	c.FirstTokenDeadline, c.Deadline = deadlines(q.contract.Latency, c.Priority, now)
	text := q.r.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	requested, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return result.Refuse(result.BadRequest, "header %s must be an RFC 3339 time", HeaderDeadline).WithCause(err)
	}
	if !requested.After(now) {
		return result.Refuse(result.DeadlinePassed, "the deadline had passed when the call arrived")
	}
	c.Deadline = earlier(c.Deadline, requested)
	c.FirstTokenDeadline = earlier(c.FirstTokenDeadline, requested)
	return nil
}

func deadlines(a contract.LatencyTargets, p call.Priority, now time.Time) (firstBy, wholeBy time.Time) {
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

// dispatch runs the call and writes the response.
func (s *Server) dispatch(q *request, c *call.Call, placement serving.Placement) {
	ctx := q.r.Context()
	q.dispatched = true
	w := s.newResponseWriter(q, c)
	w.finish(s.options.Serve(ctx, c, placement, w.sink()))
}
