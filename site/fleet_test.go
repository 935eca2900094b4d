package site

import (
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/roster"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// fleetSize is the size of a benchmark fleet of three regions, of which the first has half
// of the engines.
type fleetSize struct {
	vms     int
	engines int
}

var (
	largeFleet  = fleetSize{vms: 294, engines: 160}
	wholeFleet  = fleetSize{vms: 584, engines: 6000}
	doubleFleet = fleetSize{vms: 1168, engines: 12000}
)

func (s fleetSize) String() string {
	return fmt.Sprintf("vms=%d/engines=%d", s.vms, s.engines)
}

// fleetPrompts is the number of prompts whose prefixes are known.
const fleetPrompts = 3000

// newFleetNode returns a VM that knows all members and endpoints of the benchmark fleet.
func newFleetNode(size fleetSize, now func() time.Time) *Node {
	n := New(Options{
		Deployment: &platform.Deployment{
			VM:         "vm-0",
			Region:     "r0",
			DataCentre: "r0-a",
			IP:         "127.0.0.1",
			Regions:    map[string]string{"r0-a": "r0", "r1-a": "r1", "r2-a": "r2"},
		},
		Logger:   slog.New(slog.DiscardHandler),
		Settings: &settings.Platform{},
		Now:      now,
	})
	c := n.control
	c.applyRevision(discovery.Item{
		Key:      "op/config",
		Revision: 1,
		Value:    []byte(`{"Version":1,"Routes":[],"Services":[{"Name":"s","Engine":{"Slots":64}}]}`),
	}, now())
	for i := range size.engines {
		c.applyRevision(fleetEngine(i, uint64(2+i)), now())
	}
	c.roster.Receive(fleetRumor(1), fleetRumors(size.vms), now())
	c.publish(now())
	n.fillPool(size, now())
	return n
}

// fleetEngine returns the entry of an engine, written at a revision.
func fleetEngine(i int, revision uint64) discovery.Item {
	return discovery.Item{
		Key:      fmt.Sprintf("servers/i-%d", i),
		Revision: revision,
		Value:    fmt.Appendf(nil, `{"Service":"s","Addr":"10.0.0.1:%d","Zone":"r%d-a","Slots":64,"State":"ready"}`, 1000+i%60000, i%4%3),
	}
}

// applyRevision applies an item as if it had been read from the store.
func (c *control) applyRevision(item discovery.Item, now time.Time) {
	position := discovery.Position{
		Era:      c.mirror.Position().Era,
		Revision: item.Revision,
	}
	c.applyItems(c.mirror.Apply([]discovery.Item{item}, position), false, now)
}

// fillPool populates the pool with prefixes and load reports, as after some seconds of
// traffic.
func (n *Node) fillPool(size fleetSize, now time.Time) {
	pool := n.pools.all()["s"].Endpoints
	var holdings []routing.Holding
	for i := range fleetPrompts {
		holdings = append(holdings, routing.Holding{
			Hash:     uint64(i + 1),
			Tokens:   400 + i,
			Endpoint: fmt.Sprintf("i-%d", i%size.engines),
			UsedAt:   now.Add(-time.Duration(i) * time.Millisecond),
		})
	}
	pool.AddHoldings(holdings, now)
	for i, e := range n.pools.warmEndpoints() {
		n.pools.recordReport(e.ID, loadReport{
			service: "s",
			load:    routing.Load{At: now.Add(-time.Duration(i) * time.Millisecond), Running: i % 20, CacheTokens: 340_000},
		})
	}
}

func fleetRumor(i int) roster.Rumor {
	return roster.Rumor{
		VM: fleet.VM{
			ID:         fmt.Sprintf("vm-%d", i),
			Region:     fmt.Sprintf("r%d", i%3),
			DataCentre: fmt.Sprintf("r%d-a", i%3),
			CallerAddr: fmt.Sprintf("10.1.0.%d:8149", i),
			PeerAddr:   fmt.Sprintf("10.1.0.%d:8144", i),
		},
		Incarnation: 1,
		Version:     1,
		State:       roster.StateAlive,
		Ready:       true,
	}
}

func fleetRumors(vms int) []roster.Rumor {
	var out []roster.Rumor
	for i := range vms {
		out = append(out, fleetRumor(1+i))
	}
	return out
}

// gossipRoundTrip passes an encoded request to a node and returns the encoded answer.
func gossipRoundTrip(tb testing.TB, n *Node, request *peerpb.GossipMessage, now time.Time) []byte {
	tb.Helper()
	data, err := proto.Marshal(request)
	assert.NilError(tb, err)
	var in peerpb.GossipMessage
	assert.NilError(tb, proto.Unmarshal(data, &in))
	c := n.control
	c.applyGossip(tb.Context(), &in, now, now)
	reply := c.gossipMessage(in.GetFrom().GetRegion(), now)
	c.addRumors(reply, digestOf(&in), now)
	answer, err := proto.Marshal(reply)
	assert.NilError(tb, err)
	c.publish(now)
	return answer
}

// BenchmarkExchange measures how a VM answers a gossip request of its region and the
// size of the answer.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []fleetSize{largeFleet, wholeFleet, doubleFleet} {
		b.Run(size.String(), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			clock := func() time.Time { return now }
			n, other := newFleetNode(size, clock), newFleetNode(size, clock)
			request := other.control.gossipRequest("r0", now)
			request.From = rumorMessage(fleetRumor(3))
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				bytes = len(gossipRoundTrip(b, n, request, now))
			}
			b.ReportMetric(float64(bytes), "bytes/answer")
		})
	}
}

// BenchmarkExchangeWithNewVM measures how a VM answers one that knows nobody.
func BenchmarkExchangeWithNewVM(b *testing.B) {
	for _, size := range []fleetSize{largeFleet, wholeFleet, doubleFleet} {
		b.Run(size.String(), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			n := newFleetNode(size, func() time.Time { return now })
			request := newControl(n).gossipRequest("r0", now)
			request.From = rumorMessage(fleetRumor(3))
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(5 * time.Millisecond)
				bytes = len(gossipRoundTrip(b, n, request, now))
			}
			b.ReportMetric(float64(bytes), "bytes/answer")
		})
	}
}

// BenchmarkEndpointChange measures what a VM does when one engine takes the place of
// another.
func BenchmarkEndpointChange(b *testing.B) {
	for _, size := range []fleetSize{largeFleet, wholeFleet, doubleFleet} {
		b.Run(size.String(), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			n := newFleetNode(size, func() time.Time { return now })
			b.ReportAllocs()
			turn := 0
			for b.Loop() {
				turn++
				n.replaceEngine(turn, now)
			}
		})
	}
}

// BenchmarkMemberChange measures what a VM does when another one changes.
func BenchmarkMemberChange(b *testing.B) {
	for _, size := range []fleetSize{largeFleet, wholeFleet, doubleFleet} {
		b.Run(size.String(), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			n := newFleetNode(size, func() time.Time { return now })
			rumor := fleetRumor(3)
			b.ReportAllocs()
			for b.Loop() {
				rumor.Version++
				rumor.Ready = !rumor.Ready
				n.control.roster.Receive(rumor, nil, now)
				n.control.publish(now)
			}
		})
	}
}

// replaceEngine removes the engine that the turn before added and adds a new one, both in
// the region of the VM. The first turn, 1, removes one of the fleet's.
func (n *Node) replaceEngine(turn int, now time.Time) {
	const firstAdded = 1 << 20
	c := n.control
	removed := 0
	if turn > 1 {
		removed = firstAdded + 4*(turn-1)
	}
	revision := c.mirror.Position().Revision + 1
	c.applyRevision(discovery.Item{
		Key:      fmt.Sprintf("servers/i-%d", removed),
		Revision: revision,
		Removed:  true,
	}, now)
	c.applyRevision(fleetEngine(firstAdded+4*turn, revision+1), now)
	c.publish(now)
}

// TestEndpointChangeCostDoesNotGrow guards against work for all endpoints whenever one
// changes.
func TestEndpointChangeCostDoesNotGrow(t *testing.T) {
	small := endpointChangeBytes(fleetSize{vms: 100, engines: 400})
	large := endpointChangeBytes(fleetSize{vms: 100, engines: 6400})
	assert.Assert(t, large < 2*small, "bytes allocated a change: %d of 400 endpoints, %d of 6400", small, large)
}

// endpointChangeBytes returns the bytes that are allocated when an engine is replaced.
func endpointChangeBytes(size fleetSize) uint64 {
	const changes = 50
	now := time.Unix(1e9, 0)
	n := newFleetNode(size, func() time.Time { return now })
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for turn := range changes {
		n.replaceEngine(1+turn, now)
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / changes
}

// TestNewVMGetsAllRumors guards against a seed that packs all rumors anew for each of
// hundreds of VMs that start, and checks that they can be unpacked.
func TestNewVMGetsAllRumors(t *testing.T) {
	now := time.Unix(1e9, 0)
	n := newFleetNode(largeFleet, func() time.Time { return now })
	request := newControl(n).gossipRequest("r0", now)
	reply, again := &peerpb.GossipMessage{}, &peerpb.GossipMessage{}
	n.control.addRumors(reply, digestOf(request), now)
	n.control.addRumors(again, digestOf(request), now.Add(packedRumorsReuse))
	assert.Assert(t, &reply.PackedRumors[0] == &again.PackedRumors[0])
	n.control.addRumors(again, digestOf(request), now.Add(packedRumorsReuse+time.Millisecond))
	assert.Assert(t, &reply.PackedRumors[0] != &again.PackedRumors[0])
	rumors, err := peer.UnpackRumors(reply.GetPackedRumors())
	assert.NilError(t, err)
	assert.Equal(t, len(rumors), largeFleet.vms+1)
	known := &peerpb.GossipMessage{}
	n.control.addRumors(known, n.control.roster.Digest(), now)
	assert.Equal(t, len(known.GetPackedRumors())+len(known.GetRumors()), 0)
}

// TestFleetNode checks that the benchmark fleet has the intended size.
func TestFleetNode(t *testing.T) {
	now := time.Unix(1e9, 0)
	n := newFleetNode(largeFleet, func() time.Time { return now })
	snap := n.control.snapshot()
	assert.Equal(t, len(snap.members.Members), largeFleet.vms+1)
	assert.Equal(t, len(n.pools.warmEndpoints()), largeFleet.engines/2)
	_, ok := snap.table.Service("s")
	assert.Assert(t, ok)
	assert.Equal(t, snap.table.Version, uint64(1))
	n.replaceEngine(1, now)
	n.replaceEngine(2, now)
	assert.Equal(t, len(n.pools.warmEndpoints()), largeFleet.engines/2)
}
