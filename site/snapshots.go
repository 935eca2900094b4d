package site

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// snapshotReuse is how long an encoded snapshot is sent to peers, which then ask for what
// has changed since. Encoding one for each revision takes longer than revisions last.
const snapshotReuse = 2 * time.Second

// snapshots sends all that this VM holds of the store to VMs that have just started or are
// far behind.
type snapshots struct {
	node *Node

	mu     sync.Mutex
	budget discovery.SnapshotBudget
	// packed are the compressed items at a position, as encoded or received at packedAt.
	packed   []byte
	position discovery.Position
	packedAt time.Time
}

func newSnapshots(n *Node) *snapshots {
	return &snapshots{
		node: n,
		budget: discovery.SnapshotBudget{
			LinkBytesPerSecond: n.deployment.LinkBytesPerSecond,
		},
	}
}

// keep stores a snapshot that was received, to be passed on as it is.
func (s *snapshots) keep(position discovery.Position, packed []byte) {
	if len(packed) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if position.IsAfter(s.position) {
		s.packed = packed
		s.position = position
		s.packedAt = s.node.now()
	}
}

// reply completes a reply to a peer at a position with a snapshot. If no other may be sent
// now, the reply stays at the peer's position, and the peer asks another VM.
func (s *snapshots) reply(ctx context.Context, after discovery.Position, reply *peerpb.PublishedReply) (*peerpb.PublishedReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.node.now()
	isOpen := s.budget.IsOpen(!after.IsZero(), now)
	s.node.metrics.CountSnapshot(isOpen)
	if !isOpen {
		return &peerpb.PublishedReply{
			Era:      after.Era,
			Revision: after.Revision,
		}, nil
	}
	if s.position.Era == reply.GetEra() && s.position.IsAfter(after) && now.Sub(s.packedAt) <= snapshotReuse {
		reply.Revision = s.position.Revision
		reply.Packed = s.packed
		s.budget.Add(len(s.packed), now)
		return reply, nil
	}
	built, err := s.build(ctx)
	if err != nil {
		return nil, err
	}
	built.SettlingMs = reply.GetSettlingMs()
	s.budget.Add(proto.Size(built), now)
	if len(built.GetPacked()) > 0 {
		s.packed = built.GetPacked()
		s.position = replyPosition(built)
		s.packedAt = now
	}
	return built, nil
}

// build encodes all items that this VM holds. Few items are not compressed.
func (s *snapshots) build(ctx context.Context) (*peerpb.PublishedReply, error) {
	reply, err := query(ctx, s.node.control, func(c *control, _ time.Time) *peerpb.PublishedReply {
		reply := &peerpb.PublishedReply{
			Era:      c.mirror.Position().Era,
			Revision: c.mirror.Position().Revision,
			Whole:    true,
		}
		c.addItems(reply, discovery.Position{})
		return reply
	})
	if err != nil {
		return nil, err
	}
	return peer.CompressItems(reply)
}
