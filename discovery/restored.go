package discovery

import "time"

// restoredEvacuationGrace is how long an evacuation holds that an older copy of the store
// lacks: time for the operator to write it again.
const restoredEvacuationGrace = 5 * time.Second

// StoreRestored records that the store came back from an older copy of itself. It must be
// called before the copy's items are applied. Endpoints that the copy lacks are kept for the
// grace period, as they write their entries again.
func (s *State) StoreRestored(now time.Time) {
	s.ExtendGrace(now.Add(s.grace))
}

// isNewerThanKnown reports whether the entry of an endpoint in an older copy of the store
// says more than what is known. Otherwise the endpoint has written another one since, or was
// removed since.
func (s *State) isNewerThanKnown(c Change) bool {
	known, ok := s.versions[c.Endpoint.ID]
	switch {
	case !ok:
		return true
	case c.Unreadable:
		return false
	case c.Endpoint.Incarnation != known.incarnation:
		return c.Endpoint.Incarnation > known.incarnation
	default:
		return c.Endpoint.Seq > known.seq
	}
}

// endEvacuationLater ends an evacuation after restoredEvacuationGrace. It changes nothing now.
func (s *State) endEvacuationLater(dataCentre string, now time.Time) bool {
	if s.evacuated[dataCentre] {
		s.evacuationEnds[dataCentre] = now.Add(restoredEvacuationGrace)
	}
	return false
}

// endEvacuations ends the evacuations that were not written again in time.
func (s *State) endEvacuations(now time.Time) {
	for dataCentre, at := range s.evacuationEnds {
		if !now.Before(at) {
			delete(s.evacuationEnds, dataCentre)
			s.evacuate(dataCentre, false)
		}
	}
}
