package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// connectedRow is the load of a plain service in a large region: VMs send calls that take
// a slot of an endpoint for WorkMs, and wait for one.
type connectedRow struct {
	Name      string
	VMs       int
	Endpoints int
	Slots     int
	WorkMs    float64 `json:"work_ms"`
	PerSecond float64 `json:"per_second"`
	// Slow is the number of endpoints that take ten times as long.
	Slow int
	// MostConnections bounds the new connections as a fraction of the calls, MostSlow the
	// calls that take more than four times WorkMs.
	MostConnections float64 `json:"most_connections"`
	MostSlow        float64 `json:"most_slow"`
}

// TestConnectedEndpoints guards against a new connection for nearly every call in a large
// region, and against VMs that stay with an endpoint that others fill or that is slow.
func TestConnectedEndpoints(t *testing.T) {
	t.Parallel()
	for _, row := range datatest.Read[[]connectedRow](t, "testdata/connected.json") {
		t.Run(row.Name, func(t *testing.T) {
			t.Parallel()
			s := newConnectedSimulation(row)
			s.run(20 * time.Second)
			connections := float64(s.connections) / float64(s.calls)
			slow := float64(s.slow) / float64(s.calls)
			t.Logf("%d calls, %.3f new connections a call, %.3f slow", s.calls, connections, slow)
			assert.Assert(t, connections <= row.MostConnections, "%.3f connections", connections)
			assert.Assert(t, slow <= row.MostSlow, "%.3f slow", slow)
		})
	}
}

type connectedSimulation struct {
	connectedRow
	random *rand.Rand
	pools  []*Pool
	// freeAt is when each slot of each endpoint is free.
	freeAt [][]time.Time
	// idle counts the idle connections by VM and endpoint.
	idle        map[[2]int]int
	ends        []connectedEnd
	calls       int
	connections int
	slow        int
}

type connectedEnd struct {
	vm, endpoint int
	at           time.Time
	choice       Choice
}

func newConnectedSimulation(row connectedRow) *connectedSimulation {
	s := &connectedSimulation{
		connectedRow: row,
		random:       rand.New(rand.NewPCG(3, 1)),
		idle:         make(map[[2]int]int),
	}
	var list []fleet.Endpoint
	for i := range row.Endpoints {
		list = append(list, fleet.Endpoint{
			ID:    fmt.Sprint(i),
			Slots: row.Slots,
			State: fleet.StateLive,
		})
		s.freeAt = append(s.freeAt, make([]time.Time, row.Slots))
	}
	for range row.VMs {
		p := New(Options{
			Rand: s.random.Uint64,
		})
		p.SetEndpoints(list, startTime)
		p.SetVMs(row.VMs)
		s.pools = append(s.pools, p)
	}
	return s
}

func (s *connectedSimulation) run(length time.Duration) {
	now := startTime
	for now.Sub(startTime) < length {
		now = now.Add(time.Duration(s.random.ExpFloat64() / s.PerSecond * float64(time.Second)))
		s.endCalls(now)
		s.call(s.random.IntN(s.VMs), now)
	}
}

func (s *connectedSimulation) call(vm int, now time.Time) {
	choice, ok := s.pools[vm].Choose(Request{}, now)
	if !ok {
		return
	}
	s.calls++
	var endpoint int
	_, _ = fmt.Sscan(choice.Endpoint.ID, &endpoint)
	key := [2]int{vm, endpoint}
	if s.idle[key] > 0 {
		s.idle[key]--
	} else {
		s.connections++
	}
	work := s.WorkMs * (0.5 + s.random.Float64())
	if endpoint < s.Slow {
		work *= 10
	}
	slot := &s.freeAt[endpoint][0]
	for i := range s.freeAt[endpoint] {
		if s.freeAt[endpoint][i].Before(*slot) {
			slot = &s.freeAt[endpoint][i]
		}
	}
	if slot.Before(now) {
		*slot = now
	}
	*slot = slot.Add(time.Duration(work * float64(time.Millisecond)))
	if slot.Sub(now).Seconds()*1000 > 4*s.WorkMs {
		s.slow++
	}
	s.ends = append(s.ends, connectedEnd{
		vm:       vm,
		endpoint: endpoint,
		at:       *slot,
		choice:   choice,
	})
}

// endCalls ends the calls that are over. Idle connections stay open.
func (s *connectedSimulation) endCalls(now time.Time) {
	kept := s.ends[:0]
	for _, e := range s.ends {
		if e.at.After(now) {
			kept = append(kept, e)
			continue
		}
		s.idle[[2]int{e.vm, e.endpoint}]++
		s.pools[e.vm].Done(e.choice, Outcome{
			Code:    result.Done,
			Sent:    true,
			FirstAt: e.at,
		}, e.at)
	}
	s.ends = kept
}
