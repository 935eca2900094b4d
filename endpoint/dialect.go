package endpoint

import (
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// Dialect is the header names and formats of the protocol of routed endpoints.
type Dialect struct {
	// SetRequestHeader sets the headers that do not come from the caller.
	SetRequestHeader func(h http.Header, t RequestParams)
	// ReadResponseHead parses the response head apart from its status.
	ReadResponseHead func(status int, h http.Header, now time.Time) ResponseHead
	// ReadNotice parses what an endpoint says about itself in the head of any response.
	ReadNotice func(status int, h http.Header, now time.Time) Notice
	// ReadColdFor parses the remaining cold-start time from a health check response;
	// zero for a warm endpoint.
	ReadColdFor func(h http.Header) time.Duration
	// ReportPath is the path of load reports; DecodeReport decodes their body.
	ReportPath   string
	DecodeReport func(data []byte, now time.Time) (Load, error)
	// MemoryListPath is the path of the list of prompt parts in an engine's memory, and
	// MemoryEventsPath that of the changes of the list after a number. DecodeMemory decodes the
	// bodies of both.
	MemoryListPath   string
	MemoryEventsPath func(since uint64) string
	DecodeMemory     func(data []byte) (MemoryPage, error)
	// ReadInstance parses the endpoint's id from a health check response; empty if there is none.
	ReadInstance func(h http.Header) string
}

// RequestParams are the values that an attempt sends to the endpoint.
type RequestParams struct {
	// Instance is the endpoint's id; any other endpoint at its address refuses.
	Instance string
	// Deadline is when the endpoint may stop working on the request.
	Deadline time.Time
	Now      time.Time
	// Workspace is the owner of the caller's API key; empty if none was required.
	Workspace string
	// Priority orders requests in the endpoint's queue, 0 first.
	Priority int
	// ResumeAfter is the id of the last event that the caller received.
	ResumeAfter string
	// FetchFrom is the address of an engine that has cached more of the prompt.
	FetchFrom string
	// ID is the attempt's id.
	ID string
}

// ResponseHead is the parsed head of a response.
type ResponseHead struct {
	// ID is the attempt's id; empty if the response has none.
	ID string
	// NotRun reports whether the endpoint states that it did not run the request.
	NotRun bool
	// InstanceMismatch reports whether the address now belongs to another endpoint.
	InstanceMismatch bool
	// ImpliesNotRun reports whether callers take the status as a promise that the request did
	// not run.
	ImpliesNotRun bool
	// Signed reports whether the response carries the endpoint's signature.
	Signed bool
	// ClosesConnection reports whether the endpoint accepts no more requests on this
	// connection.
	ClosesConnection bool
	// RetryAt is when a refusing endpoint asks to be retried.
	RetryAt time.Time
}

// routedHeader builds the request headers of a routed attempt.
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
		Priority:    a.Call.Routed.QueueLevel(),
		ResumeAfter: resume,
		FetchFrom:   a.FetchFrom,
		ID:          a.ID,
	})
	if _, ok := h["User-Agent"]; !ok {
		// A nil value keeps net/http from adding its default.
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

// effectiveDeadline returns the earlier of the call's and the caller's deadline.
func effectiveDeadline(c *call.Call) time.Time {
	by := c.Deadline
	if !c.Routed.CallerDeadline.IsZero() && c.Routed.CallerDeadline.Before(by) {
		by = c.Routed.CallerDeadline
	}
	return by
}
