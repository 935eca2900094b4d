package site

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

var smallFleet = fleetSize{vms: 3, engines: 4}

// startControl runs a node's control goroutine for the duration of the test.
func startControl(t *testing.T, n *Node) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.control.run(ctx) }()
}

// TestLeavingReachesPeers guards against a VM that goes on using an endpoint of which
// another VM has heard that it leaves.
func TestLeavingReachesPeers(t *testing.T) {
	now := time.Unix(1e9, 0)
	clock := func() time.Time { return now }
	told, peer := newFleetNode(smallFleet, clock), newFleetNode(smallFleet, clock)
	leaving := fleet.Endpoint{ID: "i-0", Service: "s"}
	told.control.observeLeaving(leaving, now)
	told.control.publish(now)
	assert.Assert(t, !told.pools.index.has("i-0"))
	message := told.control.urgentMessage("r0", now)
	message.From = rumorMessage(fleetRumor(3))
	peer.control.applyGossip(t.Context(), message, now, now)
	peer.control.publish(now)
	assert.Assert(t, !peer.pools.index.has("i-0"))
	assert.Assert(t, peer.pools.index.has("i-3"))
	assert.Assert(t, told.control.urgentMessage("r1", now).GetLeaving() == nil)
}

// TestNoticesInProbes guards against notices that only answers to load and health requests
// carry and that are not read.
func TestNoticesInProbes(t *testing.T) {
	n := newFleetNode(smallFleet, time.Now)
	startControl(t, n)
	e := fleet.Endpoint{ID: "i-0", Service: "s"}
	n.observeProbeNotice(e, endpoint.Notice{
		Rate:      fleet.Rate{Named: true, PerSecond: 2},
		RestUntil: time.Now().Add(time.Minute),
	})
	assert.Assert(t, n.throttle.IsLimited(e))
	n.observeProbeNotice(e, endpoint.Notice{})
	assert.Assert(t, n.throttle.IsLimited(e))
	assert.Assert(t, !n.throttle.RestsUntil(e, time.Now()).IsZero())
	n.observeProbeNotice(e, endpoint.Notice{
		Leaving: true,
	})
	waitFor(t, func() bool { return !n.pools.index.has(e.ID) })
}
