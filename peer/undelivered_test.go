package peer

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// TestOutcomeInFlightUntilAcknowledged guards against a stop that ends while the kernel still holds
// the answer to a forwarded call, as no call counts as in flight.
func TestOutcomeInFlightUntilAcknowledged(t *testing.T) {
	handled := make(chan struct{})
	server, err := NewServer(Handlers{
		Stamp:   func() uint64 { return 0 },
		Witness: func(uint64) {},
		Forward: func(_ context.Context, _ *peerpb.Identity, _ *call.Call, sink call.Sink) call.Outcome {
			defer close(handled)
			assert.Check(t, sink.Head(http.StatusOK, http.Header{}) == nil)
			for range 64 {
				assert.Check(t, sink.Chunk(bytes.Repeat([]byte("x"), 1<<10)) == nil)
			}
			return call.Outcome{
				Code: result.Done,
			}
		},
	})
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = server.Serve(ctx, ln) }()
	client := New(Options{
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
			if err == nil {
				err = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			}
			return conn, err
		},
	})
	defer func() { _ = client.Close() }()
	read := make(chan struct{})
	done := make(chan call.Outcome, 1)
	go func() {
		done <- client.Forward(ctx, fleet.VM{
			ID:       "far",
			PeerAddr: ln.Addr().String(),
		}, &peerpb.ForwardRequest{
			Call: CallToProto(&call.Call{ID: "id", Kind: call.KindRouted, Routed: &call.Routed{}}, time.Now()),
		}, call.Sink{
			Head:  func(int, http.Header) error { <-read; return nil },
			Chunk: func([]byte) error { return nil },
		}, func(uint64) {})
	}()
	<-handled
	time.Sleep(50 * time.Millisecond)
	assert.Check(t, server.InFlight() > 0, "the answer lies in the kernel, and %d calls are in flight", server.InFlight())
	close(read)
	assert.Equal(t, (<-done).Code, result.Done)
	for server.InFlight() > 0 {
		assert.NilError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
}
