// Package membership keeps what one VM knows about the others: who is listed,
// who is reached, who owns which workspace, and which part of the workspaces'
// limits each VM may use. It is control state of one goroutine and pure: time
// comes in as an argument, and messages go out through the caller.
//
// Every listed VM of a region holds 1/n of every workspace's limit and lends it
// to the VMs that it takes for the owners, for one lease term at a time; see
// docs/design/membership.md for the bound that follows.
package membership

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/moment"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// missesToLose are the misses after which a VM is unreachable.
	missesToLose = 2
	// repliesToReturn are the round trips after which it is reachable again.
	repliesToReturn = 2
	// hurry divides the heartbeat interval while a VM's state is in doubt.
	hurry = 4
	// holdTerms are the lease terms for which a change of the list is not
	// used: neither fewer VMs nor this VM's own place in it.
	holdTerms = 2
	// sourcesPerRegion are the VMs of each other region that are sent
	// heartbeats, while there are few other regions; else it is one.
	sourcesPerRegion = 2
	fewRegions       = 4
)

// Options set up a State.
type Options struct {
	Self        fleet.VM
	Incarnation uint64
	// HeartbeatEvery and LeaseTerm give the intervals for the number of VMs that
	// are sent heartbeats; nil means the default.
	HeartbeatEvery func(peers int) time.Duration
	LeaseTerm      func(peers int) time.Duration
}

// State is what one VM knows about the fleet. It is not safe for concurrent use.
type State struct {
	self        fleet.VM
	incarnation uint64
	everyFor    func(peers int) time.Duration
	termFor     func(peers int) time.Duration
	every       time.Duration
	term        time.Duration

	list  *fleet.List
	peers map[string]*peer
	// region holds the listed VMs of the own region but self, by id; others
	// holds those of the other regions, by region and then by rank for self.
	region []*peer
	others []*peer
	// sources are the VMs of each other region that are sent heartbeats.
	sources int

	live     int
	shrunk   []heldCount
	selfLive bool
	lendFrom time.Time
	leaving  bool
	ready    bool
	// rights are those that a VM is known at first hand to hold, by its id.
	rights map[string][]Adoption

	steppedAt time.Time
	// changedAt is when the set of possible owners changed last.
	changedAt time.Time
	wokeAt    time.Time
	dirty     bool
	reach     *memberSet
	recent    []*memberSet
	lent      lender
	loans     map[string]*loan
	revision  uint64
}

// New makes a State that knows no list yet.
func New(o Options) *State {
	s := &State{
		self:        o.Self,
		incarnation: o.Incarnation,
		everyFor:    o.HeartbeatEvery,
		termFor:     o.LeaseTerm,
		peers:       make(map[string]*peer),
		ready:       true,
		reach:       newMemberSet(nil),
		loans:       make(map[string]*loan),
		revision:    1,
	}
	if s.everyFor == nil {
		s.everyFor = DefaultHeartbeatEvery
	}
	if s.termFor == nil {
		s.termFor = func(peers int) time.Duration { return DefaultLeaseTerm(s.everyFor(peers)) }
	}
	s.setIntervals(1)
	return s
}

func (s *State) setIntervals(peers int) {
	s.every = s.everyFor(peers)
	s.term = s.termFor(peers)
}

// SetReady takes whether this VM has a configuration to serve by; it starts as true.
func (s *State) SetReady(ready bool, now time.Time) {
	s.step(now)
	s.ready = ready
	s.dirty = true
}

// Leave marks this VM as stopping, for good: it lends to others and owns nothing.
func (s *State) Leave(now time.Time) {
	s.step(now)
	s.leaving = true
	s.lent.release(s.holder())
	clear(s.loans)
	s.hasten(now)
	s.dirty = true
}

// hasten sends the next heartbeats of the own region at a time, if not earlier.
func (s *State) hasten(at time.Time) {
	for _, p := range s.region {
		p.hasten(at)
	}
}

func (s *State) holder() holder {
	return holder{
		vm:          s.self.ID,
		incarnation: s.incarnation,
	}
}

// step moves the state to now. A process that was stopped for longer than a
// lease term knows nothing any more: all that it heard is older than the loans
// it holds. It lends again, also to itself, after a heartbeat interval, in which
// the others tell it whether its list is old.
func (s *State) step(now time.Time) {
	if !s.steppedAt.IsZero() && now.Sub(s.steppedAt) > s.term {
		s.wake(now)
	}
	if now.After(s.steppedAt) {
		s.steppedAt = now
	}
	s.dropHeld(now)
	for _, p := range s.peers {
		if p.reachable && now.Sub(p.heardAt) > s.term {
			p.lose()
			s.dirty = true
		}
	}
}

func (s *State) wake(now time.Time) {
	s.wokeAt = now
	s.lendFrom = moment.Later(s.lendFrom, now.Add(s.every))
	clear(s.loans)
	for _, p := range s.peers {
		p.lose()
		p.next = now
	}
	s.dirty = true
}

// Due returns the VMs to send a heartbeat now and marks them as sent: all of the
// own region, and a few of each other region by rank.
func (s *State) Due(now time.Time) []fleet.VM {
	s.step(now)
	var due []fleet.VM
	for _, p := range s.watched() {
		if now.Before(p.next) {
			continue
		}
		p.next = now.Add(s.every)
		due = append(due, p.vm)
	}
	return due
}

// Next returns the time of the next Due, at most one heartbeat interval away.
func (s *State) Next(now time.Time) time.Time {
	next := now.Add(s.every)
	for _, p := range s.watched() {
		if p.next.Before(next) {
			next = p.next
		}
	}
	return next
}

// watched returns the peers that are sent heartbeats. In another region those
// that are out of reach are passed over, except the first, which is asked until it returns.
func (s *State) watched() []*peer {
	watched := slices.Clone(s.region)
	region := ""
	left := 0
	for _, p := range s.others {
		if p.vm.Region != region {
			region = p.vm.Region
			left = s.sources
			if p.lost() {
				watched = append(watched, p)
			}
		}
		if left > 0 && !p.lost() && p.vm.State == fleet.StateLive {
			watched = append(watched, p)
			left--
		}
	}
	return watched
}

// Heard takes the beat of a peer. sentAt is when this VM sent the request that
// the beat answers; it is zero for a beat that came with the peer's own
// request, which proves nothing about the way to the peer.
func (s *State) Heard(b Beat, sentAt, now time.Time) {
	s.step(now)
	p := s.peers[b.VM]
	if p == nil {
		return
	}
	if b.Leaving {
		s.lent.release(b.holder())
	}
	if sentAt.IsZero() {
		p.request(b, now, s.every/hurry)
		s.dirty = true
		return
	}
	if sentAt.Before(s.wokeAt) || now.Sub(sentAt) > s.term {
		return
	}
	p.reply(b, sentAt, now, s.every/hurry)
	s.dirty = true
}

// Missed records a heartbeat or a forwarded call that the VM did not answer.
func (s *State) Missed(vm string, now time.Time) {
	s.miss(vm, 1, now)
}

// Refused records that the VM's address refused a connection: its process is
// gone, so it counts as two misses.
func (s *State) Refused(vm string, now time.Time) {
	s.miss(vm, missesToLose, now)
}

func (s *State) miss(vm string, misses int, now time.Time) {
	s.step(now)
	p := s.peers[vm]
	if p == nil {
		return
	}
	p.miss(misses, now, s.every/hurry)
	s.dirty = true
}

// Beat returns what this VM says about itself; the caller adds revisions of
// documents, adoptions, surplus, load and the stamp.
func (s *State) Beat(now time.Time) Beat {
	s.step(now)
	s.refresh()
	b := Beat{
		VM:          s.self.ID,
		Incarnation: s.incarnation,
		Region:      s.self.Region,
		Leaving:     s.leaving,
		Ready:       s.ready,
		ViewHash:    s.reach.hash,
	}
	if s.list != nil {
		b.ListRevision = s.list.Revision
	}
	return b
}

// refresh computes the set of VMs that this VM takes for possible owners. After
// a change it asks soon for the loans that the others then give.
func (s *State) refresh() {
	if !s.dirty {
		return
	}
	s.dirty = false
	var ids []string
	if s.selfLive && s.ready && !s.leaving {
		ids = append(ids, s.self.ID)
	}
	for _, p := range s.region {
		if p.takesWork() && s.knows(p) {
			ids = append(ids, p.vm.ID)
		}
	}
	set := newMemberSet(ids)
	if set.hash == s.reach.hash {
		return
	}
	s.reach = set
	s.changedAt = s.steppedAt
	s.remember(set)
	s.hasten(s.steppedAt.Add(s.every / hurry))
	s.revision++
}
