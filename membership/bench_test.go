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

// healthy returns a State whose region has n VMs that all reach and lend to it,
// for the number of heartbeats given. After ten of them all its loans have
// been steady for long; after three they still have the steps of the start.
func healthy(n, heartbeats int) (s *State, now time.Time) {
	list := &fleet.List{Revision: 1}
	for i := range n {
		list.VMs = append(list.VMs, vm(fmt.Sprintf("home-%03d", i)))
	}
	for i := range 8 {
		list.VMs = append(list.VMs, vm(fmt.Sprintf("other/other-%03d", i)))
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
		for _, p := range s.region {
			exchange(s, p.vm.ID, now)
		}
		s.View(now)
	}
	return s, now
}

// exchange is what one heartbeat each way does to the state.
func exchange(s *State, id string, now time.Time) {
	b := Beat{
		VM:           id,
		Incarnation:  7,
		Region:       "home",
		Ready:        true,
		ListRevision: 1,
	}
	s.Heard(b, time.Time{}, now)
	s.Lend(id, s.reach.hash, now)
	s.Heard(b, now, now)
	s.Borrowed(id, Loan{Term: 30 * time.Second, Hash: s.reach.hash}, now, now)
}

func TestHoldDoesNotAllocate(t *testing.T) {
	s, now := healthy(8, 10)
	v := s.View(now)
	got := testing.AllocsPerRun(1000, func() {
		v.Hold("ws-1", now)
		v.Owner("ws-1")
	})
	assert.Equal(t, got, 0.0)
}

func BenchmarkView(b *testing.B) {
	for _, heartbeats := range []int{3, 10} {
		for _, n := range []int{8, 32, 100} {
			b.Run(fmt.Sprintf("heartbeats=%d/vms=%d", heartbeats, n), func(b *testing.B) {
				s, now := healthy(n, heartbeats)
				b.ReportAllocs()
				for b.Loop() {
					s.View(now)
				}
			})
		}
	}
}

func BenchmarkHold(b *testing.B) {
	for _, heartbeats := range []int{3, 10} {
		for _, n := range []int{8, 32, 100} {
			b.Run(fmt.Sprintf("heartbeats=%d/vms=%d", heartbeats, n), func(b *testing.B) {
				s, now := healthy(n, heartbeats)
				v := s.View(now)
				b.ReportAllocs()
				for b.Loop() {
					v.Hold("ws-1", now)
				}
			})
		}
	}
}

// BenchmarkHeartbeat handles one heartbeat each way, without the view that is
// published after it.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{8, 32, 100} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			s, now := healthy(n, 10)
			id := s.region[0].vm.ID
			b.ReportAllocs()
			for b.Loop() {
				exchange(s, id, now)
			}
		})
	}
}

// BenchmarkBytes reports the bytes of a request and a reply, and what one VM
// sends each second at the default interval, without the framing of the
// transport. Surpluses are put on replies to other regions alone. Its time
// means nothing.
func BenchmarkBytes(b *testing.B) {
	for _, surpluses := range []int{0, 1, 3} {
		request := proto.Size(&peerpb.HeartbeatRequest{
			Beat:     beatOnWire(0),
			HeldLoan: 1 << 60,
		})
		reply := proto.Size(replyOnWire(0))
		away := proto.Size(replyOnWire(surpluses))
		const otherPeers = 2 * sourcesPerRegion
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

func replyOnWire(surpluses int) *peerpb.HeartbeatReply {
	return &peerpb.HeartbeatReply{
		Beat: beatOnWire(surpluses),
		Loan: &peerpb.Loan{
			TermMs:   1500,
			ViewHash: 1 << 62,
			Id:       1 << 60,
		},
	}
}

func beatOnWire(surpluses int) *peerpb.Beat {
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
