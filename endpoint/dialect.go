package endpoint

import (
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Dialect is how the endpoints of routed calls spell what goes with a request
// and an answer. It holds names and formats only.
type Dialect struct {
	// SetRequestHeader sets the headers of an attempt that are not the caller's.
	SetRequestHeader func(h http.Header, t RequestParams)
	// ReadResponseHead reads what an answer's head says besides its status.
	ReadResponseHead func(status int, h http.Header, now time.Time) ResponseHead
	// ReadRateLimit reads from the head of any answer at which rate the endpoint takes requests.
	ReadRateLimit func(h http.Header) fleet.Rate
	// ReadColdFor reads from an answer to a health check how long the endpoint is
	// cold yet; zero for a warm one.
	ReadColdFor func(h http.Header) time.Duration
	// ReportPath is where an endpoint tells its load, DecodeReport reads the answer.
	ReportPath   string
	DecodeReport func(data []byte, now time.Time) (Load, error)
}

// RequestParams are what an attempt tells the endpoint.
type RequestParams struct {
	// Instance is the endpoint's id: another one at its address refuses.
	Instance string
	// Deadline is when the endpoint may stop working.
	Deadline time.Time
	Now      time.Time
	// Workspace holds the key of the caller; empty means that none was needed.
	Workspace string
	// Priority orders requests in the endpoint's queue, 0 first.
	Priority int
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
	// FetchFrom is the address of an engine that holds more of the prompt.
	FetchFrom string
	// ID is the attempt's.
	ID string
}

// ResponseHead is what an answer's head says.
type ResponseHead struct {
	// ID is the attempt's id, empty where the answer names none.
	ID string
	// NotRun is the endpoint's word that it did not run the request, and
	// OtherInstance that the address belongs to another endpoint now.
	NotRun           bool
	InstanceMismatch bool
	// Signed says that the answer has the endpoint's signature.
	Signed bool
	// ClosesConnection says that the endpoint gets no more requests on this connection.
	ClosesConnection bool
	// RetryAt is when a refusing endpoint asks to be tried again.
	RetryAt time.Time
}

// routedHeader returns the headers of a routed attempt.
func (c *Client) routedHeader(a Attempt) http.Header {
	h := a.Call.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	resume := a.ResumeAfter
	if resume == "" {
		resume = a.Call.Routed.ResumeAfter
	}
	c.dialect.SetRequestHeader(h, RequestParams{
		Instance:    a.Endpoint.ID,
		Deadline:    effectiveDeadline(a.Call),
		Now:         c.now(),
		Workspace:   a.Call.Workspace,
		Priority:    a.Call.Routed.Turn(),
		ResumeAfter: resume,
		FetchFrom:   a.FetchFrom,
		ID:          a.ID,
	})
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		h["User-Agent"] = nil
	}
	for name, plain := range idempotencyKeyHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[plain] = values
		}
	}
	return h
}

func effectiveDeadline(c *call.Call) time.Time {
	by := c.WholeBy
	if !c.Routed.CallerBy.IsZero() && c.Routed.CallerBy.Before(by) {
		by = c.Routed.CallerBy
	}
	return by
}
