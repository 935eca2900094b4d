package site

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// runningFleetNode returns a VM of a fleet whose control goroutine runs.
func runningFleetNode(t *testing.T, size fleetSize) *Node {
	n := newFleetNode(size, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.control.run(ctx) }()
	return n
}

// TestSnapshotsRefusedBeyondBudget guards against a VM that sends a snapshot to each of
// hundreds of VMs that start, which takes the memory of a small VM and more than its link.
func TestSnapshotsRefusedBeyondBudget(t *testing.T) {
	n := runningFleetNode(t, fleetSize{vms: 10, engines: 3000})
	sent, refused := 0, 0
	for range 100 {
		reply, err := n.puller.handlePublished(t.Context(), &peerpb.PublishedRequest{})
		assert.NilError(t, err)
		if reply.GetRevision() == 0 {
			assert.Assert(t, !reply.GetWhole())
			refused++
			continue
		}
		assert.Assert(t, reply.GetWhole() && len(reply.GetPacked()) > 0)
		sent++
	}
	assert.Assert(t, sent > 0 && sent < 50 && refused > 50, "%d sent, %d refused", sent, refused)
	changes, err := n.puller.handlePublished(t.Context(), &peerpb.PublishedRequest{
		AfterRevision: n.control.snapshot().position.Revision - 2,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(changes.GetItems()), 2)
}

// TestReceivedSnapshotIsPassedOn checks that a VM sends a received snapshot as it is, and
// that a peer then asks for what has changed since.
func TestReceivedSnapshotIsPassedOn(t *testing.T) {
	n := runningFleetNode(t, fleetSize{vms: 10, engines: 100})
	revision := n.control.snapshot().position.Revision
	packed := []byte("a compressed list")
	n.snapshots.keep(discovery.Position{Revision: revision - 1}, packed)
	reply, err := n.puller.handlePublished(t.Context(), &peerpb.PublishedRequest{})
	assert.NilError(t, err)
	assert.DeepEqual(t, reply.GetPacked(), packed)
	assert.Equal(t, reply.GetRevision(), revision-1)
	changes, err := n.puller.handlePublished(t.Context(), &peerpb.PublishedRequest{
		AfterRevision: revision - 1,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(changes.GetItems()), 1)
}

// TestLateWholeReadIsDropped guards against a VM that reads the store as a whole while a peer
// sends it the contents, and behind whose read all others then need everything anew.
func TestLateWholeReadIsDropped(t *testing.T) {
	n := runningFleetNode(t, fleetSize{vms: 10, engines: 100})
	held := n.control.snapshot().position.Revision
	whole := []discovery.Item{fleetEngine(1000, held+7)}
	n.applyRead(t.Context(), storeRead{
		items:    whole,
		position: discovery.Position{Revision: held + 7},
		full:     true,
		initial:  true,
	})
	assert.Equal(t, n.control.snapshot().position.Revision, held)
	assert.Assert(t, !n.control.mirror.NeedsSnapshot(discovery.Position{Revision: held}))
	n.applyRead(t.Context(), storeRead{
		items:    whole,
		position: discovery.Position{Revision: held + 7},
		full:     true,
	})
	waitFor(t, func() bool { return n.control.snapshot().position.Revision == held+7 })
}
