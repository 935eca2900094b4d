package site

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// TestSinglePull checks that a VM notified of a new revision by many peers at once pulls
// it from one of them only, and a later revision once more.
func TestSinglePull(t *testing.T) {
	n := newFleetNode(largeFleet, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.control.run(ctx) }()
	var pulls atomic.Int64
	var latest atomic.Uint64
	release := make(chan struct{})
	addr := servePublished(ctx, t, func() *peerpb.PublishedReply {
		pulls.Add(1)
		<-release
		return &peerpb.PublishedReply{
			Revision: latest.Load(),
		}
	})
	initial := n.control.snapshot().position.Revision
	notify := func(revision uint64) {
		latest.Store(revision)
		for range 100 {
			n.puller.notify(ctx, positionNotice{
				vm: fleet.VM{
					ID:       "vm-far",
					Region:   n.deployment.Region,
					PeerAddr: addr,
				},
				position: discovery.Position{Revision: revision},
			})
		}
	}
	notify(initial + 1)
	notify(initial + 2)
	close(release)
	waitFor(t, func() bool { return n.control.snapshot().position.Revision == initial+2 && !n.puller.isPulling() })
	assert.Assert(t, pulls.Load() <= 2, "pulled %d times", pulls.Load())
}

func servePublished(ctx context.Context, t *testing.T, reply func() *peerpb.PublishedReply) string {
	server, err := peer.NewServer(peer.Handlers{
		Published: func(context.Context, *peerpb.PublishedRequest) (*peerpb.PublishedReply, error) {
			return reply(), nil
		},
		Stamp:   func() uint64 { return 0 },
		Witness: func(uint64) {},
	})
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(ctx, ln) }()
	return ln.Addr().String()
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for range 500 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met within five seconds")
}
