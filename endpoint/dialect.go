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
	// SetHeader sets the headers of an attempt that are not the caller's.
	SetHeader func(h http.Header, t Terms)
	// ReadHead reads what an answer's head says besides its status.
	ReadHead func(status int, h http.Header, now time.Time) Head
	// ReadRate reads from the head of any answer at which rate the endpoint takes requests.
	ReadRate func(h http.Header) fleet.Rate
	// ReadColdFor reads from an answer to a health check how long the endpoint is
	// cold yet; zero for a warm one.
	ReadColdFor func(h http.Header) time.Duration
	// ReportPath is where an endpoint tells its load, DecodeReport reads the answer.
	ReportPath   string
	DecodeReport func(data []byte, now time.Time) (Load, error)
}

// Terms are what an attempt tells the endpoint.
type Terms struct {
	// Instance is the endpoint's id: another one at its address refuses.
	Instance string
	// WholeBy is when the endpoint may stop working.
	WholeBy time.Time
	Now     time.Time
	// Workspace holds the key of the caller; empty means that none was needed.
	Workspace string
	// Rank orders requests in the endpoint's queue, 0 first.
	Rank int
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
	// FetchFrom is the address of an engine that holds more of the prompt.
	FetchFrom string
	// ID is the attempt's.
	ID string
}

// Head is what an answer's head says.
type Head struct {
	// ID is the attempt's id, empty where the answer names none.
	ID string
	// NotRun is the endpoint's word that it did not run the request, and
	// OtherInstance that the address belongs to another endpoint now.
	NotRun        bool
	OtherInstance bool
	// Signed says that the answer has the endpoint's signature.
	Signed bool
	// Leaving says that the endpoint gets no more requests on this connection.
	Leaving bool
	// ComeBackAt is when a refusing endpoint asks to be tried again.
	ComeBackAt time.Time
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
	c.dialect.SetHeader(h, Terms{
		Instance:    a.Endpoint.ID,
		WholeBy:     callerBy(a.Call),
		Now:         c.now(),
		Workspace:   a.Call.Workspace,
		Rank:        a.Call.Routed.Turn(),
		ResumeAfter: resume,
		FetchFrom:   a.FetchFrom,
		ID:          a.ID,
	})
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		h["User-Agent"] = nil
	}
	for name, plain := range replayHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[plain] = values
		}
	}
	return h
}

func callerBy(c *call.Call) time.Time {
	by := c.WholeBy
	if !c.Routed.CallerBy.IsZero() && c.Routed.CallerBy.Before(by) {
		by = c.Routed.CallerBy
	}
	return by
}
