package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Loan is what a lender answers to a heartbeat: its share of every workspace
// whose owner among Members is the borrower. It starts when the borrower sent
// the request. A Term of zero lends nothing.
type Loan struct {
	// ID rises with each loan of a lender.
	ID   uint64
	Term time.Duration
	Hash uint64
	// Members are sorted ids, left out when Hash equals the hash of the request.
	Members []string
}

// memberSet is an immutable sorted set of VM ids.
type memberSet struct {
	ids  []string
	hash uint64
}

func newMemberSet(ids []string) *memberSet {
	slices.Sort(ids)
	ids = slices.Compact(ids)
	d := xxhash.New()
	for _, id := range ids {
		// A Digest never fails to write.
		_, _ = d.WriteString(id)
		_, _ = d.Write([]byte{0})
	}
	return &memberSet{
		ids:  ids,
		hash: d.Sum64(),
	}
}

func (m *memberSet) has(id string) bool {
	_, ok := slices.BinarySearch(m.ids, id)
	return ok
}

// holder is one life of a process that holds a loan.
type holder struct {
	vm          string
	incarnation uint64
}

// lender records the loans that are out, by the member set they were given for.
//
// A workspace must never count for two holders at once. It cannot if each
// holder is a member of the set of every other loan: whoever ranks first in
// its own set then ranks before the other. So every set lent contains all
// holders, and a VM is lent nothing while a loan is out whose set lacks it.
type lender struct {
	sets []*lentSet
	last uint64
}

type lentSet struct {
	members *memberSet
	out     map[holder]lentLoan
}

// lentLoan is a loan that is out.
type lentLoan struct {
	id    uint64
	until time.Time
}

// lend returns the set to lend for and the number of the loan, and records it;
// ok is false when nothing may be lent to the holder now.
func (l *lender) lend(to holder, reach *memberSet, until, now time.Time) (members *memberSet, id uint64, ok bool) {
	l.expire(now)
	if !reach.has(to.vm) || l.conflicts(to) {
		return nil, 0, false
	}
	// Numbers follow the clock, so that they also rise over a restart.
	l.last = max(l.last+1, uint64(now.UnixNano()))
	members = l.withHolders(reach)
	l.record(to, members, lentLoan{
		id:    l.last,
		until: until,
	})
	return members, l.last, true
}

// acknowledge ends the holder's loans before one that it says it holds: a
// borrower drops a loan for good when it takes one with a higher number. A
// number above all that were given is an earlier lender's under the same id,
// whose clock was ahead, and says nothing about this one's loans.
func (l *lender) acknowledge(h holder, id uint64) {
	if id > l.last {
		return
	}
	for _, set := range l.sets {
		if out, ok := set.out[h]; ok && out.id < id {
			delete(set.out, h)
		}
	}
}

func (l *lender) expire(now time.Time) {
	l.sets = slices.DeleteFunc(l.sets, func(set *lentSet) bool {
		for h, loan := range set.out {
			if !now.Before(loan.until) {
				delete(set.out, h)
			}
		}
		return len(set.out) == 0
	})
}

func (l *lender) conflicts(to holder) bool {
	for _, set := range l.sets {
		lacks := !set.members.has(to.vm)
		for h := range set.out {
			if h != to && (lacks || h.vm == to.vm) {
				return true
			}
		}
	}
	return false
}

func (l *lender) withHolders(reach *memberSet) *memberSet {
	var extra []string
	for _, set := range l.sets {
		if set.members.hash == reach.hash {
			continue
		}
		for h := range set.out {
			if !reach.has(h.vm) {
				extra = append(extra, h.vm)
			}
		}
	}
	if len(extra) == 0 {
		return reach
	}
	return newMemberSet(append(extra, reach.ids...))
}

func (l *lender) record(to holder, members *memberSet, loan lentLoan) {
	i := slices.IndexFunc(l.sets, func(set *lentSet) bool { return set.members.hash == members.hash })
	if i < 0 {
		i = len(l.sets)
		l.sets = append(l.sets, &lentSet{
			members: members,
			out:     make(map[holder]lentLoan),
		})
	}
	l.sets[i].out[to] = loan
}

// release ends the holder's loans at once; it has said that it uses none any more.
func (l *lender) release(h holder) {
	for _, set := range l.sets {
		delete(set.out, h)
	}
}

// Lend answers the heartbeat of a VM of the own region, whose beat must have
// been given to Heard just before. The loan is outstanding for a margin longer
// than the borrower counts it, because their clocks may run at different rates.
func (s *State) Lend(to string, theirHash uint64, now time.Time) Loan {
	s.step(now)
	p := s.peers[to]
	if p == nil || p.requester != p.beat.Incarnation {
		return Loan{}
	}
	members, id, ok := s.lend(p.beat.holder(), now)
	if !ok {
		return Loan{}
	}
	l := Loan{
		ID:   id,
		Term: s.term,
		Hash: members.hash,
	}
	if members.hash != theirHash {
		l.Members = slices.Clone(members.ids)
	}
	return l
}

// Acknowledge takes the number of the loan that a VM said it holds from this
// one, on the heartbeat that was given to Heard just before.
func (s *State) Acknowledge(from string, id uint64) {
	p := s.peers[from]
	if p == nil || p.requester != p.beat.Incarnation {
		return
	}
	s.lent.acknowledge(p.beat.holder(), id)
}

func (s *State) lend(to holder, now time.Time) (*memberSet, uint64, bool) {
	s.refresh()
	if !s.selfLive || now.Before(s.lendFrom) || s.behind() {
		return nil, 0, false
	}
	return s.lent.lend(to, s.reach, now.Add(withMargin(s.term)), now)
}

// behind reports whether another VM has a newer list. By an old one this VM might
// lend a part that is no longer its own.
func (s *State) behind() bool {
	for _, p := range s.region {
		if p.beat.ListRevision > s.list.Revision {
			return true
		}
	}
	return false
}

// lendToSelf renews the loan of this VM's own share to itself.
func (s *State) lendToSelf(now time.Time) {
	members, id, ok := s.lend(s.holder(), now)
	if !ok {
		return
	}
	s.keep(s.self.ID, members, id, now, now.Add(s.term), now)
	s.lent.acknowledge(s.holder(), id)
}
