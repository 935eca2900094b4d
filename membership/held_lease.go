package membership

import (
	"slices"
	"time"
)

const (
	// shareHistorySpan is how far back the changes of a share are kept. It is the
	// longest time for which a limit may accumulate.
	shareHistorySpan = time.Minute
	// maxRecentMemberSets is how many of the own member sets are kept to resolve the
	// hash of a lease without members.
	maxRecentMemberSets = 8
)

// heldLease is the latest lease from one grantor.
type heldLease struct {
	// id is the number of the lease. grantorIncarnation is the incarnation that granted
	// it.
	id                 uint64
	grantorIncarnation uint64
	sentAt             time.Time
	// acceptedAt is when the lease was accepted. A lease that was requested earlier and
	// has a lower number was granted earlier and is ignored.
	acceptedAt time.Time
	expiresAt  time.Time
	// epochs are the member sets that the grantor has leased for without a gap, oldest
	// first.
	epochs []memberEpoch
}

// memberEpoch is a member set and the time from which leases named it.
type memberEpoch struct {
	members *memberSet
	from    time.Time
}

// AcceptLease accepts the lease from the reply to a heartbeat sent at sentAt.
func (s *State) AcceptLease(from string, l Lease, sentAt, now time.Time) {
	s.advance(now)
	if s.leaving || sentAt.Before(s.resumedAt) {
		return
	}
	if l.Term <= 0 {
		s.heartbeatSoon(from, now)
		return
	}
	members := s.resolveMembers(l)
	if members == nil {
		return
	}
	if s.recordLease(from, members, l.ID, sentAt, sentAt.Add(l.Term), now) {
		// The grantor can serve new VMs once it learns that the old set is no longer
		// used.
		s.heartbeatSoon(from, now)
	}
}

// HeldLeaseID returns the number of the last lease accepted from a VM's current
// incarnation, which the next heartbeat to it acknowledges. Zero means none.
func (s *State) HeldLeaseID(from string) uint64 {
	l := s.heldLeases[from]
	if l == nil || l.grantorIncarnation != s.grantorIncarnation(from) {
		return 0
	}
	return l.id
}

// grantorIncarnation returns the current incarnation of a VM that grants leases.
func (s *State) grantorIncarnation(vm string) uint64 {
	if p := s.peers[vm]; p != nil {
		return p.beat.Incarnation
	}
	return s.incarnation
}

// heartbeatSoon moves the next heartbeat to a grantor forward while owners are
// changing.
func (s *State) heartbeatSoon(grantor string, now time.Time) {
	p := s.peers[grantor]
	if p == nil || now.Sub(s.candidatesChangedAt) > listHoldTerms*s.leaseTerm {
		return
	}
	p.scheduleHeartbeatBy(now.Add(s.heartbeatInterval / fastIntervalDivisor))
}

// recordLease records a lease and reports whether its member set differs from the
// previous one. A reply that a later one has overtaken is ignored.
func (s *State) recordLease(from string, members *memberSet, id uint64, sentAt, until, now time.Time) bool {
	if !now.Before(until) {
		return false
	}
	l := s.heldLeases[from]
	if l == nil {
		l = &heldLease{}
		s.heldLeases[from] = l
	}
	if !now.Before(l.expiresAt) {
		l.epochs = nil
	}
	if sentAt.Before(l.sentAt) || (id < l.id && !sentAt.After(l.acceptedAt)) {
		return false
	}
	l.id = id
	l.grantorIncarnation = s.grantorIncarnation(from)
	l.sentAt = sentAt
	l.acceptedAt = now
	l.expiresAt = until
	return l.updateEpochs(members, now)
}

func (l *heldLease) updateEpochs(members *memberSet, now time.Time) bool {
	last := len(l.epochs) - 1
	changed := last < 0 || l.epochs[last].members.hash != members.hash
	if changed {
		// Published views share the old slice, so append must not write to it.
		l.epochs = append(slices.Clip(l.epochs), memberEpoch{
			members: members,
			from:    now,
		})
	}
	for len(l.epochs) > 1 && now.Sub(l.epochs[1].from) > shareHistorySpan {
		l.epochs = l.epochs[1:]
	}
	return changed
}

// resolveMembers returns the lease's member set. If the lease has only a hash, the set
// is looked up among the own recent ones.
func (s *State) resolveMembers(l Lease) *memberSet {
	if len(l.Members) > 0 {
		return newMemberSet(slices.Clone(l.Members))
	}
	i := slices.IndexFunc(s.recentMemberSets, func(m *memberSet) bool { return m.hash == l.Hash })
	if i < 0 {
		return nil
	}
	return s.recentMemberSets[i]
}

func (s *State) rememberMembers(set *memberSet) {
	s.recentMemberSets = slices.DeleteFunc(s.recentMemberSets, func(m *memberSet) bool { return m.hash == set.hash })
	if len(s.recentMemberSets) == maxRecentMemberSets {
		s.recentMemberSets = slices.Delete(s.recentMemberSets, 0, 1)
	}
	s.recentMemberSets = append(s.recentMemberSets, set)
}
