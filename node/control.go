package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/mailbox"
	"github.com/fuchsianotch/fuchsianotch/configuration"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// inboxCapacity bounds the messages queued for the control goroutine.
const inboxCapacity = 256

// message is an event that the control goroutine processes.
type message interface {
	apply(c *control, now time.Time)
}

// publishedState is the immutable state that request goroutines read.
type publishedState struct {
	snapshot *configuration.Snapshot
	view     *membership.View
	// ready is set once this VM is caught up with its peers' documents.
	ready bool
	// changed is closed when a newer snapshot is published.
	changed chan struct{}
}

// control owns the control state. Only its goroutine accesses members and store.
type control struct {
	node      *Node
	inbox     mailbox.Mailbox[message]
	members   *membership.State
	store     *configuration.Store
	published atomic.Pointer[publishedState]
	// caughtUp is set once this VM may serve by its documents, and never unset.
	caughtUp bool
}

func newControl(n *Node) *control {
	c := &control{
		node:  n,
		inbox: mailbox.New[message](inboxCapacity),
		members: membership.New(membership.Options{
			Self:           n.self(),
			Incarnation:    n.incarnation,
			HeartbeatEvery: n.heartbeatEvery,
			LeaseTerm:      n.leaseTerm,
		}),
		store: configuration.New(configuration.Options{
			Now: n.now,
		}),
	}
	now := n.now()
	c.members.SetReady(false, now)
	c.publish(now)
	return c
}

// heartbeatEvery and leaseTerm are the configured intervals for a small fleet, and grow
// with the number of peers as the defaults do.
func (n *Node) heartbeatEvery(peers int) time.Duration {
	return max(n.settings.HeartbeatEvery.Duration, membership.DefaultHeartbeatEvery(peers))
}

func (n *Node) leaseTerm(peers int) time.Duration {
	return max(n.settings.LeaseTerm.Duration, membership.DefaultLeaseTerm(n.heartbeatEvery(peers)))
}

// send queues a message for the control goroutine. It is dropped if ctx ends first.
func (c *control) send(ctx context.Context, m message) bool {
	return c.inbox.Send(ctx, m)
}

// ask queues a request for the control goroutine and waits for the reply.
func ask[T any](ctx context.Context, c *control, question func(reply chan<- T) message) (T, error) {
	return mailbox.Call(ctx, c.inbox, question)
}

// run processes messages and sends heartbeats when they are due.
func (c *control) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-c.inbox.Messages():
			m.apply(c, c.node.now())
		case <-timer.C:
		}
		now := c.node.now()
		// Publish the view before a heartbeat acknowledges the lease that it depends on.
		c.publish(now)
		c.sendHeartbeats(ctx, now)
		timer.Reset(max(c.members.Next(now).Sub(now), time.Millisecond))
	}
}

func (c *control) sendHeartbeats(ctx context.Context, now time.Time) {
	due := c.members.Due(now)
	if len(due) == 0 {
		return
	}
	own := c.ownHeartbeat(now)
	for _, vm := range due {
		go c.node.sendHeartbeat(ctx, vm, c.heartbeatFor(own, vm.Region), c.members.HeldLeaseID(vm.ID))
	}
}

// heartbeatFor removes what only VMs of other regions use.
func (c *control) heartbeatFor(b membership.Beat, region string) membership.Beat {
	if region == c.node.settings.Region {
		b.Surplus = nil
	}
	return b
}

// ownHeartbeat returns this VM's current heartbeat.
func (c *control) ownHeartbeat(now time.Time) membership.Beat {
	n := c.node
	digest := c.store.Digest()
	b := c.members.Beat(now)
	b.Stamp = uint64(n.ring.Stamp())
	b.DocumentsRevision = digest.Revision
	b.DocumentsHash = digest.Hash
	b.Load = n.serving.InFlight()
	b.Surplus = n.pools.surplus(now)
	b.Adopted = n.adoptedRights(now)
	return b
}

// publish makes the state visible to request goroutines. It wakes those that wait for
// documents only if the snapshot changed.
func (c *control) publish(now time.Time) {
	before := c.published.Load()
	c.updateCaughtUp(now)
	c.members.SetAdoptedRights(c.node.settings.VM, c.node.adoptedRights(now))
	after := &publishedState{
		snapshot: c.store.Snapshot(),
		view:     c.members.View(now),
		ready:    c.caughtUp,
	}
	if before != nil && before.snapshot == after.snapshot {
		after.changed = before.changed
		c.published.Store(after)
		c.reportMemberChanges(before.view, after.view)
		return
	}
	after.changed = make(chan struct{})
	c.published.Store(after)
	if before == nil {
		return
	}
	c.reportMemberChanges(before.view, after.view)
	close(before.changed)
}

// updateCaughtUp lets this VM serve once it has a configuration and no reachable peer
// has a newer one. A stale platform thus cannot make a restarted VM serve by documents
// that its peers have replaced.
func (c *control) updateCaughtUp(now time.Time) {
	if c.caughtUp || !c.store.Snapshot().Ready() {
		return
	}
	digest := c.store.Digest()
	known := membership.Revisions{
		DocumentsRevision: digest.Revision,
		ListRevision:      digest.ListRevision,
	}
	if !c.members.CaughtUp(known, now) {
		return
	}
	c.caughtUp = true
	c.members.SetReady(true, now)
	c.node.ring.Add(timeline.Event{
		Kind: "caught_up",
	})
}

// reportMemberChanges records VMs of the region that became unreachable or reachable, or
// are leaving.
func (c *control) reportMemberChanges(before, after *membership.View) {
	previous := make(map[string]string, len(before.Region))
	for _, m := range before.Region {
		previous[m.VM.ID] = stateEvent(m)
	}
	reachable := 0
	for _, m := range after.Region {
		state := stateEvent(m)
		if m.Reachable {
			reachable++
		}
		if old, ok := previous[m.VM.ID]; ok && old != state {
			c.reportStateChange(m.VM.ID, state)
		}
	}
	c.node.metrics.SetReachable(reachable)
}

// stateEvent returns the event name of a VM's state.
func stateEvent(m membership.Member) string {
	switch {
	case !m.Reachable:
		return "vm_lost"
	case m.Leaving:
		return "vm_leaving"
	default:
		return "vm_reached"
	}
}

func (c *control) reportStateChange(id, state string) {
	c.node.ring.Add(timeline.Event{
		Kind: state,
		Peer: id,
	})
	c.node.log.Info(state, "peer", id)
}

// documentsOffered carries documents or a fleet list from the platform or a peer.
type documentsOffered struct {
	documents []configuration.Document
	list      *fleet.List
	// source is "platform" or the id of the sending VM.
	source string
	// done receives whether anything changed; nil if nobody waits.
	done chan<- bool
}

func (m documentsOffered) apply(c *control, now time.Time) {
	changed := false
	for _, v := range c.store.Offer(m.documents) {
		if v.Changed {
			changed = true
			c.reportVerdict(v, m.source)
		}
	}
	if m.list != nil && c.store.OfferList(*m.list) {
		changed = true
		c.applyList(now)
	}
	if changed {
		snapshot := c.store.Snapshot()
		c.node.metrics.SetDocuments(countRefused(snapshot), snapshot.Digest.Revision)
	}
	if m.done != nil {
		m.done <- changed
	}
}

func countRefused(s *configuration.Snapshot) int {
	n := 0
	for _, d := range s.Documents {
		if d.Refused > 0 {
			n++
		}
	}
	return n
}

func (c *control) applyList(now time.Time) {
	list := c.store.Snapshot().List
	c.members.SetList(list, now)
	c.node.pools.setList(list, now)
	c.node.ring.Add(timeline.Event{
		Kind: "list_taken",
	})
}

func (c *control) reportVerdict(v configuration.Verdict, source string) {
	e := timeline.Event{
		Kind:   "document_in_force",
		Peer:   source,
		Detail: v.Key,
	}
	if v.Refusal != nil {
		e.Kind = "document_refused"
		e.Code = v.Refusal.Code
		c.node.log.Warn("document_refused",
			"key", v.Key,
			"revision", v.Revision,
			"code", int(v.Refusal.Code),
			"reason", v.Refusal.Message,
		)
	}
	c.node.ring.Add(e)
}

// leaveRequested marks this VM as leaving.
type leaveRequested struct{}

func (leaveRequested) apply(c *control, now time.Time) {
	c.members.Leave(now)
}
