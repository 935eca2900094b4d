package discovery

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// changeLog is a list of endpoints that is kept up to date by changes alone.
type changeLog map[string]AvailableEndpoint

func (l changeLog) apply(changes []EndpointChange) {
	for _, c := range changes {
		if c.Endpoint == nil {
			delete(l, c.ID)
			continue
		}
		l[c.ID] = *c.Endpoint
	}
}

func (l changeLog) list() []AvailableEndpoint {
	out := make([]AvailableEndpoint, 0, len(l))
	for _, e := range l {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b AvailableEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// TestChangesMatchEndpoints checks that changes and deadlines alone tell what a whole list
// does, over random histories.
func TestChangesMatchEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		s := New(Options{Grace: 2 * time.Second})
		log := make(changeLog)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			randomChange(t, s, now)
			next := s.NextChange()
			log.apply(s.TakeChanges(now))
			assert.DeepEqual(t, log.list(), s.Endpoints(now))
			wait := rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, time.Second, 40 * time.Second}).Draw(t, "wait")
			if before := now.Add(wait / 2); wait > 0 && before.Before(next) {
				assert.DeepEqual(t, log.list(), s.Endpoints(before))
			}
			now = now.Add(wait)
			s.Advance(now)
			log.apply(s.TakeChanges(now))
			assert.DeepEqual(t, log.list(), s.Endpoints(now))
			assert.DeepEqual(t, degradedOf(log), sortedDegraded(s, now))
		}
	})
}

func randomChange(t *rapid.T, s *State, now time.Time) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint")
	until := now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second)
	switch rapid.SampledFrom([]string{"put", "remove", "cold", "unreachable", "evacuate", "lost", "back"}).Draw(t, "step") {
	case "put":
		s.Apply(Change{Endpoint: &Endpoint{
			Endpoint: fleet.Endpoint{
				ID:          id,
				DataCentre:  rapid.SampledFrom([]string{"x", "y"}).Draw(t, "data_centre"),
				State:       rapid.SampledFrom([]fleet.State{fleet.StateLive, fleet.StateLeaving}).Draw(t, "state"),
				Incarnation: rapid.Int64Range(0, 2).Draw(t, "incarnation"),
			},
			ColdFor: until.Sub(now),
		}}, now)
	case "remove":
		s.Apply(Change{Removed: true, Endpoint: &Endpoint{Endpoint: fleet.Endpoint{ID: id}}}, now)
	case "cold":
		s.ReportCold(id, until, now, false)
	case "unreachable":
		s.ReportUnreachable(id, until, now)
	case "evacuate":
		s.Apply(Change{Evacuated: "x", Removed: rapid.Bool().Draw(t, "taken_back")}, now)
	case "lost":
		s.StoreLost()
	case "back":
		s.StoreRecovered(now)
	}
}

func degradedOf(l changeLog) []AvailableEndpoint {
	return slices.DeleteFunc(l.list(), func(e AvailableEndpoint) bool {
		return e.ColdUntil.IsZero() && e.UnreachableUntil.IsZero()
	})
}

func sortedDegraded(s *State, now time.Time) []AvailableEndpoint {
	out := append([]AvailableEndpoint{}, s.Degraded(now)...)
	slices.SortFunc(out, func(a, b AvailableEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// TestRenewedEntryIsNoChange guards against endpoints that are handed on whenever they renew
// an entry that says the same.
func TestRenewedEntryIsNoChange(t *testing.T) {
	now := time.Unix(1e9, 0)
	s := newLargeState(1, now)
	s.TakeChanges(now)
	changed := s.Apply(Change{Endpoint: largeEndpoint(0, 7)}, now)
	assert.Assert(t, !changed)
	assert.Equal(t, len(s.TakeChanges(now)), 0)
}

func newLargeState(size int, now time.Time) *State {
	s := New(Options{Grace: 2 * time.Second})
	for i := range size {
		s.Apply(Change{Endpoint: largeEndpoint(i, 1)}, now)
	}
	return s
}

func largeEndpoint(i int, seq uint64) *Endpoint {
	return &Endpoint{
		Endpoint: fleet.Endpoint{
			ID:          fmt.Sprintf("e%d", i),
			State:       fleet.StateLive,
			Incarnation: 1,
		},
		Seq: seq,
	}
}

// BenchmarkAdvance measures what a VM does with the endpoints for each message, while one
// of them is cold.
func BenchmarkAdvance(b *testing.B) {
	for _, n := range []int{600, 6000, 12000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			s := newLargeState(n, now)
			s.ReportCold("e1", now.Add(time.Hour), now, false)
			for b.Loop() {
				s.Advance(now)
				s.NextChange()
				s.Degraded(now)
				s.TakeChanges(now)
			}
		})
	}
}
