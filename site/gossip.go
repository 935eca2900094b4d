package site

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/roster"
)

const (
	// exchangeTimeout bounds one exchange; it covers several inter-region round trips and a
	// new connection.
	exchangeTimeout = time.Second
)

// gossipRequest builds the message that starts an exchange with a VM of the given
// region.
func (c *control) gossipRequest(region string, now time.Time) *peerpb.GossipMessage {
	m := c.gossipMessage(region, now)
	for _, r := range c.roster.RecentRumors(now) {
		m.Rumors = append(m.Rumors, rumorMessage(r))
	}
	digest := c.roster.Digest()
	m.Digest = digest[:]
	return m
}

// urgentMessage builds the message that is sent immediately after a change. It omits the
// loads and prefixes, which make up most of a full message.
func (c *control) urgentMessage(region string, now time.Time) *peerpb.GossipMessage {
	m := &peerpb.GossipMessage{
		From:              rumorMessage(c.roster.Self()),
		PublishedEra:      c.mirror.Position().Era,
		PublishedRevision: c.mirror.Position().Revision,
		CompleteMs:        c.node.freshnessAgeMs(now),
	}
	if size := c.roster.PastSize(region); size.VMs > 0 {
		m.ReceiverRegionVms = uint32(size.VMs)
		m.ReceiverRegionVmsAgeMs = uint32(max(now.Sub(size.At).Milliseconds(), 0))
	}
	if region == c.node.deployment.Region {
		unavailable := c.localUnavailable(now)
		m.Cold = coldEndpointMessages(unavailable, now)
		m.Unreached = unreachableMessages(unavailable, now)
		m.Leaving = leavingMessages(c.discovery.UnpublishedLeaving())
		m.Limits = endpointLimitMessages(c.node.throttle.Recent(now))
		m.LimitsDigest = c.node.throttle.Digest()
	}
	return m
}

// localUnavailable returns the endpoints of the local region that are cold or
// unreachable.
func (c *control) localUnavailable(now time.Time) []discovery.AvailableEndpoint {
	return slices.DeleteFunc(c.discovery.Degraded(now), func(e discovery.AvailableEndpoint) bool {
		return e.Region != c.node.deployment.Region
	})
}

// gossipMessage builds a full message without rumors.
func (c *control) gossipMessage(region string, now time.Time) *peerpb.GossipMessage {
	m := c.urgentMessage(region, now)
	if region == c.node.deployment.Region {
		m.Reports = c.node.pools.recentReports(now)
		m.Holdings = append(c.node.pools.regionHoldings(now), c.node.pools.remoteHoldings(now)...)
		m.Loads = c.remoteLoadMessages(now)
		m.ServiceDemands = c.node.serviceDemandMessages(now)
	} else {
		m.Loads = c.node.pools.localLoadMessages(now)
		m.Holdings = c.node.pools.crossRegionHoldings(now)
	}
	return m
}

// exchangeGossip sends a message to a target and applies the reply.
func (n *Node) exchangeGossip(ctx context.Context, target roster.Target, m *peerpb.GossipMessage) {
	timeoutCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := n.now()
	reply, err := n.peers.Gossip(timeoutCtx, target.VM, m)
	receivedAt := n.now()
	repliedAt := n.sentAt(reply)
	n.control.send(ctx, func(c *control, now time.Time) {
		if err != nil {
			c.recordFailure(target.VM, err, now)
			return
		}
		c.observeRTT(reply.GetFrom().GetRegion(), receivedAt.Sub(sentAt))
		c.applyGossip(ctx, reply, repliedAt, now)
	})
}

// recordFailure records that a VM did not answer. A refused connection means that its
// process has ended.
func (c *control) recordFailure(vm fleet.VM, err error, now time.Time) {
	if vm.ID == "" {
		return
	}
	if errors.Is(err, peer.ErrDial) && errors.Is(err, syscall.ECONNREFUSED) {
		c.roster.RecordRefused(vm.ID, now)
		return
	}
	c.roster.RecordMiss(vm.ID, now)
}

// applyGossip merges a message from a peer. Ages and remaining times in it are relative
// to sentAt.
func (c *control) applyGossip(ctx context.Context, m *peerpb.GossipMessage, sentAt, now time.Time) {
	rumors := make([]roster.Rumor, 0, len(m.GetRumors()))
	for _, r := range m.GetRumors() {
		rumors = append(rumors, rumorFromMessage(r))
	}
	from := rumorFromMessage(m.GetFrom())
	c.roster.Receive(from, rumors, now)
	c.roster.LearnSize(fleet.PastSize{
		VMs: int(m.GetReceiverRegionVms()),
		At:  sentAt.Add(-time.Duration(m.GetReceiverRegionVmsAgeMs()) * time.Millisecond),
	}, now)
	c.applyRegionLoads(m.GetLoads(), sentAt)
	c.applyServiceDemands(m, sentAt, now)
	c.applyCold(ctx, m.GetCold(), sentAt, now)
	c.applyUnreachable(ctx, m.GetUnreached(), sentAt, now)
	c.applyLeaving(ctx, m.GetLeaving(), now)
	c.applyEndpointLimits(m.GetLimits(), now)
	c.node.pools.applyReports(m.GetReports(), sentAt)
	c.node.pools.applyHoldings(m.GetHoldings(), sentAt, now)
	published := discovery.Position{
		Era:      m.GetPublishedEra(),
		Revision: m.GetPublishedRevision(),
	}
	c.applyPeerFreshness(published, m.GetCompleteMs(), sentAt)
	if published == c.mirror.Position() && !m.GetFrom().GetTurnedAway() {
		c.node.markInSync()
	}
	if published.IsAfter(c.mirror.Position()) {
		c.node.puller.notify(ctx, positionNotice{
			vm:       from.VM,
			position: published,
		})
	}
}

// handleGossip merges a request from a peer and returns the reply.
func (n *Node) handleGossip(ctx context.Context, in *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	sentAt := n.sentAt(in)
	return query(ctx, n.control, func(c *control, now time.Time) *peerpb.GossipMessage {
		c.applyGossip(context.WithoutCancel(ctx), in, sentAt, now)
		if len(in.GetDigest()) == 0 {
			return c.urgentMessage(in.GetFrom().GetRegion(), now)
		}
		m := c.gossipMessage(in.GetFrom().GetRegion(), now)
		c.addRumors(m, digestOf(in), now)
		if m.GetLimitsDigest() != in.GetLimitsDigest() {
			m.Limits = endpointLimitMessages(c.node.throttle.Limits())
		}
		return m
	})
}

// digestOf returns the digest of a request. One of unexpected length is replaced by the
// zero digest, which differs in every non-empty bucket.
func digestOf(m *peerpb.GossipMessage) roster.Digest {
	var d roster.Digest
	if len(m.GetDigest()) == len(d) {
		copy(d[:], m.GetDigest())
	}
	return d
}

// sentAt returns when a peer sent a message, on the local clock.
func (n *Node) sentAt(m *peerpb.GossipMessage) time.Time {
	from := m.GetFrom()
	return n.delays.SentAt(from.GetVm(), from.GetIncarnation(), m.GetSentUs())
}

// gossipFanout is the number of VMs of the region that are notified immediately of store
// changes.
const gossipFanout = 2

// applyAndSpread applies a read of the store, or of a peer's copy, and notifies other VMs of
// the region if it changes anything.
func (c *control) applyAndSpread(ctx context.Context, read storeRead, now time.Time) {
	isFirst := c.mirror.Position().IsZero()
	if !isFirst && c.hidesChanges(read) {
		c.node.streams.register.Restart(now)
	}
	items, restored := c.mergeRead(read)
	if read.full && isFirst {
		c.node.evidence.began(read, now)
	}
	if restored {
		c.node.log.Warn("store_restored", "era", read.position.Era, "revision", read.position.Revision, "changes", len(items))
		c.discovery.StoreRestored(now)
	}
	if len(items) == 0 && !restored {
		return
	}
	c.applyItems(items, restored, now)
	c.spread(ctx, gossipFanout, now)
}

// hidesChanges reports whether endpoints may have come and gone unseen between what this VM holds
// and a read: of all items, or of a peer's copy, which has the last change of each item only.
func (c *control) hidesChanges(read storeRead) bool {
	if read.full {
		return c.mirror.HidesChanges(read.items, read.position)
	}
	return slices.ContainsFunc(c.mirror.Unseen(read.items, read.position), func(item discovery.Item) bool {
		// The entry itself is gone, so that nothing of it can fail to decode.
		change, _ := c.node.decoder.Decode(item)
		return change.Endpoint != nil
	})
}

// spread sends an urgent message to random VMs of the region.
func (c *control) spread(ctx context.Context, count int, now time.Time) {
	for _, target := range c.roster.RandomTargets(count) {
		go c.node.exchangeGossip(ctx, target, c.urgentMessage(target.VM.Region, now))
	}
}

func (c *control) startExchanges(ctx context.Context, targets []roster.Target, now time.Time) {
	for _, target := range targets {
		go c.node.exchangeGossip(ctx, target, c.gossipRequest(target.VM.Region, now))
	}
}

func rumorMessage(r roster.Rumor) *peerpb.Rumor {
	return &peerpb.Rumor{
		Vm:          r.VM.ID,
		Incarnation: r.Incarnation,
		Version:     r.Version,
		State:       uint32(r.State),
		Ready:       r.Ready,
		TurnedAway:  r.StoreUnreadable,
		Region:      r.VM.Region,
		DataCentre:  r.VM.DataCentre,
		CallerAddr:  r.VM.CallerAddr,
		PeerAddr:    r.VM.PeerAddr,
		Millicores:  r.VM.Millicores,
		Saturated:   r.VM.Saturated,
	}
}

func rumorFromMessage(m *peerpb.Rumor) roster.Rumor {
	return roster.Rumor{
		VM: fleet.VM{
			ID:         m.GetVm(),
			Region:     m.GetRegion(),
			DataCentre: m.GetDataCentre(),
			CallerAddr: m.GetCallerAddr(),
			PeerAddr:   m.GetPeerAddr(),
			State:      fleet.StateLive,
			Millicores: m.GetMillicores(),
			Saturated:  m.GetSaturated(),
		},
		Incarnation:     m.GetIncarnation(),
		Version:         m.GetVersion(),
		State:           roster.State(m.GetState()),
		Ready:           m.GetReady(),
		StoreUnreadable: m.GetTurnedAway(),
	}
}
