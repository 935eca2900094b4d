package membership

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// pastLiveCount is the live VM count of an earlier list. It remains the divisor until
// the deadline if it is larger than the current count.
type pastLiveCount struct {
	live  int
	since time.Time
	until time.Time
}

// SetList applies a list from the platform. A list that isn't newer is ignored.
func (s *State) SetList(list *fleet.List, now time.Time) {
	s.advance(now)
	if s.list != nil && list.Revision <= s.list.Revision {
		return
	}
	s.list = list
	s.regionPeers = s.regionPeers[:0]
	s.remotePeers = s.remotePeers[:0]
	listed := make(map[string]*peer, len(list.VMs))
	live := 0
	selfLive := false
	for _, vm := range list.VMs {
		if vm.Region == s.self.Region && vm.State == fleet.StateLive {
			live++
		}
		if vm.ID == s.self.ID {
			selfLive = vm.State == fleet.StateLive
			s.setSelfAddresses(vm)
			continue
		}
		p := s.updatePeer(vm, now)
		listed[vm.ID] = p
		if vm.Region == s.self.Region {
			s.regionPeers = append(s.regionPeers, p)
		}
	}
	s.peers = listed
	s.sortPeers()
	s.setIntervals(len(s.regionPeers) + s.limitRemotePeers())
	s.setLiveCount(live, selfLive, now)
	s.candidatesStale = true
	s.revision++
}

// limitRemotePeers sets how many VMs of each other region receive heartbeats, and
// returns their total.
func (s *State) limitRemotePeers() int {
	inRegion := make(map[string]int)
	for _, p := range s.remotePeers {
		inRegion[p.vm.Region]++
	}
	s.peersPerRemoteRegion = maxPeersPerRemoteRegion
	if len(inRegion) > fewRemoteRegions {
		s.peersPerRemoteRegion = 1
	}
	sum := 0
	for _, vms := range inRegion {
		sum += min(vms, s.peersPerRemoteRegion)
	}
	return sum
}

// setSelfAddresses uses the addresses that the platform lists for this VM, which may
// differ from those it listens on.
func (s *State) setSelfAddresses(listed fleet.VM) {
	s.self.CallerAddr = listed.CallerAddr
	s.self.PeerAddr = listed.PeerAddr
	s.self.OperatorAddr = listed.OperatorAddr
}

// updatePeer returns the peer of a listed VM. A VM with a new address gets a new peer.
func (s *State) updatePeer(vm fleet.VM, now time.Time) *peer {
	p := s.peers[vm.ID]
	if p == nil || p.vm.PeerAddr != vm.PeerAddr {
		p = &peer{
			nextHeartbeat: now,
		}
	}
	p.vm = vm
	return p
}

func (s *State) sortPeers() {
	slices.SortFunc(s.regionPeers, func(a, b *peer) int { return compareIDs(a.vm, b.vm) })
	s.remotePeers = append(s.remotePeers, rankRemotePeers(s.self, s.list.VMs, s.peers)...)
}

// setLiveCount records the number of live VMs. A lower number takes effect after a
// hold, when VMs with the older list no longer have leases outstanding. Likewise, this
// VM grants leases only after it has been listed for a hold.
func (s *State) setLiveCount(live int, selfLive bool, now time.Time) {
	hold := listHoldTerms * withClockMargin(s.leaseTerm)
	if live < s.liveVMs {
		s.pastLiveCounts = append(s.pastLiveCounts, pastLiveCount{
			live:  s.liveVMs,
			since: now,
			until: now.Add(hold),
		})
	}
	s.liveVMs = live
	if selfLive && !s.selfLive {
		s.grantFrom = now.Add(hold)
	}
	s.selfLive = selfLive
}

// expireLiveCounts drops earlier counts whose deadline has passed.
func (s *State) expireLiveCounts(now time.Time) {
	before := len(s.pastLiveCounts)
	s.pastLiveCounts = slices.DeleteFunc(s.pastLiveCounts, func(c pastLiveCount) bool { return !now.Before(c.until) })
	if len(s.pastLiveCounts) != before {
		s.candidatesStale = true
	}
}

// shareDivisor returns the number of VMs that the limits are divided by.
func (s *State) shareDivisor() int {
	n := s.liveVMs
	for _, c := range s.pastLiveCounts {
		n = max(n, c.live)
	}
	return n
}

// sawLargerCount reports whether the VM's current process had run for a hold before the
// list shrank. It then divides by the larger count too; a newer process would
// overestimate a share leased to it. A VM that doesn't grant leases yet can't tell and
// needn't.
func (s *State) sawLargerCount(p *peer) bool {
	if s.advancedAt.Before(s.grantFrom) {
		return true
	}
	hold := listHoldTerms * withClockMargin(s.leaseTerm)
	for _, c := range s.pastLiveCounts {
		if c.live > s.liveVMs && p.firstHeardAt.After(c.since.Add(-hold)) {
			return false
		}
	}
	return true
}
