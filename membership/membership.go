// Package membership tracks what one VM knows about the others: which are listed, which
// are reachable, which own a workspace, and which share of each workspace's limit a VM
// may use. State is owned by one goroutine and does no I/O: callers pass in the time
// and send the messages.
//
// Every listed VM of a region has 1/n of every workspace's limit and leases that share
// to the VMs it considers owners, one lease term at a time. See
// docs/design/membership.md for the resulting bound.
package membership

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/moment"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// missesUntilUnreachable is the number of misses after which a VM is unreachable.
	missesUntilUnreachable = 2
	// repliesUntilReachable is the number of replies in a row after which a VM is
	// reachable.
	repliesUntilReachable = 2
	// fastIntervalDivisor shortens the heartbeat interval while a VM's state is
	// uncertain.
	fastIntervalDivisor = 4
	// listHoldTerms is the number of lease terms before a list change takes effect that
	// lowers the VM count or adds this VM.
	listHoldTerms = 2
	// maxPeersPerRemoteRegion is how many VMs of each other region receive heartbeats.
	// With more than fewRemoteRegions other regions it is one.
	maxPeersPerRemoteRegion = 2
	fewRemoteRegions        = 4
)

// Options configures a State.
type Options struct {
	Self        fleet.VM
	Incarnation uint64
	// HeartbeatEvery and LeaseTerm return the durations for a number of heartbeat
	// peers. Nil selects DefaultHeartbeatEvery and DefaultLeaseTerm.
	HeartbeatEvery func(peers int) time.Duration
	LeaseTerm      func(peers int) time.Duration
}

// State is one VM's knowledge of the fleet. It is not safe for concurrent use.
type State struct {
	self                 fleet.VM
	incarnation          uint64
	heartbeatIntervalFor func(peers int) time.Duration
	leaseTermFor         func(peers int) time.Duration
	heartbeatInterval    time.Duration
	leaseTerm            time.Duration

	list  *fleet.List
	peers map[string]*peer
	// regionPeers holds the other listed VMs of the own region, sorted by ID.
	// remotePeers holds those of other regions, sorted by region and then by rank for
	// self.
	regionPeers []*peer
	remotePeers []*peer
	// peersPerRemoteRegion is how many VMs of each other region receive heartbeats.
	peersPerRemoteRegion int

	liveVMs        int
	pastLiveCounts []pastLiveCount
	selfLive       bool
	grantFrom      time.Time
	leaving        bool
	ready          bool
	// adoptedRights maps a VM ID to the execution rights it holds, as set by SetAdoptedRights.
	adoptedRights map[string][]Adoption

	advancedAt time.Time
	// candidatesChangedAt is when the set of possible owners last changed.
	candidatesChangedAt time.Time
	// resumedAt is when the last pause of the process ended.
	resumedAt        time.Time
	candidatesStale  bool
	candidates       *memberSet
	recentMemberSets []*memberSet
	granted          leaseTable
	heldLeases       map[string]*heldLease
	revision         uint64
}

// New returns a State without a VM list.
func New(o Options) *State {
	s := &State{
		self:                 o.Self,
		incarnation:          o.Incarnation,
		heartbeatIntervalFor: o.HeartbeatEvery,
		leaseTermFor:         o.LeaseTerm,
		peers:                make(map[string]*peer),
		ready:                true,
		candidates:           newMemberSet(nil),
		heldLeases:           make(map[string]*heldLease),
		revision:             1,
	}
	if s.heartbeatIntervalFor == nil {
		s.heartbeatIntervalFor = DefaultHeartbeatEvery
	}
	if s.leaseTermFor == nil {
		s.leaseTermFor = func(peers int) time.Duration { return DefaultLeaseTerm(s.heartbeatIntervalFor(peers)) }
	}
	s.setIntervals(1)
	return s
}

func (s *State) setIntervals(peers int) {
	s.heartbeatInterval = s.heartbeatIntervalFor(peers)
	s.leaseTerm = s.leaseTermFor(peers)
}

// SetReady sets whether this VM has a configuration to serve with. The default is true.
func (s *State) SetReady(ready bool, now time.Time) {
	s.advance(now)
	s.ready = ready
	s.candidatesStale = true
}

// Leave marks this VM as stopping, permanently. It continues to grant leases to others
// but owns no workspace.
func (s *State) Leave(now time.Time) {
	s.advance(now)
	s.leaving = true
	s.granted.release(s.process())
	clear(s.heldLeases)
	s.scheduleRegionHeartbeatsBy(now)
	s.candidatesStale = true
}

// scheduleRegionHeartbeatsBy moves the next heartbeat to each VM of the own region
// forward to the given time if it is later.
func (s *State) scheduleRegionHeartbeatsBy(at time.Time) {
	for _, p := range s.regionPeers {
		p.scheduleHeartbeatBy(at)
	}
}

func (s *State) process() process {
	return process{
		vm:          s.self.ID,
		incarnation: s.incarnation,
	}
}

// advance moves the state to now. If the process was paused for longer than a lease
// term, everything it has heard is stale. It then waits one heartbeat interval before
// it grants leases again, also to itself, so that its peers can report a newer list.
func (s *State) advance(now time.Time) {
	if !s.advancedAt.IsZero() && now.Sub(s.advancedAt) > s.leaseTerm {
		s.resume(now)
	}
	if now.After(s.advancedAt) {
		s.advancedAt = now
	}
	s.expireLiveCounts(now)
	for _, p := range s.peers {
		if p.reachable && now.Sub(p.heardAt) > s.leaseTerm {
			p.markUnreachable()
			s.candidatesStale = true
		}
	}
}

func (s *State) resume(now time.Time) {
	s.resumedAt = now
	s.grantFrom = moment.Later(s.grantFrom, now.Add(s.heartbeatInterval))
	clear(s.heldLeases)
	for _, p := range s.peers {
		p.markUnreachable()
		p.nextHeartbeat = now
	}
	s.candidatesStale = true
}

// Due returns the VMs that are due a heartbeat and schedules their next one. It covers
// all VMs of the own region and the highest-ranked ones of each other region.
func (s *State) Due(now time.Time) []fleet.VM {
	s.advance(now)
	var due []fleet.VM
	for _, p := range s.heartbeatPeers() {
		if now.Before(p.nextHeartbeat) {
			continue
		}
		p.nextHeartbeat = now.Add(s.heartbeatInterval)
		due = append(due, p.vm)
	}
	return due
}

// Next returns when Due must be called again, at most one heartbeat interval from now.
func (s *State) Next(now time.Time) time.Time {
	next := now.Add(s.heartbeatInterval)
	for _, p := range s.heartbeatPeers() {
		if p.nextHeartbeat.Before(next) {
			next = p.nextHeartbeat
		}
	}
	return next
}

// heartbeatPeers returns the peers that receive heartbeats. In other regions
// unreachable VMs are skipped, except the first in rank, which is probed until it
// returns.
func (s *State) heartbeatPeers() []*peer {
	peers := slices.Clone(s.regionPeers)
	region := ""
	left := 0
	for _, p := range s.remotePeers {
		if p.vm.Region != region {
			region = p.vm.Region
			left = s.peersPerRemoteRegion
			if p.foundUnreachable() {
				peers = append(peers, p)
			}
		}
		if left > 0 && !p.foundUnreachable() && p.vm.State == fleet.StateLive {
			peers = append(peers, p)
			left--
		}
	}
	return peers
}

// HandleBeat processes a peer's beat. sentAt is when this VM sent the request that the beat
// answers. It is zero if the beat came with the peer's own request, which doesn't show
// that the peer can be reached.
func (s *State) HandleBeat(b Beat, sentAt, now time.Time) {
	s.advance(now)
	p := s.peers[b.VM]
	if p == nil {
		return
	}
	if b.Leaving {
		s.granted.release(b.process())
	}
	if sentAt.IsZero() {
		p.handleRequest(b, now, s.heartbeatInterval/fastIntervalDivisor)
		s.candidatesStale = true
		return
	}
	if sentAt.Before(s.resumedAt) || now.Sub(sentAt) > s.leaseTerm {
		return
	}
	p.handleReply(b, sentAt, now, s.heartbeatInterval/fastIntervalDivisor)
	s.candidatesStale = true
}

// RecordMiss records a heartbeat or forwarded call that the VM didn't answer.
func (s *State) RecordMiss(vm string, now time.Time) {
	s.recordMiss(vm, 1, now)
}

// RecordRefused records a refused connection. It counts as two misses, as the process is
// gone.
func (s *State) RecordRefused(vm string, now time.Time) {
	s.recordMiss(vm, missesUntilUnreachable, now)
}

func (s *State) recordMiss(vm string, misses int, now time.Time) {
	s.advance(now)
	p := s.peers[vm]
	if p == nil {
		return
	}
	p.recordMiss(misses, now, s.heartbeatInterval/fastIntervalDivisor)
	s.candidatesStale = true
}

// Beat returns this VM's own beat. The caller adds the document revisions, adoptions,
// surplus, load and stamp.
func (s *State) Beat(now time.Time) Beat {
	s.advance(now)
	s.refreshCandidates()
	b := Beat{
		VM:          s.self.ID,
		Incarnation: s.incarnation,
		Region:      s.self.Region,
		Leaving:     s.leaving,
		Ready:       s.ready,
		ViewHash:    s.candidates.hash,
	}
	if s.list != nil {
		b.ListRevision = s.list.Revision
	}
	return b
}

// refreshCandidates recomputes the set of possible owners. If it changes, the next
// heartbeats to the region are sent early to obtain the new leases.
func (s *State) refreshCandidates() {
	if !s.candidatesStale {
		return
	}
	s.candidatesStale = false
	var ids []string
	if s.selfLive && s.ready && !s.leaving {
		ids = append(ids, s.self.ID)
	}
	for _, p := range s.regionPeers {
		if p.mayOwn() && s.sawLargerCount(p) {
			ids = append(ids, p.vm.ID)
		}
	}
	set := newMemberSet(ids)
	if set.hash == s.candidates.hash {
		return
	}
	s.candidates = set
	s.candidatesChangedAt = s.advancedAt
	s.rememberMembers(set)
	s.scheduleRegionHeartbeatsBy(s.advancedAt.Add(s.heartbeatInterval / fastIntervalDivisor))
	s.revision++
}
