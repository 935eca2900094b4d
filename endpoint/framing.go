package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// Framing is what marks the end of a response's body.
type Framing string

// The framings of HTTP/1.1.
const (
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	// FramingConnection means that the body ends with its connection.
	FramingConnection Framing = "connection"
)

const (
	// endCheckTimeout covers one retransmission of a lost packet within a region. No answer
	// to maxEndChecks dials means that the endpoint is gone or cut off.
	endCheckTimeout = 400 * time.Millisecond
	maxEndChecks    = 3
	// minRestartTime is how long no other process listens at the address of an endpoint that
	// has crashed.
	minRestartTime = time.Second
)

func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramingChunked
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramingLength
	default:
		return FramingConnection
	}
}

// frame records the framing of a response.
func (x *exchange) frame(resp *http.Response) {
	x.outcome.Framing = framingOf(resp)
	if x.outcome.Framing != FramingConnection {
		return
	}
	x.body = &endingBody{
		ReadCloser: resp.Body,
		now:        x.client.now,
		stillOpen:  x.outcome.StillOpen,
		openAt:     x.client.now(),
	}
	resp.Body = x.body
}

// endingBody is a body that ends with its connection. It records when the connection was
// last open, as a slow caller delays the read of its end.
type endingBody struct {
	io.ReadCloser
	now func() time.Time
	// stillOpen is nil if the transport hides its connections.
	stillOpen func() bool
	openAt    time.Time
}

// Read implements io.Reader.
func (b *endingBody) Read(p []byte) (int, error) {
	wasOpen := b.isOpen()
	n, err := b.ReadCloser.Read(p)
	if wasOpen || b.isOpen() {
		b.openAt = b.now()
	}
	return n, err
}

func (b *endingBody) isOpen() bool {
	return b.stillOpen == nil || b.stillOpen()
}

// confirmEnd checks that a body that ended with its connection is whole. The connections of
// a crashed endpoint end in the same way, but then nothing listens at its address until it
// has restarted, and its other connections have ended too.
func (x *exchange) confirmEnd() *result.Refusal {
	if x.outcome.Framing != FramingConnection {
		return nil
	}
	mayHaveRestarted := x.client.paused() || x.client.now().Sub(x.body.openAt) >= minRestartTime
	if refusal := x.confirmListening(); refusal != nil {
		return refusal
	}
	if mayHaveRestarted && !x.client.open.anyOpenedBefore(x.attempt.Endpoint.Addr, x.sentAt) {
		return result.Refuse(result.EndpointCut, "the end of the answer was read too late to tell it from a crash")
	}
	return nil
}

// confirmListening checks that a process listens at the endpoint's address.
func (x *exchange) confirmListening() *result.Refusal {
	var err error
	for range maxEndChecks {
		if err = x.dialEndpoint(); err == nil {
			return nil
		}
		if x.ctx.Err() != nil {
			return x.readRefusal(err)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	return result.Refuse(result.EndpointCut, "the endpoint was gone when its answer ended").WithCause(err)
}

func (x *exchange) dialEndpoint() error {
	ctx, cancel := context.WithTimeout(x.ctx, endCheckTimeout)
	defer cancel()
	return x.client.dial(ctx, x.attempt.Endpoint.Addr)
}
