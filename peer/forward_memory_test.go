package peer

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Copies of the bodies of forwarded calls filled the memory of the sending VM.
func TestForwardedBodyIsHeldOncePerVM(t *testing.T) {
	const calls, bodyBytes = 8, 4 << 20
	var running sync.WaitGroup
	running.Add(calls)
	finish := make(chan struct{})
	server, err := NewServer(Handlers{
		Forward: func(_ context.Context, _ *peerpb.Identity, c *call.Call, sink call.Sink) call.Outcome {
			running.Done()
			<-finish
			if len(c.Payload()) != bodyBytes || sink.Head(http.StatusOK, nil) != nil {
				return call.Refused(result.Refuse(result.EndpointFailed, "%d bytes", len(c.Payload())))
			}
			return call.Outcome{Code: result.Done}
		},
		Stamp:   func() uint64 { return 0 },
		Witness: func(uint64) {},
	})
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(t.Context(), ln) }()
	client := New(Options{})
	defer func() { _ = client.Close() }()

	before := liveHeap()
	var group sync.WaitGroup
	outcomes := make([]call.Outcome, calls)
	for i := range calls {
		group.Go(func() {
			outcomes[i] = client.Forward(t.Context(), fleet.VM{ID: "far", PeerAddr: ln.Addr().String()}, &peerpb.ForwardRequest{
				Call: CallToProto(&call.Call{ID: "id", Body: make([]byte, bodyBytes)}, time.Now()),
			}, call.Sink{
				Head:  func(int, http.Header) error { return nil },
				Chunk: func([]byte) error { return nil },
			}, func(uint64) {})
		})
	}
	running.Wait()
	held := liveHeap() - before
	close(finish)
	group.Wait()
	for _, o := range outcomes {
		assert.Equal(t, o.Code, result.Done)
	}
	// Both VMs are in this process.
	assert.Assert(t, held < calls*(2*bodyBytes+bodyBytes/8), "%d calls hold %d KB", calls, held>>10)
}

func liveHeap() int {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
