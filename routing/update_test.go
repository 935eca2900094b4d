package routing

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// TestUpdateMatchesList applies random changes to two pools, to one as changes and to the
// other as whole lists.
func TestUpdateMatchesList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := startTime
		updated, replaced := New(Options{}), New(Options{})
		listed := make(map[string]fleet.Endpoint)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(50 * time.Millisecond)
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 12).Draw(t, "endpoint"))
			switch rapid.SampledFrom([]string{"put", "put", "remove", "report", "fail"}).Draw(t, "step") {
			case "put":
				listed[id] = randomEndpoint(t, id)
				updated.Update([]fleet.Endpoint{listed[id]}, nil, now)
				replaced.SetEndpoints(sortedEndpoints(listed), now)
			case "remove":
				delete(listed, id)
				updated.Update(nil, []string{id}, now)
				replaced.SetEndpoints(sortedEndpoints(listed), now)
			case "report":
				load := Load{
					At:          now,
					Running:     rapid.IntRange(0, 9).Draw(t, "running"),
					Leaving:     rapid.Bool().Draw(t, "leaving"),
					Incarnation: rapid.Int64Range(0, 3).Draw(t, "incarnation"),
				}
				updated.Report(id, load, now)
				replaced.Report(id, load, now)
			case "fail":
				failEndpoint(updated, id, now)
				failEndpoint(replaced, id, now)
			}
			assert.DeepEqual(t, describePool(updated, now), describePool(replaced, now))
		}
	})
}

func randomEndpoint(t *rapid.T, id string) fleet.Endpoint {
	return fleet.Endpoint{
		ID:          id,
		Addr:        rapid.SampledFrom([]string{"10.0.0.1:80", "10.0.0.2:80"}).Draw(t, "addr"),
		State:       rapid.SampledFrom([]fleet.State{fleet.StateLive, fleet.StateLeaving}).Draw(t, "state"),
		Slots:       rapid.IntRange(1, 4).Draw(t, "slots"),
		Incarnation: rapid.Int64Range(0, 3).Draw(t, "incarnation"),
	}
}

func sortedEndpoints(listed map[string]fleet.Endpoint) []fleet.Endpoint {
	var out []fleet.Endpoint
	for i := range len("0123456789") + 3 {
		if e, ok := listed[fmt.Sprintf("e%d", i)]; ok {
			out = append(out, e)
		}
	}
	return out
}

func failEndpoint(p *Pool, id string, now time.Time) {
	e := p.byID[id]
	if e == nil {
		return
	}
	p.learnFailure(e, Choice{}, Outcome{
		Code: result.EndpointCut,
		Sent: true,
	}, now)
	p.updateTotals(e, now)
}

// poolState is what must not depend on how the endpoints of a pool were given.
type poolState struct {
	Eligible, Ejected, Ring []string
	Slots, Free             float64
}

func describePool(p *Pool, now time.Time) poolState {
	for _, e := range p.endpoints {
		// An estimate dates from the last event of its endpoint, which differs.
		p.updateTotals(e, now)
	}
	state := poolState{
		Slots: p.totals.slots,
		Free:  p.totals.free,
	}
	for _, e := range p.eligible {
		state.Eligible = append(state.Eligible, e.ID)
	}
	for _, e := range p.ejected {
		state.Ejected = append(state.Ejected, e.ID)
	}
	slices.Sort(state.Eligible)
	slices.Sort(state.Ejected)
	for i := range uint64(40) {
		first, second := p.ring.lookup((i + 1) * 0x9e3779b97f4a7c15)
		for _, e := range []*endpoint{first, second} {
			if e != nil {
				state.Ring = append(state.Ring, e.ID)
			}
		}
	}
	return state
}

// TestUpdateCostDoesNotGrow guards against work for all endpoints whenever one changes.
func TestUpdateCostDoesNotGrow(t *testing.T) {
	small, large := updateBytes(500), updateBytes(8000)
	assert.Assert(t, large < 2*small+4096, "bytes allocated a change: %d of 500 endpoints, %d of 8000", small, large)
}

// updateBytes returns the bytes allocated for each endpoint that replaces another one in a
// pool of the given size.
func updateBytes(size int) uint64 {
	const changes = 200
	p := newLargePool(size)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range changes {
		replaceEndpoint(p, i)
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / changes
}

func replaceEndpoint(p *Pool, i int) {
	removed := fmt.Sprintf("new%d", i-1)
	if i == 0 {
		removed = "e0"
	}
	p.Update([]fleet.Endpoint{{
		ID:    fmt.Sprintf("new%d", i),
		State: fleet.StateLive,
		Slots: 16,
	}}, []string{removed}, startTime)
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{600, 2600, 5200} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			p := newLargePool(n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				replaceEndpoint(p, i)
				i++
			}
		})
	}
}
