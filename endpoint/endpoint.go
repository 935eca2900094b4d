// Package endpoint is the client of model engines and plain services. It
// passes an answer on only after matching it to its own attempt, and reports
// a cut, crossed or malformed answer as a code instead. It never sends an
// attempt twice.
package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// DefaultMaxResponseBytes bounds one answer, in bytes, when Options names no bound.
const DefaultMaxResponseBytes = 16 << 20

// Options configure a Client. The zero value is usable.
type Options struct {
	// Client lends its Transport; its redirects, cookies and timeout are not
	// used. An *http.Transport is cloned. With any other RoundTripper it can't
	// be seen whether bytes went out, so that Outcome.Sent is true once called.
	Client *http.Client
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// MaxResponseBytes bounds one answer, in bytes; zero means DefaultMaxAnswer.
	MaxResponseBytes int
	// Dialect is that of the endpoints of routed calls; it may be left out where
	// there are none.
	Dialect Dialect
}

// Client sends calls to endpoints. It is safe for concurrent use.
type Client struct {
	// pooled reuses connections; single opens one for each call.
	pooled           http.RoundTripper
	unpooled         http.RoundTripper
	now              func() time.Time
	maxResponseBytes int
	dialect          Dialect
}

// New makes a client.
func New(o Options) *Client {
	c := &Client{
		now:              o.Now,
		maxResponseBytes: o.MaxResponseBytes,
		dialect:          o.Dialect,
	}
	if c.now == nil {
		c.now = time.Now
	}
	if c.maxResponseBytes <= 0 {
		c.maxResponseBytes = DefaultMaxResponseBytes
	}
	c.pooled, c.unpooled = transports(o.Client)
	return c
}

// Attempt is one sending of a call to one endpoint.
type Attempt struct {
	// ID is unique per attempt: letters, digits, '-', '_' and '.'. The endpoint must echo it.
	ID string
	// AnswerID is the id that the caller reads in a chat answer, so that a
	// resumed stream keeps its id; empty means ID.
	AnswerID string
	Endpoint fleet.Endpoint
	Call     *call.Call
	// ResumeFrom is the number of generated tokens that earlier attempts
	// passed on. Above zero, Sink.Head isn't called again.
	ResumeFrom int
	// ResumeAfter is the same for a routed stream: the id of the last event that
	// earlier attempts passed on.
	ResumeAfter string
	// FetchFrom is the address of an engine that holds more of the prompt.
	FetchFrom string
	// Began, if set, is told when the first part of the answer came.
	Began func()
	// Paced, if set, is told of the time between two pieces of a routed stream,
	// with the tokens of the later one.
	Paced func(gap time.Duration, tokens int)
	// Rated, if set, is told what the head of an own answer says of the rate at which
	// the endpoint takes requests.
	Rated func(fleet.Rate)
	// Sending, if set, is called once right before the first byte goes out.
	// Its error stops the attempt with nothing sent.
	Sending func() error
}

// Sink takes an answer for the caller. An error of a function ends the attempt.
type Sink struct {
	// Head is called once, before the first Chunk.
	Head func(status int, header http.Header) error
	// Chunk takes whole events of a stream, or a whole body. The data is valid
	// during the call only.
	Chunk func(data []byte) error
}

// Outcome is what became of an attempt.
type Outcome struct {
	// Code is Done only for a whole answer that was passed on.
	Code result.Code
	// Usage is as the endpoint reports it, less the tokens before ResumeFrom.
	// For a broken stream it is the call's estimate and the tokens passed on.
	Usage call.Usage
	// Delivered counts the generated tokens that this attempt passed on. The
	// next attempt resumes from ResumeFrom + Delivered.
	Delivered int
	// Sent is false only when no byte of the request went out.
	Sent bool
	// FirstAt is when the first part of the answer was passed on.
	FirstAt time.Time
	// Load is what the answer said of the endpoint's load; nil means nothing.
	Load *Load
	// ComeBackAt is when a refusing endpoint asks to be tried again; it may be zero.
	ComeBackAt time.Time
	// Err is the reason for any code but Done.
	Err error
	// Resumable says that the call may go on at another endpoint and the
	// caller will see one whole answer.
	Resumable bool
	// CallerGone says that the caller's side ended the attempt, so that the
	// endpoint is not to blame.
	CallerGone bool
	// LastEvent is the id of the last event that this attempt passed on.
	LastEvent string
	// Held is an own failure of the endpoint, to be passed on if no other
	// attempt follows.
	Held *call.Answer
	// InstanceMismatch says that the address belongs to another endpoint now, and
	// Leaving that the endpoint closes the connection after this answer.
	InstanceMismatch bool
	ClosesConnection bool
}

// Send makes one attempt and passes the answer on. It returns when the answer
// is whole, or broken, or when the call's deadline is over.
func (c *Client) Send(ctx context.Context, a Attempt, sink Sink) Outcome {
	cancel := func() {}
	if !a.Call.WholeBy.IsZero() {
		ctx, cancel = clock.WithDeadline(ctx, c.now(), a.Call.WholeBy)
	}
	defer cancel()
	x := exchange{
		client:  c,
		ctx:     ctx,
		attempt: a,
		sink:    sink,
	}
	refusal := x.run()
	return x.finish(refusal)
}
