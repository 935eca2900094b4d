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

// inboxLength is how many messages may wait for the control goroutine.
const inboxLength = 256

// message is one event for the control goroutine.
type message interface {
	apply(c *control, now time.Time)
}

// published is what traffic reads. It never changes.
type published struct {
	snapshot *configuration.Snapshot
	view     *membership.View
	// ready is set once this VM knows the documents that its peers know.
	ready bool
	// next is closed when a newer snapshot is published.
	next chan struct{}
}

// control owns all control state. Only its goroutine touches members and store.
type control struct {
	node      *Node
	inbox     mailbox.Mailbox[message]
	members   *membership.State
	store     *configuration.Store
	published atomic.Pointer[published]
	// caughtUp is set for good once this VM may serve by its documents.
	caughtUp bool
}

func newControl(n *Node) *control {
	c := &control{
		node:  n,
		inbox: mailbox.New[message](inboxLength),
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

// heartbeatEvery and leaseTerm are the settings' for a small fleet, and grow
// with the region as the defaults do.
func (n *Node) heartbeatEvery(peers int) time.Duration {
	return max(n.settings.HeartbeatEvery.Duration, membership.DefaultHeartbeatEvery(peers))
}

func (n *Node) leaseTerm(peers int) time.Duration {
	return max(n.settings.LeaseTerm.Duration, membership.DefaultLeaseTerm(n.heartbeatEvery(peers)))
}

// send passes a message to the control goroutine; it is lost when ctx ends first.
func (c *control) send(ctx context.Context, m message) bool {
	return c.inbox.Send(ctx, m)
}

// ask passes a question and waits for its answer.
func ask[T any](ctx context.Context, c *control, question func(reply chan<- T) message) (T, error) {
	return mailbox.Ask(ctx, c.inbox, question)
}

// run takes messages and sends heartbeats when they are due.
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
		// Traffic sees the view before a heartbeat says which loan is held.
		c.publish(now)
		c.heartbeats(ctx, now)
		timer.Reset(max(c.members.Next(now).Sub(now), time.Millisecond))
	}
}

func (c *control) heartbeats(ctx context.Context, now time.Time) {
	due := c.members.Due(now)
	if len(due) == 0 {
		return
	}
	beat := c.beat(now)
	for _, vm := range due {
		go c.node.heartbeat(ctx, vm, c.beatFor(beat, vm.Region), c.members.HeldLoan(vm.ID))
	}
}

// beatFor leaves out what only other regions need.
func (c *control) beatFor(b membership.Beat, region string) membership.Beat {
	if region == c.node.settings.Region {
		b.Surplus = nil
	}
	return b
}

// beat is what this VM says about itself now.
func (c *control) beat(now time.Time) membership.Beat {
	n := c.node
	digest := c.store.Digest()
	b := c.members.Beat(now)
	b.Stamp = uint64(n.ring.Stamp())
	b.DocumentsRevision = digest.Revision
	b.DocumentsHash = digest.Hash
	b.Load = n.serving.InFlight()
	b.Surplus = n.pools.surplus(now)
	b.Adopted = n.adopted(now)
	return b
}

// publish makes the state visible to traffic. Those who wait for documents
// are woken only when these changed.
func (c *control) publish(now time.Time) {
	before := c.published.Load()
	c.catchUp(now)
	c.members.SetRights(c.node.settings.VM, c.node.adopted(now))
	after := &published{
		snapshot: c.store.Snapshot(),
		view:     c.members.View(now),
		ready:    c.caughtUp,
	}
	if before != nil && before.snapshot == after.snapshot {
		after.next = before.next
		c.published.Store(after)
		c.reportChanges(before.view, after.view)
		return
	}
	after.next = make(chan struct{})
	c.published.Store(after)
	if before == nil {
		return
	}
	c.reportChanges(before.view, after.view)
	close(before.next)
}

// catchUp lets this VM serve once it has a configuration and no peer that it
// hears has a newer one, so that a stale platform cannot make a VM that was
// just started serve by documents that others no longer hold.
func (c *control) catchUp(now time.Time) {
	if c.caughtUp || !c.store.Snapshot().Ready() {
		return
	}
	digest := c.store.Digest()
	known := membership.Known{
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

// reportChanges records VMs of the region that were lost, have returned or leave.
func (c *control) reportChanges(before, after *membership.View) {
	was := make(map[string]string, len(before.Region))
	for _, m := range before.Region {
		was[m.VM.ID] = stateOf(m)
	}
	reachable := 0
	for _, m := range after.Region {
		state := stateOf(m)
		if m.Reachable {
			reachable++
		}
		if known, ok := was[m.VM.ID]; ok && known != state {
			c.reportVM(m.VM.ID, state)
		}
	}
	c.node.metrics.SetReachable(reachable)
}

// stateOf names a VM's state for events and logs.
func stateOf(m membership.Member) string {
	switch {
	case !m.Reachable:
		return "vm_lost"
	case m.Leaving:
		return "vm_leaving"
	default:
		return "vm_reached"
	}
}

func (c *control) reportVM(id, state string) {
	c.node.ring.Add(timeline.Event{
		Kind: state,
		Peer: id,
	})
	c.node.log.Info(state, "peer", id)
}

// offered are documents or a list from the platform or a peer.
type offered struct {
	documents []configuration.Document
	list      *fleet.List
	// source is "platform" or the VM that sent them.
	source string
	// done gets whether anything was new; nil means nobody waits.
	done chan<- bool
}

func (m offered) apply(c *control, now time.Time) {
	changed := false
	for _, v := range c.store.Offer(m.documents) {
		if v.Changed {
			changed = true
			c.reportVerdict(v, m.source)
		}
	}
	if m.list != nil && c.store.OfferList(*m.list) {
		changed = true
		c.takeList(now)
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

func (c *control) takeList(now time.Time) {
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

// left marks this VM as leaving.
type left struct{}

func (left) apply(c *control, now time.Time) {
	c.members.Leave(now)
}
