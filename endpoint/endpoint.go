// Package endpoint is the HTTP client for model engines and plain services. It
// matches every response to its own attempt before forwarding it, and reports a
// truncated, mismatched or malformed response as a result code. It sends an
// attempt at most once.
package endpoint

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/bounded"
	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/common/tcp"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// DefaultMaxResponseBytes limits a response when Options sets no limit.
const DefaultMaxResponseBytes = 16 << 20

// Options configures a Client. The zero value is usable.
type Options struct {
	// Client supplies the Transport; its redirect policy, cookie jar and timeout
	// are ignored. An *http.Transport is cloned. Any other RoundTripper hides
	// whether bytes were written, so Outcome.Sent is true once it was called.
	Client *http.Client
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// MaxResponseBytes limits one response; zero means DefaultMaxResponseBytes.
	MaxResponseBytes int
	// MaxBufferedBytes limits all responses that are buffered at a time, of which each may
	// hold twice what it leaves free; zero means 1.5 times MaxResponseBytes.
	MaxBufferedBytes int
	// Buffers is a budget that responses share with other messages, in place of
	// MaxBufferedBytes.
	Buffers *bounded.Budget
	// Dialect is the protocol of routed calls; optional where there are none.
	Dialect Dialect
	// Dial opens and closes a connection to an address; nil means tcp.Probe.
	Dial func(ctx context.Context, addr string) error
	// Life returns the life that an endpoint is in by its latest entry, as fleet.Endpoint.Incarnation,
	// and whether it has load reports that tell it too; nil means that neither is known.
	Life func(e fleet.Endpoint) (life int64, isReported bool)
	// Paused reports whether the process has just been paused; nil means never.
	Paused func() bool
}

// Client sends calls to endpoints. It is safe for concurrent use.
type Client struct {
	// pooled and probes reuse connections; unpooled opens one per call.
	pooled           http.RoundTripper
	probes           http.RoundTripper
	unpooled         http.RoundTripper
	now              func() time.Time
	maxResponseBytes int
	dialect          Dialect
	dial             func(ctx context.Context, addr string) error
	life             func(e fleet.Endpoint) (life int64, isReported bool)
	paused           func() bool
	open             *openConns
	anonymous        *anonymousRefusals
	// buffers bounds the bytes of all responses that are buffered.
	buffers *bounded.Budget
}

// New creates a Client.
func New(o Options) *Client {
	c := &Client{
		now:              o.Now,
		maxResponseBytes: o.MaxResponseBytes,
		dialect:          o.Dialect,
		dial:             o.Dial,
		life:             o.Life,
		paused:           o.Paused,
	}
	if c.now == nil {
		c.now = time.Now
	}
	if c.dial == nil {
		c.dial = tcp.Probe
	}
	if c.life == nil {
		c.life = func(fleet.Endpoint) (int64, bool) { return 0, false }
	}
	if c.paused == nil {
		c.paused = func() bool { return false }
	}
	if c.maxResponseBytes <= 0 {
		c.maxResponseBytes = DefaultMaxResponseBytes
	}
	c.buffers = o.Buffers
	if c.buffers == nil {
		c.buffers = bounded.NewBudget(cmp.Or(o.MaxBufferedBytes, bounded.RoomFor(c.maxResponseBytes)))
	}
	c.open = newOpenConns()
	c.anonymous = newAnonymousRefusals()
	c.pooled, c.probes, c.unpooled = transports(o.Client, c.now, c.open)
	return c
}

// Attempt is one request to one endpoint.
type Attempt struct {
	// ID is unique per attempt and consists of letters, digits, '-', '_' and '.'.
	// The endpoint must echo it.
	ID string
	// CallerResponseID replaces ID in the chat response sent to the caller, so that a
	// resumed stream keeps its id; empty means ID.
	CallerResponseID string
	Endpoint         fleet.Endpoint
	Call             *call.Call
	// ResumeFrom is the number of generated tokens that earlier attempts
	// forwarded. If it is positive, Sink.Head is not called again.
	ResumeFrom int
	// ResumeAfter is the routed-stream equivalent of ResumeFrom: the id of the
	// last event that earlier attempts forwarded.
	ResumeAfter string
	// FetchFrom is the address of an engine that has cached more of the prompt.
	FetchFrom string
	// OnFirstByte, if set, is called at Outcome.FirstByteAt.
	OnFirstByte func()
	// OnEventGap, if set, receives the time between two events of a routed stream, the
	// number of tokens in the later one, and Outcome.OpenAt as of now.
	OnEventGap func(gap time.Duration, tokens int, openAt time.Time)
	// OnNotice, if set, receives what the endpoint says about itself in the head of a
	// verified response.
	OnNotice func(Notice)
	// BeforeSend, if set, is called once, right before the first byte is written.
	// An error stops the attempt with nothing sent.
	BeforeSend func() error
}

// Sink receives a response for the caller. An error from a function ends the attempt.
type Sink struct {
	// Head is called once, before the first Chunk.
	Head func(status int, header http.Header) error
	// Chunk receives whole stream events or a whole body. The data is valid only
	// during the call.
	Chunk func(data []byte) error
}

// Outcome is the result of an attempt.
type Outcome struct {
	// Code is Done only if a complete response was forwarded.
	Code result.Code
	// Succeeded is set if Code is Done and the status of the response is a success.
	Succeeded bool
	// StillOpen reports whether the connection of the response is still open; nil if that is
	// not known.
	StillOpen func() bool
	// OpenAt is when the connection of the response was last known to be open while it was
	// read; zero if there was no response.
	OpenAt time.Time
	// Framing is that of the response; empty if there was none.
	Framing Framing
	// Usage is as reported by the endpoint, minus the tokens before ResumeFrom.
	// For a broken stream it is the call's prompt estimate and the tokens forwarded.
	Usage call.Usage
	// Delivered counts the generated tokens that this attempt forwarded. The next
	// attempt resumes from ResumeFrom + Delivered.
	Delivered int
	// HeldEvents counts the events that waited for the next one, as their ids were doubtful.
	HeldEvents int
	// Sent is false only if no byte of the request was written.
	Sent bool
	// FirstByteAt is when the first part of the response was forwarded, for a routed stream its
	// first event.
	FirstByteAt time.Time
	// Load is the endpoint's load according to the response headers; nil if absent.
	Load *Load
	// RetryAt is the retry time requested by a refusing endpoint; zero if none.
	RetryAt time.Time
	// Err is the reason for any code other than Done.
	Err error
	// Resumable reports whether another endpoint can continue the call so that the
	// caller still receives one complete response.
	Resumable bool
	// CallerDisconnected reports whether the caller's side, or the stop of this VM, ended the
	// attempt, so that the endpoint is not at fault.
	CallerDisconnected bool
	// LastEvent is the id of the last event that this attempt forwarded.
	LastEvent string
	// ErrorResponse is a server error from the endpoint, forwarded if no further attempt
	// is made. It must be released.
	ErrorResponse *call.BufferedResponse
	// AnsweredError reports whether the endpoint answered with a failure of its own, or with more
	// than this client takes, so that it has neither crashed nor been cut off.
	AnsweredError bool
	// InstanceMismatch reports whether the address now belongs to another endpoint.
	InstanceMismatch bool
	// ClosesConnection reports whether the endpoint closes the connection after
	// this response.
	ClosesConnection bool
	// RefusalProof is what ties a response that says that the request did not run to this
	// attempt; empty for all others.
	RefusalProof RefusalProof
}

// Send makes one attempt and forwards the response. It returns when the
// response is complete or broken, or when the call's deadline expires.
func (c *Client) Send(ctx context.Context, a Attempt, sink Sink) Outcome {
	cancel := func() {}
	if !a.Call.Deadline.IsZero() {
		ctx, cancel = clock.WithDeadline(ctx, c.now(), a.Call.Deadline)
	}
	defer cancel()
	x := exchange{
		client:  c,
		ctx:     ctx,
		attempt: a,
		sink:    sink,
		room:    c.buffers.Share(),
	}
	refusal := x.run()
	if x.outcome.ErrorResponse == nil {
		x.room.Release()
	}
	return x.finish(refusal)
}
