package serving

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// TestSlowDialLeavesTimeForAnotherEndpoint guards against a chat that is refused as its deadline
// has passed, though it was never sent and other endpoints are idle, as the connection to one
// endpoint took all of its time.
func TestSlowDialLeavesTimeForAnotherEndpoint(t *testing.T) {
	const firstTokenWithin = 2 * time.Second
	cl := newCluster(t, []string{"stream 8"})
	var dials atomic.Int64
	next := cl.endpoint.dial(cl.processes[0])
	o := cl.processes[0].server.options
	o.Endpoint = endpoint.New(endpoint.Options{
		Client: &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
					if dials.Add(1) > 1 {
						return next(ctx, network, addr)
					}
					select {
					case <-ctx.Done():
					case <-time.After(firstTokenWithin):
					}
					return nil, os.ErrDeadlineExceeded
				},
			},
		},
	})
	c := cl.newCall("chat", "chat")
	c.FirstTokenDeadline = time.Now().Add(firstTokenWithin)
	request := &callerRequest{}
	out := New(o).Serve(t.Context(), c, cl.localPlacement(), request.sink())
	assert.Equal(t, out.Code, result.Done, "%v", out.Refusal)
	assert.Assert(t, out.FirstChunkAt.Before(c.FirstTokenDeadline))
	assert.Equal(t, dials.Load(), int64(2))
}
