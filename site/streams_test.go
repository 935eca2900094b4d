package site

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/origin"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/roster"
	"github.com/fuchsianotch/fuchsianotch/route"
)

// originPeer is a VM that is asked for the origin of a stream.
type originPeer struct {
	Region string
	// Silent peers don't answer; Lost ones count as dead already.
	Silent   bool
	Lost     bool
	Versions []string
	// Record is the version of a record, Sole the only version that the peer claims to know.
	Record, Sole string
}

// TestVMOutOfStepJoinsNoVersions guards against a VM that resumes a stream at the only version of a
// view that has ended before another version joined.
func TestVMOutOfStepJoinsNoVersions(t *testing.T) {
	for _, row := range datatest.Read[[]struct {
		Name string
		// AgeMs is the age of the VM's view, Versions are those that it knows of.
		AgeMs    int `json:"age_ms"`
		Versions []string
		Peers    []originPeer
		Want     string
	}](t, "testdata/out_of_step.json") {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			now := time.Unix(1e9, 0)
			n := newFleetNode(smallFleet, func() time.Time { return now })
			table := route.New(route.Options{
				Routes: []route.Route{{
					Host:    "h",
					Prefix:  "/p/",
					Kind:    route.KindStream,
					Timeout: 10 * time.Second,
					Shares:  []route.Share{{Service: "s", Weight: 1}},
				}},
			})
			members := roster.New(roster.Options{
				Self:  n.self(),
				Every: gossipInterval,
				Rand:  func() uint64 { return 0 },
			})
			for i, p := range row.Peers {
				rumor := p.rumor(t, i)
				members.Receive(rumor, nil, now)
				if p.Lost {
					rumor.State = roster.StateDead
					members.Receive(rumor, nil, now)
				}
			}
			n.control.published.Store(&snapshot{
				table:   table,
				members: members.Snapshot(),
			})
			n.routePast.observe(table, now)
			n.streams.register.Observe("s", row.Versions, now)
			now = now.Add(2 * time.Minute)
			n.advanceFreshness(now.Add(-time.Duration(row.AgeMs) * time.Millisecond))
			o, found := n.streams.findOrigin(t.Context(), &call.Call{
				Service: "s",
				Path:    "/p/",
				Routed: &call.Routed{
					Host:    "h",
					Resumes: "begun-elsewhere",
				},
			})
			assert.Equal(t, strings.TrimSpace(fmt.Sprint(found, " ", o.Version)), row.Want)
		})
	}
}

// rumor starts the peer and returns what is told of it.
func (p originPeer) rumor(t *testing.T, number int) roster.Rumor {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	if !p.Silent {
		server, err := peer.NewServer(peer.Handlers{
			Origin:  p.answer,
			Stamp:   func() uint64 { return 0 },
			Witness: func(uint64) {},
			Now:     time.Now,
		})
		assert.NilError(t, err)
		go func() { _ = server.Serve(t.Context(), ln) }()
	}
	return roster.Rumor{
		VM: fleet.VM{
			ID:       fmt.Sprintf("peer-%d", number),
			Region:   p.Region,
			PeerAddr: ln.Addr().String(),
		},
		Incarnation: 1,
		Version:     1,
		State:       roster.StateAlive,
		Ready:       true,
	}
}

func (p originPeer) answer(q origin.RecordQuestion) origin.Reply {
	reply := origin.Reply{
		Versions: p.Versions,
	}
	switch {
	case p.Record != "":
		reply.Known = true
		reply.Origin = origin.Origin{
			Request: q.Request,
			Service: q.Service,
			Version: p.Record,
		}
	case p.Sole != "":
		reply.Known = true
		reply.Origin = origin.Origin{
			Service: q.Service,
			Version: p.Sole,
		}
	}
	return reply
}

// TestUnseenEndpointLeavesNoOnlyVersion guards against claiming the only version although an endpoint
// of another one came and went while this VM was out of step.
func TestUnseenEndpointLeavesNoOnlyVersion(t *testing.T) {
	since := time.Unix(1e9, 0)
	n := newFleetNode(smallFleet, func() time.Time { return since })
	now := since
	position := n.control.mirror.Position()
	pull := func(items ...discovery.Item) bool {
		now = now.Add(time.Second)
		position.Revision += 2
		for i := range items {
			items[i].Revision = position.Revision
			items[i].Removed = true
		}
		n.control.applyAndSpread(t.Context(), storeRead{
			items:    items,
			position: position,
		}, now)
		n.control.publish(now)
		return n.streams.register.KnownSince("s", since)
	}
	assert.Assert(t, pull())
	assert.Assert(t, pull(discovery.Item{Key: "servers/i-0"}), "an endpoint that this VM knew")
	assert.Assert(t, pull(discovery.Item{Key: "op/evacuate/r0-a"}))
	assert.Assert(t, !pull(discovery.Item{Key: "servers/i-unseen"}))
}
