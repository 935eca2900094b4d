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
	inboxLength = 256
	// gossipEvery is the interval between two exchanges: with two misses, a
	// suspicion of three intervals and the ways between regions, a lost VM counts
	// as dead after about 3 s.
	gossipEvery = 500 * time.Millisecond
	// defaultWay stands in for the time there and back to a region until an
	// exchange has measured it: regions are some 100 ms apart as a rule.
	defaultWay = 200 * time.Millisecond
	// wayWeight is the weight of one exchange in that time.
	wayWeight = 0.2
)

// message is one event for the control goroutine.
type message func(c *control, now time.Time)

// picture is what traffic reads. It never changes.
type picture struct {
	table     *route.Table
	endpoints []discovery.Ready
	members   *roster.Picture
	// fleet is what the meter needs to know of the members.
	fleet metering.Fleet
	// loads are those of other regions by their own word, by service.
	loads map[string][]regionLoad
	// revision is the store's revision that this VM holds.
	revision uint64
}

// control owns all control state. Only its goroutine touches it.
type control struct {
	node      *Node
	inbox     mailbox.Mailbox[message]
	roster    *roster.Roster
	mirror    *discovery.Mirror
	discovery *discovery.State
	loads     map[loadKey]regionLoad
	// ways are the times there and back to other regions, as exchanges took.
	ways      map[string]time.Duration
	published atomic.Pointer[picture]
	// endpointsAt is when the endpoints change by themselves.
	endpointsAt time.Time
	changed     bool
	// waking is what the roster said of a pause of the process at the last step.
	waking bool
}

func newControl(n *Node) *control {
	c := &control{
		node:  n,
		inbox: mailbox.New[message](inboxLength),
		roster: roster.New(roster.Options{
			Self:        n.self(),
			Incarnation: n.incarnation,
			Seeds:       n.deployment.Seeds,
			Every:       gossipEvery,
			Regions:     regionsOf(n.deployment.Regions),
			Rand:        rand.Uint64,
		}),
		mirror: discovery.NewMirror(),
		discovery: discovery.New(discovery.Options{
			Grace: n.deployment.Bounds.LapseWithin,
		}),
		loads: make(map[loadKey]regionLoad),
		ways:  make(map[string]time.Duration),
	}
	first := &picture{
		members: c.roster.Picture(),
	}
	first.fleet = c.fleet(first)
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

func (c *control) picture() *picture {
	return c.published.Load()
}

// send passes a message to the control goroutine; it is lost when ctx ends first.
func (c *control) send(ctx context.Context, m message) bool {
	return c.inbox.Send(ctx, m)
}

// ask has a question answered by the control goroutine.
func ask[T any](ctx context.Context, c *control, question func(c *control, now time.Time) T) (T, error) {
	return mailbox.Ask(ctx, c.inbox, func(reply chan<- T) message {
		return func(c *control, now time.Time) {
			reply <- question(c, now)
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
		c.exchange(ctx, c.roster.Step(now), now)
		c.askAfterPause(ctx, now)
		c.publish(now)
		timer.Reset(max(c.next(now).Sub(now), time.Millisecond))
	}
}

// next is when the state changes by itself.
func (c *control) next(now time.Time) time.Time {
	next := c.roster.Next(now)
	if !c.endpointsAt.IsZero() && c.endpointsAt.Before(next) {
		return c.endpointsAt
	}
	return next
}

// publish makes the state visible to traffic.
func (c *control) publish(now time.Time) {
	if !c.endpointsAt.IsZero() && !now.Before(c.endpointsAt) {
		c.changed = true
	}
	c.discovery.Step(now)
	c.endpointsAt = c.discovery.Next(now)
	before := c.picture()
	after := &picture{
		table:     c.discovery.Table(),
		endpoints: before.endpoints,
		loads:     c.loadsByService(now),
		revision:  c.mirror.Revision(),
	}
	c.roster.SetReady(after.table != nil && !c.node.leaving.Load())
	after.members = c.roster.Picture()
	after.fleet = before.fleet
	if before.members.Generation != after.members.Generation {
		after.fleet = c.fleet(after)
	}
	if c.changed {
		after.endpoints = c.discovery.Endpoints(now)
		c.forgetEndpointLimits(after.endpoints, now)
	}
	c.published.Store(after)
	if c.changed {
		c.reportEndpoints(before, after)
	}
	switch {
	case c.changed:
		c.node.pools.update(after, now)
	case before.members.Generation != after.members.Generation:
		c.node.pools.updateMembers(after)
	}
	if before.members.Generation != after.members.Generation {
		c.node.crashes.MembersChanged()
	}
	c.changed = false
	c.reportChanges(before, after)
}

// endpointCount is how many endpoints of one service take work.
type endpointCount struct {
	warm, cold int
}

// reportEndpoints logs the services of the own region whose endpoints changed.
func (c *control) reportEndpoints(before, after *picture) {
	was, is := c.countEndpoints(before), c.countEndpoints(after)
	for service, count := range is {
		if was[service] != count {
			c.node.log.Info("endpoints_changed", "service", service, "warm", count.warm, "cold", count.cold)
		}
		delete(was, service)
	}
	for service := range was {
		c.node.log.Warn("endpoints_changed", "service", service, "warm", 0, "cold", 0)
	}
}

func (c *control) countEndpoints(pic *picture) map[string]endpointCount {
	out := make(map[string]endpointCount)
	for _, e := range pic.endpoints {
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
func (c *control) tookWay(region string, took time.Duration) {
	known, ok := c.ways[region]
	if !ok {
		c.ways[region] = took
		return
	}
	c.ways[region] = known + time.Duration(wayWeight*float64(took-known))
}

func (c *control) wayTo(region string) time.Duration {
	if way, ok := c.ways[region]; ok {
		return way
	}
	return defaultWay
}

// reportChanges logs what this VM believes differently.
func (c *control) reportChanges(before, after *picture) {
	if before.table != after.table {
		c.node.log.Info("configuration_taken", "version", after.table.Version, "revision", after.revision)
	}
	if before.members.Generation == after.members.Generation {
		return
	}
	was := make(map[string]roster.Member, len(before.members.Members))
	for _, m := range before.members.Members {
		was[m.VM.ID] = m
	}
	for _, m := range after.members.Members {
		old, known := was[m.VM.ID]
		if !known || old.Reachable != m.Reachable || old.Ready != m.Ready || old.Incarnation != m.Incarnation {
			c.node.log.Info("member_changed", "peer", m.VM.ID, "incarnation", m.Incarnation, "reachable", m.Reachable, "ready", m.Ready)
		}
		delete(was, m.VM.ID)
	}
	for id, m := range was {
		c.node.log.Info("member_lost", "peer", id, "incarnation", m.Incarnation)
	}
}

// take applies changes of the store, wherever they came from.
func (c *control) take(items []discovery.Item, now time.Time) {
	for _, item := range items {
		change, err := c.node.decoder.Decode(item)
		if err != nil {
			c.node.log.Warn("item_refused", "key", item.Key, "revision", item.Revision, "reason", err.Error())
			if !change.Unreadable {
				continue
			}
		}
		if c.discovery.Take(change, now) {
			c.changed = true
		}
	}
}
