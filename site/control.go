package site

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/mailbox"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/metering"
	"github.com/fuchsianotch/fuchsianotch/roster"
	"github.com/fuchsianotch/fuchsianotch/route"
)

const (
	// inboxCapacity bounds the commands queued for the control goroutine.
	inboxCapacity = 256
	// gossipInterval is the interval between two exchanges. A lost VM is declared dead after
	// about 3 s: two missed exchanges, a suspicion of three intervals and the inter-region
	// latency.
	gossipInterval = 500 * time.Millisecond
	// defaultRTT is the assumed round-trip time to a region before the first measurement.
	defaultRTT = 200 * time.Millisecond
	// rttSmoothing is the weight of a new sample in the moving average of the round-trip
	// time.
	rttSmoothing = 0.2
)

// command runs on the control goroutine.
type command func(c *control, now time.Time)

// snapshot is the immutable state that request goroutines read.
type snapshot struct {
	table   *route.Table
	members *roster.Snapshot
	// meteringFleet holds the members as the limit meter sees them.
	meteringFleet metering.Fleet
	// regionLoads holds the latest load reports of other regions by service.
	regionLoads map[string][]regionLoad
	// position is that of the store contents that this VM has applied.
	position discovery.Position
	// leaving holds the incarnations of the endpoints that said in a response that they
	// leave.
	leaving map[string]int64
}

// control owns all control state. Only the control goroutine accesses it.
type control struct {
	node        *Node
	inbox       mailbox.Mailbox[command]
	roster      *roster.Roster
	mirror      *discovery.Mirror
	discovery   *discovery.State
	regionLoads map[loadKey]regionLoad
	// rtts holds the smoothed round-trip time to each other region.
	rtts      map[string]time.Duration
	published atomic.Pointer[snapshot]
	// packedRumors caches all rumors in packed form.
	packedRumors packedRumors
	// nextEndpointChange is when the state of an endpoint next changes without a message.
	nextEndpointChange time.Time
	// resuming is the result of Roster.Resuming at the previous step, to detect the
	// transition.
	resuming bool
}

func newControl(n *Node) *control {
	c := &control{
		node:  n,
		inbox: mailbox.New[command](inboxCapacity),
		roster: roster.New(roster.Options{
			Self:        n.self(),
			Incarnation: n.incarnation,
			Seeds:       n.deployment.Seeds,
			Every:       gossipInterval,
			Regions:     regionsOf(n.deployment.Regions),
			Rand:        rand.Uint64,
		}),
		mirror: discovery.NewMirror(),
		discovery: discovery.New(discovery.Options{
			Grace: n.deployment.Bounds.EntryRenewalTimeout,
		}),
		regionLoads: make(map[loadKey]regionLoad),
		rtts:        make(map[string]time.Duration),
	}
	first := &snapshot{
		members: c.roster.Snapshot(),
	}
	first.meteringFleet = c.buildMeteringFleet(first)
	c.published.Store(first)
	return c
}

// regionsOf returns the distinct regions of all data centres.
func regionsOf(byDataCentre map[string]string) []string {
	var out []string
	for _, region := range byDataCentre {
		if !slices.Contains(out, region) {
			out = append(out, region)
		}
	}
	return out
}

func (c *control) snapshot() *snapshot {
	return c.published.Load()
}

// send queues a command for the control goroutine. The command is dropped if ctx ends
// first.
func (c *control) send(ctx context.Context, m command) bool {
	return c.inbox.Send(ctx, m)
}

// sendSoon queues a command without blocking the caller. It is lost only at the end of the
// process.
func (c *control) sendSoon(m command) {
	if !c.inbox.TrySend(m) {
		go c.send(context.Background(), m)
	}
}

// query runs a request on the control goroutine and returns its result.
func query[T any](ctx context.Context, c *control, request func(c *control, now time.Time) T) (T, error) {
	return mailbox.Call(ctx, c.inbox, func(reply chan<- T) command {
		return func(c *control, now time.Time) {
			reply <- request(c, now)
		}
	})
}

// run executes commands and starts gossip exchanges as they fall due.
func (c *control) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-c.inbox.Messages():
			m(c, c.node.now())
		case <-timer.C:
		}
		now := c.node.now()
		c.startExchanges(ctx, c.roster.Step(now), now)
		c.refreshAfterPause(ctx, now)
		c.publish(now)
		timer.Reset(max(c.nextDeadline(now).Sub(now), time.Millisecond))
	}
}

// nextDeadline returns when the state next changes without a command.
func (c *control) nextDeadline(now time.Time) time.Time {
	deadline := c.roster.Next(now)
	if !c.nextEndpointChange.IsZero() && c.nextEndpointChange.Before(deadline) {
		return c.nextEndpointChange
	}
	return deadline
}

// publish replaces the snapshot and notifies the components that depend on it.
func (c *control) publish(now time.Time) {
	c.discovery.Advance(now)
	c.nextEndpointChange = c.discovery.NextChange()
	before := c.snapshot()
	after := &snapshot{
		table:       c.discovery.Table(),
		regionLoads: c.regionLoadsByService(now),
		position:    c.mirror.Position(),
		leaving:     c.leavingByID(before.leaving),
	}
	c.roster.SetReady(after.table != nil && !c.node.draining.Load())
	after.members = c.roster.Snapshot()
	after.meteringFleet = before.meteringFleet
	membersChanged := before.members.Generation != after.members.Generation
	if membersChanged {
		after.meteringFleet = c.buildMeteringFleet(after)
	}
	after.meteringFleet.Past = after.members.RegionSize
	after.meteringFleet.UnheardSeeds = after.members.UnheardSeeds
	if after.table != nil && before.table != after.table {
		c.node.routePast.observe(after.table, now)
	}
	c.published.Store(after)
	if changes := c.discovery.TakeChanges(now); len(changes) > 0 || before.table != after.table {
		c.node.pools.applyChanges(changes, after, now)
		c.node.throttle.SetPublished(c.node.pools.index.has, now)
	}
	if membersChanged {
		c.node.pools.updateMembers(after)
		c.node.quarantine.MembersChanged()
	}
	c.logChanges(before, after)
}

// observeRTT adds a measurement of the round-trip time to a region.
func (c *control) observeRTT(region string, measured time.Duration) {
	known, ok := c.rtts[region]
	if !ok {
		c.rtts[region] = measured
		return
	}
	c.rtts[region] = known + time.Duration(rttSmoothing*float64(measured-known))
}

func (c *control) rtt(region string) time.Duration {
	if way, ok := c.rtts[region]; ok {
		return way
	}
	return defaultRTT
}

// logChanges logs changes of the configuration and of the members.
func (c *control) logChanges(before, after *snapshot) {
	if before.table != after.table {
		c.node.log.Info("configuration_taken", "version", after.table.Version, "era", after.position.Era, "revision", after.position.Revision)
	}
	if before.members.Generation == after.members.Generation {
		return
	}
	c.logMemberChanges(before.members.Members, after.members.Members)
}

// logMemberChanges logs the members that changed. Both lists are sorted by ID.
func (c *control) logMemberChanges(before, after []*roster.Member) {
	for _, m := range after {
		for len(before) > 0 && before[0].VM.ID < m.VM.ID {
			c.logMemberLost(before[0])
			before = before[1:]
		}
		changed := true
		if len(before) > 0 && before[0].VM.ID == m.VM.ID {
			previous := before[0]
			changed = previous.Reachable != m.Reachable || previous.Ready != m.Ready || previous.VM.Incarnation != m.VM.Incarnation
			before = before[1:]
		}
		if changed {
			c.node.log.Info("member_changed", "peer", m.VM.ID, "incarnation", m.VM.Incarnation, "reachable", m.Reachable, "ready", m.Ready)
		}
	}
	for _, m := range before {
		c.logMemberLost(m)
	}
}

func (c *control) logMemberLost(m *roster.Member) {
	c.node.log.Info("member_lost", "peer", m.VM.ID, "incarnation", m.VM.Incarnation)
}

// applyItems applies store changes, whether read from the store or pulled from a peer.
// restored is set if they come from an older copy of the store.
func (c *control) applyItems(items []discovery.Item, restored bool, now time.Time) {
	for _, item := range items {
		change, err := c.node.decoder.Decode(item)
		if err != nil {
			c.node.log.Warn("item_refused", "key", item.Key, "revision", item.Revision, "reason", err.Error())
			if !change.Unreadable {
				continue
			}
		}
		change.Restored = restored
		c.discovery.Apply(change, now)
	}
}
