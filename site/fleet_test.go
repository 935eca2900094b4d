package site

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/roster"
	"github.com/fuchsianotch/fuchsianotch/routing"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// Size of the benchmark fleet: three regions of 98 VMs, one of which has half of the
// engines.
const (
	fleetVMs     = 294
	fleetEngines = 160
	fleetPrompts = 3000
)

// newFleetNode returns a VM that knows all members and endpoints of the benchmark fleet.
func newFleetNode(now func() time.Time) *Node {
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
	c.applyItems([]discovery.Item{{
		Key:      "op/config",
		Revision: 1,
		Value:    []byte(`{"Version":1,"Routes":[],"Services":[{"Name":"s","Engine":{"Slots":64}}]}`),
	}}, now())
	for i := range fleetEngines {
		region := i % 4 % 3
		c.applyItems([]discovery.Item{{
			Key:      fmt.Sprintf("servers/i-%d", i),
			Revision: uint64(2 + i),
			Value:    fmt.Appendf(nil, `{"Service":"s","Addr":"10.0.0.1:%d","Zone":"r%d-a","Slots":64,"State":"ready"}`, 1000+i, region),
		}}, now())
	}
	c.roster.Receive(fleetRumor(1), fleetRumors(), now())
	c.publish(now())
	n.fillPool(now())
	return n
}

// fillPool populates the pool with prefixes and load reports, as after some seconds of
// traffic.
func (n *Node) fillPool(now time.Time) {
	pool := n.pools.table.Load().byService["s"].Endpoints
	var holdings []routing.Holding
	for i := range fleetPrompts {
		holdings = append(holdings, routing.Holding{
			Hash:     uint64(i + 1),
			Tokens:   400 + i,
			Endpoint: fmt.Sprintf("i-%d", i%fleetEngines),
			UsedAt:   now.Add(-time.Duration(i) * time.Millisecond),
		})
	}
	pool.AddHoldings(holdings, now)
	for i, e := range n.pools.table.Load().engines {
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

func fleetRumors() []roster.Rumor {
	var out []roster.Rumor
	for i := range fleetVMs {
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
	answer, err := proto.Marshal(c.gossipMessage(in.GetFrom().GetRegion(), c.roster.DifferingRumors(digestOf(&in)), now))
	assert.NilError(tb, err)
	c.publish(now)
	return answer
}

// BenchmarkExchange measures how a VM answers a gossip request of its region and the
// size of the answer.
func BenchmarkExchange(b *testing.B) {
	now := time.Unix(1e9, 0)
	clock := func() time.Time { return now }
	n, other := newFleetNode(clock), newFleetNode(clock)
	request := other.control.gossipRequest("r0", now)
	request.From = rumorMessage(fleetRumor(3))
	bytes := 0
	b.ReportAllocs()
	for b.Loop() {
		bytes = len(gossipRoundTrip(b, n, request, now))
	}
	b.ReportMetric(float64(bytes), "bytes/answer")
}

// TestFleetNode checks that the benchmark fleet has the intended size.
func TestFleetNode(t *testing.T) {
	now := time.Unix(1e9, 0)
	n := newFleetNode(func() time.Time { return now })
	snap := n.control.snapshot()
	assert.Equal(t, len(snap.members.Members), fleetVMs+1)
	assert.Equal(t, len(n.pools.table.Load().engines), fleetEngines/2)
	_, ok := snap.table.Service("s")
	assert.Assert(t, ok)
	assert.Equal(t, snap.table.Version, uint64(1))
}
