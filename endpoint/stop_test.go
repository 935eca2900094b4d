package endpoint

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// TestStopIsNotTimeout guards against an attempt that a VM's own stop cuts off and that is reported
// as the deadline's or the endpoint's end.
func TestStopIsNotTimeout(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSigned: s\r\n"
	for _, row := range []struct {
		name, answer string
		cause        error
		code         result.Code
	}{
		{
			name:  "stop before the head",
			cause: call.ErrStopping,
			code:  result.VMStopped,
		},
		{
			name:   "stop within a body",
			answer: head + "Content-Length: 9\r\n\r\nhalf",
			cause:  call.ErrStopping,
			code:   result.VMStopped,
		},
		{
			name:   "stop within a stream",
			answer: head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\nid: 2",
			cause:  call.ErrStopping,
			code:   result.VMStopped,
		},
		{
			name:   "the caller leaves",
			answer: head + "Content-Length: 9\r\n\r\nhalf",
			cause:  context.Canceled,
			code:   result.EndpointTimeout,
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer time.AfterFunc(100*time.Millisecond, func() { cancel(row.cause) }).Stop()
			out := newRelayClient(t).Send(ctx, routedCall(serveRaw(t, row.answer, "hang"), ""), Sink{
				Head:  func(int, http.Header) error { return nil },
				Chunk: func([]byte) error { return nil },
			})
			assert.Equal(t, out.Code, row.code)
			assert.Assert(t, errors.Is(out.Err, row.cause))
			assert.Assert(t, out.Sent && out.CallerDisconnected && !out.Resumable)
		})
	}
}
