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
	// inboxLength is how many messages may wait for the control goroutine.
	inboxCapacity = 256
	// gossipEvery is the interval between two exchanges: with two misses, a
	// suspicion of three intervals and the ways between regions, a lost VM counts
	// as dead after about 3 s.
	gossipInterval = 500 * time.Millisecond
	// defaultWay stands in for the time there and back to a region until an
	// exchange has measured it: regions are some 100 ms apart as a rule.
	defaultRTT = 200 * time.Millisecond
	// wayWeight is the weight of one exchange in that time.
	rttSmoothing = 0.2
)

// message is one event for the control goroutine.
type command func(c *control, now time.Time)

// picture is what traffic reads. It never changes.
type snapshot struct {
	table     *route.Table
	endpoints []discovery.Ready
	members   *roster.Picture
	// fleet is what the meter needs to know of the members.
	meteringFleet metering.Fleet
	// loads are those of other regions by their own word, by service.
	regionLoads map[string][]regionLoad
	// revision is the store's revision that this VM holds.
	revision uint64
}

// control owns all control state. Only its goroutine touches it.
type control struct {
	node        *Node
	inbox       mailbox.Mailbox[command]
	roster      *roster.Roster
	mirror      *discovery.Mirror
	discovery   *discovery.State
	regionLoads map[loadKey]regionLoad
	// ways are the times there and back to other regions, as exchanges took.
	rtts      map[string]time.Duration
	published atomic.Pointer[snapshot]
	// endpointsAt is when the endpoints change by themselves.
	nextEndpointChange time.Time
	endpointsChanged   bool
	// waking is what the roster said of a pause of the process at the last step.
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
			Grace: n.deployment.Bounds.LapseWithin,
		}),
		regionLoads: make(map[loadKey]regionLoad),
		rtts:        make(map[string]time.Duration),
	}
	first := &snapshot{
		members: c.roster.Picture(),
	}
	first.meteringFleet = c.buildMeteringFleet(first)
	c.published.Store(first)
	return c
}

// regionsOf returns the regions of all data centres.
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

// send passes a message to the control goroutine; it is lost when ctx ends first.
func (c *control) send(ctx context.Context, m command) bool {
	return c.inbox.Send(ctx, m)
}

// ask has a question answered by the control goroutine.
func query[T any](ctx context.Context, c *control, request func(c *control, now time.Time) T) (T, error) {
	return mailbox.Ask(ctx, c.inbox, func(reply chan<- T) command {
		return func(c *control, now time.Time) {
			reply <- request(c, now)
		}
	})
}

// run takes messages and exchanges rumors when that is due.
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
		c.probeAfterPause(ctx, now)
		c.publish(now)
		timer.Reset(max(c.nextDeadline(now).Sub(now), time.Millisecond))
	}
}

// next is when the state changes by itself.
func (c *control) nextDeadline(now time.Time) time.Time {
	deadline := c.roster.Next(now)
	if !c.nextEndpointChange.IsZero() && c.nextEndpointChange.Before(deadline) {
		return c.nextEndpointChange
	}
	return deadline
}

// publish makes the state visible to traffic.
func (c *control) publish(now time.Time) {
	if !c.nextEndpointChange.IsZero() && !now.Before(c.nextEndpointChange) {
		c.endpointsChanged = true
	}
	c.discovery.Step(now)
	c.nextEndpointChange = c.discovery.Next(now)
	before := c.snapshot()
	after := &snapshot{
		table:       c.discovery.Table(),
		endpoints:   before.endpoints,
		regionLoads: c.regionLoadsByService(now),
		revision:    c.mirror.Revision(),
	}
	c.roster.SetReady(after.table != nil && !c.node.draining.Load())
	after.members = c.roster.Picture()
	after.meteringFleet = before.meteringFleet
	if before.members.Generation != after.members.Generation {
		after.meteringFleet = c.buildMeteringFleet(after)
	}
	if c.endpointsChanged {
		after.endpoints = c.discovery.Endpoints(now)
		c.pruneEndpointLimits(after.endpoints, now)
	}
	c.published.Store(after)
	if c.endpointsChanged {
		c.logEndpointChanges(before, after)
	}
	switch {
	case c.endpointsChanged:
		c.node.pools.applySnapshot(after, now)
	case before.members.Generation != after.members.Generation:
		c.node.pools.updateMembers(after)
	}
	if before.members.Generation != after.members.Generation {
		c.node.quarantine.MembersChanged()
	}
	c.endpointsChanged = false
	c.logChanges(before, after)
}

// endpointCount is how many endpoints of one service take work.
type endpointCount struct {
	warm, cold int
}

// reportEndpoints logs the services of the own region whose endpoints changed.
func (c *control) logEndpointChanges(before, after *snapshot) {
	beforeCounts, afterCounts := c.countEndpoints(before), c.countEndpoints(after)
	for service, count := range afterCounts {
		if beforeCounts[service] != count {
			c.node.log.Info("endpoints_changed", "service", service, "warm", count.warm, "cold", count.cold)
		}
		delete(beforeCounts, service)
	}
	for service := range beforeCounts {
		c.node.log.Warn("endpoints_changed", "service", service, "warm", 0, "cold", 0)
	}
}

func (c *control) countEndpoints(snap *snapshot) map[string]endpointCount {
	out := make(map[string]endpointCount)
	for _, e := range snap.endpoints {
		if e.Region != c.node.deployment.Region {
			continue
		}
		count := out[e.Service]
		if e.ColdUntil.IsZero() {
			count.warm++
		} else {
			count.cold++
		}
		out[e.Service] = count
	}
	return out
}

// tookWay notes how long an exchange with a region took.
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

// reportChanges logs what this VM believes differently.
func (c *control) logChanges(before, after *snapshot) {
	if before.table != after.table {
		c.node.log.Info("configuration_taken", "version", after.table.Version, "revision", after.revision)
	}
	if before.members.Generation == after.members.Generation {
		return
	}
	previous := make(map[string]roster.Member, len(before.members.Members))
	for _, m := range before.members.Members {
		previous[m.VM.ID] = m
	}
	for _, m := range after.members.Members {
		prev, known := previous[m.VM.ID]
		if !known || prev.Reachable != m.Reachable || prev.Ready != m.Ready || prev.Incarnation != m.Incarnation {
			c.node.log.Info("member_changed", "peer", m.VM.ID, "incarnation", m.Incarnation, "reachable", m.Reachable, "ready", m.Ready)
		}
		delete(previous, m.VM.ID)
	}
	for id, m := range previous {
		c.node.log.Info("member_lost", "peer", id, "incarnation", m.Incarnation)
	}
}

// take applies changes of the store, wherever they came from.
func (c *control) applyItems(items []discovery.Item, now time.Time) {
	for _, item := range items {
		change, err := c.node.decoder.Decode(item)
		if err != nil {
			c.node.log.Warn("item_refused", "key", item.Key, "revision", item.Revision, "reason", err.Error())
			if !change.Unreadable {
				continue
			}
		}
		if c.discovery.Take(change, now) {
			c.endpointsChanged = true
		}
	}
}
