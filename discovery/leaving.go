package discovery

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// leavingRetention is how long it is remembered that an endpoint leaves after its entry is
// gone. An older copy of the entry may return meanwhile.
const leavingRetention = 30 * time.Second

// LeavingEndpoint is an endpoint that said in a response that it leaves.
type LeavingEndpoint struct {
	ID string
	// Incarnation is the one that said so. A later one takes calls again.
	Incarnation int64
}

// leavingNotice is what is known of an endpoint that said that it leaves.
type leavingNotice struct {
	incarnation int64
	// forgetAt is set while the endpoint has no entry.
	forgetAt time.Time
}

// ReportLeaving records an endpoint's own statement, to this VM or to a peer, that it leaves,
// and returns whether it is new. It holds for the rest of the incarnation: later responses
// may have begun before.
func (s *State) ReportLeaving(e LeavingEndpoint, now time.Time) bool {
	if held, ok := s.leaving[e.ID]; ok && held.incarnation >= e.Incarnation {
		return false
	}
	notice := leavingNotice{
		incarnation: e.Incarnation,
	}
	if _, listed := s.endpoints[e.ID]; !listed {
		notice.forgetAt = now.Add(leavingRetention)
	}
	s.leaving[e.ID] = notice
	s.changed[e.ID] = true
	return true
}

// Leaving returns the endpoints that said that they leave, in no particular order.
func (s *State) Leaving() []LeavingEndpoint {
	out := make([]LeavingEndpoint, 0, len(s.leaving))
	for id, notice := range s.leaving {
		out = append(out, LeavingEndpoint{
			ID:          id,
			Incarnation: notice.incarnation,
		})
	}
	return out
}

// UnpublishedLeaving returns the endpoints that said that they leave and whose entries still
// say otherwise, in no particular order.
func (s *State) UnpublishedLeaving() []LeavingEndpoint {
	return slices.DeleteFunc(s.Leaving(), func(e LeavingEndpoint) bool {
		k, listed := s.endpoints[e.ID]
		return !listed || k.State != fleet.StateLive || !s.saysLeaving(k)
	})
}

// saysLeaving reports whether an endpoint said itself that it leaves.
func (s *State) saysLeaving(k *endpointState) bool {
	notice, ok := s.leaving[k.ID]
	return ok && notice.incarnation >= k.Incarnation
}

// forgetLeaving drops the notices of endpoints whose entries are gone.
func (s *State) forgetLeaving(now time.Time) {
	for id, notice := range s.leaving {
		_, listed := s.endpoints[id]
		switch {
		case listed:
			notice.forgetAt = time.Time{}
		case notice.forgetAt.IsZero():
			notice.forgetAt = now.Add(leavingRetention)
		case !now.Before(notice.forgetAt):
			delete(s.leaving, id)
			continue
		}
		s.leaving[id] = notice
	}
}
