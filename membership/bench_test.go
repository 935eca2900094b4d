package membership

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// newHealthyState returns a State whose region has n VMs that all reach it and grant it
// leases, after a number of heartbeats. After three the share history still has its
// first steps; after ten it is steady.
func newHealthyState(n, heartbeats int) (s *State, now time.Time) {
	list := &fleet.List{Revision: 1}
	for i := range n {
		list.VMs = append(list.VMs, parseVM(fmt.Sprintf("home-%03d", i)))
	}
	for i := range 8 {
		list.VMs = append(list.VMs, parseVM(fmt.Sprintf("other/other-%03d", i)))
	}
	const every = 10 * time.Second
	s = New(Options{
		Self:           list.VMs[n/2],
		Incarnation:    1,
		HeartbeatEvery: func(int) time.Duration { return every },
	})
	s.SetList(list, origin)
	now = origin
	for round := range heartbeats {
		now = origin.Add(time.Duration(round) * every)
		for _, p := range s.regionPeers {
			exchangeHeartbeats(s, p.vm.ID, now)
		}
		s.View(now)
	}
	return s, now
}

// exchangeHeartbeats applies one heartbeat in each direction.
func exchangeHeartbeats(s *State, id string, now time.Time) {
	b := Beat{
		VM:           id,
		Incarnation:  7,
		Region:       "home",
		Ready:        true,
		ListRevision: 1,
	}
	s.HandleBeat(b, time.Time{}, now)
	s.GrantLease(id, s.candidates.hash, now)
	s.HandleBeat(b, now, now)
	s.AcceptLease(id, Lease{Term: 30 * time.Second, Hash: s.candidates.hash}, now, now)
}

func TestShareHistoryDoesNotAllocate(t *testing.T) {
	s, now := newHealthyState(8, 10)
	v := s.View(now)
	got := testing.AllocsPerRun(1000, func() {
		v.ShareHistory("ws-1", now)
		v.Owner("ws-1")
	})
	assert.Equal(t, got, 0.0)
}

func BenchmarkView(b *testing.B) {
	for _, heartbeats := range []int{3, 10} {
		for _, n := range []int{8, 32, 100} {
			b.Run(fmt.Sprintf("heartbeats=%d/vms=%d", heartbeats, n), func(b *testing.B) {
				s, now := newHealthyState(n, heartbeats)
				b.ReportAllocs()
				for b.Loop() {
					s.View(now)
				}
			})
		}
	}
}

func BenchmarkShareHistory(b *testing.B) {
	for _, heartbeats := range []int{3, 10} {
		for _, n := range []int{8, 32, 100} {
			b.Run(fmt.Sprintf("heartbeats=%d/vms=%d", heartbeats, n), func(b *testing.B) {
				s, now := newHealthyState(n, heartbeats)
				v := s.View(now)
				b.ReportAllocs()
				for b.Loop() {
					v.ShareHistory("ws-1", now)
				}
			})
		}
	}
}

// BenchmarkHeartbeat handles one heartbeat in each direction, without the View that
// follows.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{8, 32, 100} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			s, now := newHealthyState(n, 10)
			id := s.regionPeers[0].vm.ID
			b.ReportAllocs()
			for b.Loop() {
				exchangeHeartbeats(s, id, now)
			}
		})
	}
}

// BenchmarkBytes reports message sizes and the bytes that one VM sends a second at the
// default interval, without transport framing. Only replies to other regions carry
// surplus. The benchmark's time is not meaningful.
func BenchmarkBytes(b *testing.B) {
	for _, surpluses := range []int{0, 1, 3} {
		request := proto.Size(&peerpb.HeartbeatRequest{
			Beat:     wireBeat(0),
			HeldLoan: 1 << 60,
		})
		reply := proto.Size(wireReply(0))
		away := proto.Size(wireReply(surpluses))
		const otherPeers = 2 * maxPeersPerRemoteRegion
		for _, n := range []int{3, 8, 32, 100} {
			b.Run(fmt.Sprintf("surpluses=%d/vms=%d", surpluses, n), func(b *testing.B) {
				sent := float64((request+reply)*(n-1) + (request+away)*otherPeers)
				b.ReportMetric(float64(request), "request_bytes")
				b.ReportMetric(float64(away), "reply_bytes")
				b.ReportMetric(sent/DefaultHeartbeatEvery(n-1+otherPeers).Seconds(), "sent_bytes/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func wireReply(surpluses int) *peerpb.HeartbeatReply {
	return &peerpb.HeartbeatReply{
		Beat: wireBeat(surpluses),
		Loan: &peerpb.Loan{
			TermMs:   1500,
			ViewHash: 1 << 62,
			Id:       1 << 60,
		},
	}
}

func wireBeat(surpluses int) *peerpb.Beat {
	beat := &peerpb.Beat{
		From: &peerpb.Identity{
			Vm:          "home-001",
			Incarnation: 1 << 62,
			Region:      "addis-ababa",
		},
		Stamp:             1 << 62,
		Ready:             true,
		ListRevision:      12345,
		DocumentsRevision: 12345,
		DocumentsHash:     1 << 62,
		Load:              200,
		ViewHash:          1 << 62,
	}
	for range surpluses {
		beat.Surplus = append(beat.Surplus, &peerpb.Surplus{
			Target:          "members-assistant",
			TokensPerSecond: 50,
			UntilUnixMs:     1 << 40,
			WaitMs:          5,
		})
	}
	return beat
}
