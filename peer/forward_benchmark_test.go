package peer

import (
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

// BenchmarkForwardBody sends bodies of 4 MiB to another VM, and as large answers back.
func BenchmarkForwardBody(b *testing.B) {
	for _, bench := range []struct {
		name                     string
		bodyBytes, responseBytes int
	}{
		{"body", 4 << 20, 2},
		{"answer", 2, 4 << 20},
	} {
		b.Run(bench.name, func(b *testing.B) {
			answer := make([]byte, bench.responseBytes)
			server, err := NewServer(Handlers{
				Forward: func(_ context.Context, _ *peerpb.Identity, _ *call.Call, sink call.Sink) call.Outcome {
					if sink.Head(http.StatusOK, http.Header{"Content-Length": {"1"}}) != nil || sink.Chunk(answer) != nil {
						return call.Refused(result.Refuse(result.PeerLost, "the sender has gone"))
					}
					return call.Outcome{Code: result.Done}
				},
				Stamp:   func() uint64 { return 0 },
				Witness: func(uint64) {},
			})
			assert.NilError(b, err)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			go func() { _ = server.Serve(b.Context(), ln) }()
			client := New(Options{})
			defer func() { _ = client.Close() }()
			c := &call.Call{ID: "id", Body: make([]byte, bench.bodyBytes)}
			sink := call.Sink{
				Head:  func(int, http.Header) error { return nil },
				Chunk: func([]byte) error { return nil },
			}
			b.SetBytes(int64(bench.bodyBytes + bench.responseBytes))
			b.ReportAllocs()
			for b.Loop() {
				outcome := client.Forward(b.Context(), fleet.VM{ID: "far", PeerAddr: ln.Addr().String()}, &peerpb.ForwardRequest{
					Call: CallToProto(c, time.Now()),
				}, sink, func(uint64) {})
				assert.Equal(b, outcome.Code, result.Done)
			}
		})
	}
}
