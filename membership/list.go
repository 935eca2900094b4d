package membership

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// heldCount is a larger number of live VMs that an earlier list had. It is
// divided by until a deadline.
type heldCount struct {
	live  int
	since time.Time
	until time.Time
}

// SetList takes a list of the platform; one that is not newer is ignored.
func (s *State) SetList(list *fleet.List, now time.Time) {
	s.step(now)
	if s.list != nil && list.Revision <= s.list.Revision {
		return
	}
	s.list = list
	s.region = s.region[:0]
	s.others = s.others[:0]
	listed := make(map[string]*peer, len(list.VMs))
	live := 0
	selfLive := false
	for _, vm := range list.VMs {
		if vm.Region == s.self.Region && vm.State == fleet.StateLive {
			live++
		}
		if vm.ID == s.self.ID {
			selfLive = vm.State == fleet.StateLive
			s.takeAddresses(vm)
			continue
		}
		p := s.relist(vm, now)
		listed[vm.ID] = p
		if vm.Region == s.self.Region {
			s.region = append(s.region, p)
		}
	}
	s.peers = listed
	s.sortPeers()
	s.setIntervals(len(s.region) + s.countSources())
	s.setLive(live, selfLive, now)
	s.dirty = true
	s.revision++
}

// countSources sets how many VMs of each other region are sent heartbeats, and
// gives their number in all.
func (s *State) countSources() int {
	inRegion := make(map[string]int)
	for _, p := range s.others {
		inRegion[p.vm.Region]++
	}
	s.sources = sourcesPerRegion
	if len(inRegion) > fewRegions {
		s.sources = 1
	}
	sum := 0
	for _, vms := range inRegion {
		sum += min(vms, s.sources)
	}
	return sum
}

// takeAddresses makes this VM known to callers under the addresses that the
// platform lists for it, not those that it happens to listen on.
func (s *State) takeAddresses(listed fleet.VM) {
	s.self.CallerAddr = listed.CallerAddr
	s.self.PeerAddr = listed.PeerAddr
	s.self.OperatorAddr = listed.OperatorAddr
}

// relist returns the peer of a listed VM. One that moved to another address is a new one.
func (s *State) relist(vm fleet.VM, now time.Time) *peer {
	p := s.peers[vm.ID]
	if p == nil || p.vm.PeerAddr != vm.PeerAddr {
		p = &peer{
			next: now,
		}
	}
	p.vm = vm
	return p
}

func (s *State) sortPeers() {
	slices.SortFunc(s.region, func(a, b *peer) int { return compareIDs(a.vm, b.vm) })
	s.others = append(s.others, rankOthers(s.self, s.list.VMs, s.peers)...)
}

// setLive records the number of live VMs. A smaller number is used only after
// a hold, in which VMs with the older list have stopped lending by it; likewise
// this VM lends only after it has been listed for a hold.
func (s *State) setLive(live int, selfLive bool, now time.Time) {
	hold := holdTerms * withMargin(s.term)
	if live < s.live {
		s.shrunk = append(s.shrunk, heldCount{
			live:  s.live,
			since: now,
			until: now.Add(hold),
		})
	}
	s.live = live
	if selfLive && !s.selfLive {
		s.lendFrom = now.Add(hold)
	}
	s.selfLive = selfLive
}

// dropHeld forgets the numbers whose time is over.
func (s *State) dropHeld(now time.Time) {
	before := len(s.shrunk)
	s.shrunk = slices.DeleteFunc(s.shrunk, func(c heldCount) bool { return !now.Before(c.until) })
	if len(s.shrunk) != before {
		s.dirty = true
	}
}

// divisor is the number of VMs that a single share is divided by.
func (s *State) divisor() int {
	n := s.live
	for _, c := range s.shrunk {
		n = max(n, c.live)
	}
	return n
}

// knows reports whether the VM's present process ran for a hold before the list
// shrank, so that it divides by the larger number too. Another one would count
// a part that is lent to it as more than it is. A VM that lends nothing yet
// can't tell, and needn't.
func (s *State) knows(p *peer) bool {
	if s.steppedAt.Before(s.lendFrom) {
		return true
	}
	hold := holdTerms * withMargin(s.term)
	for _, c := range s.shrunk {
		if c.live > s.live && p.firstAt.After(c.since.Add(-hold)) {
			return false
		}
	}
	return true
}
