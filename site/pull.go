package site

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

const (
	// pullTimeout bounds the transfer of store contents from a peer.
	pullTimeout = 2 * time.Second
	// pullDelay postpones a pull from another region, or by a VM that reads the store
	// itself: a local source usually delivers the revision sooner.
	pullDelay = 300 * time.Millisecond
)

// puller fetches store contents from other VMs. Many announce a new revision at once, so
// it pulls from one at a time.
type puller struct {
	node *Node

	mu sync.Mutex
	// pulling is set during a pull; nextNotice is the best notice received meanwhile.
	pulling    bool
	nextNotice positionNotice
}

// positionNotice says that a VM holds the store up to a position.
type positionNotice struct {
	vm       fleet.VM
	position discovery.Position
}

// notify starts a pull, or records the notice if one is under way.
func (p *puller) notify(ctx context.Context, notice positionNotice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pulling {
		if notice.position.IsAfter(p.nextNotice.position) || notice.vm.Region == p.node.deployment.Region {
			p.nextNotice = notice
		}
		return
	}
	p.pulling = true
	go p.pullPending(ctx, notice)
}

// pullPending pulls until no notice is left.
func (p *puller) pullPending(ctx context.Context, notice positionNotice) {
	for {
		p.pull(ctx, notice)
		p.mu.Lock()
		notice = p.nextNotice
		p.nextNotice = positionNotice{}
		p.pulling = !notice.position.IsZero()
		p.mu.Unlock()
		if notice.position.IsZero() {
			return
		}
	}
}

func (p *puller) isPulling() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pulling
}

// pull fetches what a peer holds, unless the revision arrives otherwise in the meantime.
func (p *puller) pull(ctx context.Context, notice positionNotice) {
	n := p.node
	if n.isReader() || p.prefersLocal(notice.vm) {
		worker.SleepUntil(ctx, n.now(), n.now().Add(pullDelay))
	}
	after := n.control.snapshot().position
	if !notice.position.IsAfter(after) {
		return
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, packed, err := n.peers.Published(timeoutCtx, notice.vm, &peerpb.PublishedRequest{
		AfterEra:      after.Era,
		AfterRevision: after.Revision,
	})
	if err != nil {
		n.log.Warn("pull_failed", "peer", notice.vm.ID, "reason", err.Error())
		return
	}
	position := replyPosition(reply)
	if !position.IsAfter(after) {
		n.log.Debug("pull_refused", "peer", notice.vm.ID, "era", notice.position.Era, "revision", notice.position.Revision)
		return
	}
	if reply.GetWhole() {
		n.snapshots.keep(position, packed)
	}
	read := storeRead{
		items:    itemsFromMessage(reply.GetItems()),
		position: position,
		full:     reply.GetWhole(),
	}
	// The only error is the end of the context.
	_, _ = query(timeoutCtx, n.control, func(c *control, now time.Time) bool {
		c.discovery.ExtendGrace(now.Add(time.Duration(reply.GetSettlingMs()) * time.Millisecond))
		c.applyAndSpread(ctx, read, now)
		return true
	})
}

// prefersLocal reports whether a VM is in another region although VMs of the local
// region are reachable, which will soon hold the same revision.
func (p *puller) prefersLocal(vm fleet.VM) bool {
	own := p.node.deployment.Region
	return vm.Region != own && len(p.node.control.snapshot().members.ReachableVMs(own)) > 1
}

func replyPosition(reply *peerpb.PublishedReply) discovery.Position {
	return discovery.Position{
		Era:      reply.GetEra(),
		Revision: reply.GetRevision(),
	}
}

// handlePublished returns the changes after a position, or all that this VM holds.
func (p *puller) handlePublished(ctx context.Context, in *peerpb.PublishedRequest) (*peerpb.PublishedReply, error) {
	after := discovery.Position{
		Era:      in.GetAfterEra(),
		Revision: in.GetAfterRevision(),
	}
	reply, err := query(ctx, p.node.control, func(c *control, now time.Time) *peerpb.PublishedReply {
		return c.changesReply(after, now)
	})
	if err != nil {
		return nil, err
	}
	if reply.GetWhole() {
		return p.node.snapshots.reply(ctx, after, reply)
	}
	return peer.CompressItems(reply)
}

// changesReply returns the changes after a position. To a peer that needs all items the
// reply has none yet.
func (c *control) changesReply(after discovery.Position, now time.Time) *peerpb.PublishedReply {
	reply := &peerpb.PublishedReply{
		Era:        c.mirror.Position().Era,
		Revision:   c.mirror.Position().Revision,
		Whole:      c.mirror.NeedsSnapshot(after),
		SettlingMs: uint32(c.discovery.GraceRemaining(now).Milliseconds()),
	}
	if !reply.GetWhole() {
		c.addItems(reply, after)
	}
	return reply
}

func (c *control) addItems(reply *peerpb.PublishedReply, after discovery.Position) {
	items, _ := c.mirror.ChangesSince(after)
	reply.Items = make([]*peerpb.PublishedItem, 0, len(items))
	for _, item := range items {
		reply.Items = append(reply.Items, &peerpb.PublishedItem{
			Key:      item.Key,
			Revision: item.Revision,
			Value:    item.Value,
			Removed:  item.Removed,
		})
	}
}

func itemsFromMessage(list []*peerpb.PublishedItem) []discovery.Item {
	out := make([]discovery.Item, 0, len(list))
	for _, i := range list {
		out = append(out, discovery.Item{
			Key:      i.GetKey(),
			Revision: i.GetRevision(),
			Value:    i.GetValue(),
			Removed:  i.GetRemoved(),
		})
	}
	return out
}
