package membership

import (
	"slices"
	"time"
)

const (
	// historySpan is how far back the steps of a share are kept. It is the
	// longest time for which a limit may be saved up.
	historySpan = time.Minute
	// recentSets are the own member sets kept to resolve a loan's hash.
	recentSets = 8
)

// loan is what one lender lends to this VM.
type loan struct {
	// id is the number of the loan and lender the incarnation that gave it.
	id     uint64
	lender uint64
	sentAt time.Time
	// takenAt is when the loan was taken. What was asked for before then and
	// has a lower number was given earlier, and is never used again.
	takenAt time.Time
	until   time.Time
	// epochs are the member sets lent for without a gap, oldest first.
	epochs []epoch
}

// epoch is a member set with the time from which it was lent for.
type epoch struct {
	members *memberSet
	from    time.Time
}

// Borrowed takes the loan that answered the heartbeat sent at sentAt.
func (s *State) Borrowed(from string, l Loan, sentAt, now time.Time) {
	s.step(now)
	if s.leaving || sentAt.Before(s.wokeAt) {
		return
	}
	if l.Term <= 0 {
		s.askSoon(from, now)
		return
	}
	members := s.resolve(l)
	if members == nil {
		return
	}
	if s.keep(from, members, l.ID, sentAt, sentAt.Add(l.Term), now) {
		// The lender can lend to new VMs once it knows that the old set is dropped.
		s.askSoon(from, now)
	}
}

// HeldLoan returns the number of the last loan taken from a VM's present
// incarnation, to be said on the next heartbeat to it; zero means none.
func (s *State) HeldLoan(from string) uint64 {
	l := s.loans[from]
	if l == nil || l.lender != s.lenderOf(from) {
		return 0
	}
	return l.id
}

// lenderOf returns the incarnation that lends under a VM's id.
func (s *State) lenderOf(vm string) uint64 {
	if p := s.peers[vm]; p != nil {
		return p.beat.Incarnation
	}
	return s.incarnation
}

// askSoon hastens the next heartbeat to a lender while owners are changing.
func (s *State) askSoon(lender string, now time.Time) {
	p := s.peers[lender]
	if p == nil || now.Sub(s.changedAt) > holdTerms*s.term {
		return
	}
	p.hasten(now.Add(s.every / hurry))
}

// keep records a loan, and says whether it is for another member set than the
// one before. A reply that was overtaken by a later one is ignored.
func (s *State) keep(from string, members *memberSet, id uint64, sentAt, until, now time.Time) bool {
	if !now.Before(until) {
		return false
	}
	l := s.loans[from]
	if l == nil {
		l = &loan{}
		s.loans[from] = l
	}
	if !now.Before(l.until) {
		l.epochs = nil
	}
	if sentAt.Before(l.sentAt) || (id < l.id && !sentAt.After(l.takenAt)) {
		return false
	}
	l.id = id
	l.lender = s.lenderOf(from)
	l.sentAt = sentAt
	l.takenAt = now
	l.until = until
	return l.extend(members, now)
}

func (l *loan) extend(members *memberSet, now time.Time) bool {
	last := len(l.epochs) - 1
	changed := last < 0 || l.epochs[last].members.hash != members.hash
	if changed {
		// Views that were published share the old slice.
		l.epochs = append(slices.Clip(l.epochs), epoch{
			members: members,
			from:    now,
		})
	}
	for len(l.epochs) > 1 && now.Sub(l.epochs[1].from) > historySpan {
		l.epochs = l.epochs[1:]
	}
	return changed
}

// resolve returns the loan's member set, which is one of the own recent ones when it was left out.
func (s *State) resolve(l Loan) *memberSet {
	if len(l.Members) > 0 {
		return newMemberSet(slices.Clone(l.Members))
	}
	i := slices.IndexFunc(s.recent, func(m *memberSet) bool { return m.hash == l.Hash })
	if i < 0 {
		return nil
	}
	return s.recent[i]
}

func (s *State) remember(set *memberSet) {
	s.recent = slices.DeleteFunc(s.recent, func(m *memberSet) bool { return m.hash == set.hash })
	if len(s.recent) == recentSets {
		s.recent = slices.Delete(s.recent, 0, 1)
	}
	s.recent = append(s.recent, set)
}
