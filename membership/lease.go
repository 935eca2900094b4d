package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Lease is a lease of the grantor's share of every workspace whose owner among Members
// is the holder. It starts when the holder sent the request. A zero Term means that
// nothing was granted.
type Lease struct {
	// ID increases with each lease of a grantor.
	ID   uint64
	Term time.Duration
	Hash uint64
	// Members are sorted VM IDs. They are omitted if Hash equals the hash in the
	// request.
	Members []string
}

// memberSet is an immutable sorted set of VM IDs.
type memberSet struct {
	ids  []string
	hash uint64
}

func newMemberSet(ids []string) *memberSet {
	slices.Sort(ids)
	ids = slices.Compact(ids)
	d := xxhash.New()
	for _, id := range ids {
		// Digest writes never fail.
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

// process identifies one incarnation of a VM's process.
type process struct {
	vm          string
	incarnation uint64
}

// leaseTable records outstanding leases, grouped by the member set they were granted
// for.
//
// A workspace must never have two holders at once. Every granted set therefore contains
// all current holders, and a VM is granted nothing while a lease is outstanding whose
// set lacks it. Any two holders are then members of both sets, so they agree on which
// ranks first.
type leaseTable struct {
	groups []*leaseGroup
	lastID uint64
}

type leaseGroup struct {
	members *memberSet
	leases  map[process]grantedLease
}

// grantedLease is an outstanding lease.
type grantedLease struct {
	id        uint64
	expiresAt time.Time
}

// grant records a lease and returns its member set and number. ok is false if nothing
// may be granted to the process now.
func (l *leaseTable) grant(to process, candidates *memberSet, until, now time.Time) (members *memberSet, id uint64, ok bool) {
	l.expire(now)
	if !candidates.has(to.vm) || l.conflicts(to) {
		return nil, 0, false
	}
	// Numbers follow the clock, so that they also increase across restarts.
	l.lastID = max(l.lastID+1, uint64(now.UnixNano()))
	members = l.withHolders(candidates)
	l.record(to, members, grantedLease{
		id:        l.lastID,
		expiresAt: until,
	})
	return members, l.lastID, true
}

// acknowledge ends the holder's leases that precede the one it reports: a holder drops
// a lease permanently when it accepts one with a higher number. A number above all
// granted ones came from an earlier incarnation of this VM whose clock was ahead, and
// is ignored.
func (l *leaseTable) acknowledge(h process, id uint64) {
	if id > l.lastID {
		return
	}
	for _, group := range l.groups {
		if out, ok := group.leases[h]; ok && out.id < id {
			delete(group.leases, h)
		}
	}
}

func (l *leaseTable) expire(now time.Time) {
	l.groups = slices.DeleteFunc(l.groups, func(group *leaseGroup) bool {
		for h, lease := range group.leases {
			if !now.Before(lease.expiresAt) {
				delete(group.leases, h)
			}
		}
		return len(group.leases) == 0
	})
}

func (l *leaseTable) conflicts(to process) bool {
	for _, group := range l.groups {
		lacks := !group.members.has(to.vm)
		for h := range group.leases {
			if h != to && (lacks || h.vm == to.vm) {
				return true
			}
		}
	}
	return false
}

func (l *leaseTable) withHolders(candidates *memberSet) *memberSet {
	var extra []string
	for _, group := range l.groups {
		if group.members.hash == candidates.hash {
			continue
		}
		for h := range group.leases {
			if !candidates.has(h.vm) {
				extra = append(extra, h.vm)
			}
		}
	}
	if len(extra) == 0 {
		return candidates
	}
	return newMemberSet(append(extra, candidates.ids...))
}

func (l *leaseTable) record(to process, members *memberSet, lease grantedLease) {
	i := slices.IndexFunc(l.groups, func(group *leaseGroup) bool { return group.members.hash == members.hash })
	if i < 0 {
		i = len(l.groups)
		l.groups = append(l.groups, &leaseGroup{
			members: members,
			leases:  make(map[process]grantedLease),
		})
	}
	l.groups[i].leases[to] = lease
}

// release ends all leases of a holder that has reported that it uses none.
func (l *leaseTable) release(h process) {
	for _, group := range l.groups {
		delete(group.leases, h)
	}
}

// GrantLease answers the heartbeat of a VM in the own region. Its beat must have been passed
// to HandleBeat first. The grantor counts the lease for a margin longer than the holder
// does, since their clocks may run at different rates.
func (s *State) GrantLease(to string, theirHash uint64, now time.Time) Lease {
	s.advance(now)
	p := s.peers[to]
	if p == nil || p.requestIncarnation != p.beat.Incarnation {
		return Lease{}
	}
	members, id, ok := s.grantLease(p.beat.process(), now)
	if !ok {
		return Lease{}
	}
	l := Lease{
		ID:   id,
		Term: s.leaseTerm,
		Hash: members.hash,
	}
	if members.hash != theirHash {
		l.Members = slices.Clone(members.ids)
	}
	return l
}

// AcknowledgeLease processes the lease number that a VM reported in the heartbeat last
// passed to HandleBeat.
func (s *State) AcknowledgeLease(from string, id uint64) {
	p := s.peers[from]
	if p == nil || p.requestIncarnation != p.beat.Incarnation {
		return
	}
	s.granted.acknowledge(p.beat.process(), id)
}

func (s *State) grantLease(to process, now time.Time) (*memberSet, uint64, bool) {
	s.refreshCandidates()
	if !s.selfLive || now.Before(s.grantFrom) || s.listOutdated() {
		return nil, 0, false
	}
	return s.granted.grant(to, s.candidates, now.Add(withClockMargin(s.leaseTerm)), now)
}

// listOutdated reports whether another VM has a newer list. With an outdated list this
// VM might grant a share that it no longer has.
func (s *State) listOutdated() bool {
	for _, p := range s.regionPeers {
		if p.beat.ListRevision > s.list.Revision {
			return true
		}
	}
	return false
}

// renewOwnLease renews this VM's lease of its own share.
func (s *State) renewOwnLease(now time.Time) {
	members, id, ok := s.grantLease(s.process(), now)
	if !ok {
		return
	}
	s.recordLease(s.self.ID, members, id, now, now.Add(s.leaseTerm), now)
	s.granted.acknowledge(s.process(), id)
}
