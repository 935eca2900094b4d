package endpoint

import (
	"context"
	"errors"
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

// confirmEnd checks that a body that ended with its connection is whole. The connections of
// a crashed endpoint end in the same way, but then it is in another life afterwards. If that
// is not known, nothing listens at its address until it has restarted, and its other connections
// have ended too; behind a cut of the network both go unseen.
func (x *exchange) confirmEnd() *result.Refusal {
	if x.outcome.Framing != FramingConnection {
		return nil
	}
	if before := x.attempt.Endpoint.Incarnation; before != 0 {
		life, isReported := x.currentLife()
		if life != 0 && life != before {
			return result.Refuse(result.EndpointCut, "the endpoint has restarted since the call was sent")
		}
		if isReported {
			return nil
		}
	}
	mayHaveRestarted := x.client.now().Sub(x.outcome.OpenAt) >= minRestartTime
	if refusal := x.confirmListening(); refusal != nil {
		return refusal
	}
	if mayHaveRestarted && !x.client.open.anyOpenedBefore(x.attempt.Endpoint.Addr, x.sentAt) {
		return result.Refuse(result.EndpointCut, "the end of the answer was read too late to tell it from a crash")
	}
	return nil
}

// currentLife returns the life that the endpoint is in, by its own load report if isReported is set
// and by its entry otherwise; zero if it is not known. Endpoints without load reports are not asked.
func (x *exchange) currentLife() (life int64, isReported bool) {
	e := x.attempt.Endpoint
	life, isReported = x.client.life(e)
	if !isReported || life != 0 && life != e.Incarnation {
		return life, false
	}
	ctx, cancel := context.WithTimeout(x.ctx, endCheckTimeout)
	defer cancel()
	load, _, err := x.client.FetchLoad(ctx, e)
	if err != nil || load.Incarnation == 0 {
		return life, false
	}
	return load.Incarnation, true
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
