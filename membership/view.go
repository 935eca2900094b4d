package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Member is a VM as shown by a View.
type Member struct {
	VM fleet.VM
	// Incarnation is zero for a VM that has never answered.
	Incarnation       uint64
	Reachable         bool
	Leaving           bool
	Ready             bool
	HeardAt           time.Time
	RoundTrip         time.Duration
	Load              int
	ListRevision      uint64
	DocumentsRevision uint64
	DocumentsHash     uint64
}

// View is an immutable snapshot of the fleet that request handlers read.
type View struct {
	// Revision increases when the list or the set of possible owners changes.
	Revision     uint64
	ListRevision uint64
	Self         fleet.VM
	// Region holds the listed VMs of the own region, including Self, sorted by ID.
	// Others holds those of other regions, sorted by region and then by rank for this
	// VM.
	Region []Member
	Others []Member
	// VMs is the number of live VMs of the own region that limits are divided by. Just
	// after the list has shrunk it is still the larger number.
	VMs int
	// Peers is the number of VMs that receive heartbeats.
	Peers int
	// Leaving is set permanently once this VM is stopping.
	Leaving bool
	// GrantsFrom is when this VM begins to grant leases after a start, a pause or its
	// listing.
	GrantsFrom time.Time

	entryVMs      []entryVM
	rightsHolders map[process]rightsHolder
	surplus       map[string][]Surplus
	shares        shareIndex
}

// entryVM is a VM that may own workspaces, with the hash of its ID.
type entryVM struct {
	vm     fleet.VM
	idHash uint64
}

type rightsHolder struct {
	vm    fleet.VM
	until time.Time
}

// View returns a snapshot for now. It renews this VM's own lease, so call it and
// publish the result after every change of the state.
func (s *State) View(now time.Time) *View {
	s.advance(now)
	if !s.leaving && s.ready {
		s.renewOwnLease(now)
	}
	s.refreshCandidates()
	v := &View{
		Revision:      s.revision,
		Self:          s.self,
		VMs:           s.shareDivisor(),
		Leaving:       s.leaving,
		GrantsFrom:    s.grantFrom,
		entryVMs:      s.entryVMs(),
		rightsHolders: s.findRightsHolders(),
		surplus:       s.surplusByTarget(),
		shares:        s.buildShareIndex(now),
	}
	if s.list != nil {
		v.ListRevision = s.list.Revision
	}
	v.Region = s.regionMembers()
	v.Others = toMembers(s.remotePeers)
	return v
}

func (s *State) entryVMs() []entryVM {
	vms := make([]entryVM, 0, len(s.candidates.ids))
	for _, id := range s.candidates.ids {
		vm := s.self
		if p := s.peers[id]; p != nil {
			vm = p.vm
		}
		vms = append(vms, entryVM{
			vm:     vm,
			idHash: entry.Hash(id),
		})
	}
	return vms
}

func (s *State) regionMembers() []Member {
	region := toMembers(s.regionPeers)
	i, _ := slices.BinarySearchFunc(region, s.self.ID, func(m Member, id string) int {
		return cmp.Compare(m.VM.ID, id)
	})
	self := Member{
		VM:          s.self,
		Incarnation: s.incarnation,
		Reachable:   true,
		Leaving:     s.leaving,
		Ready:       s.ready,
		HeardAt:     s.advancedAt,
	}
	return slices.Insert(region, i, self)
}

func toMembers(peers []*peer) []Member {
	out := make([]Member, 0, len(peers)+1)
	for _, p := range peers {
		out = append(out, Member{
			VM:                p.vm,
			Incarnation:       p.beat.Incarnation,
			Reachable:         p.reachable,
			Leaving:           p.beat.Leaving || p.vm.State == fleet.StateLeaving,
			Ready:             p.beat.Ready,
			HeardAt:           p.heardAt,
			RoundTrip:         p.roundTrip,
			Load:              p.beat.Load,
			ListRevision:      p.beat.ListRevision,
			DocumentsRevision: p.beat.DocumentsRevision,
			DocumentsHash:     p.beat.DocumentsHash,
		})
	}
	return out
}

func (s *State) surplusByTarget() map[string][]Surplus {
	offers := make(map[string][]Surplus)
	for _, p := range s.remotePeers {
		if !p.mayOwn() {
			continue
		}
		for _, o := range p.beat.Surplus {
			o.Region = p.vm.Region
			o.VM = p.vm.ID
			offers[o.Target] = append(offers[o.Target], o)
		}
	}
	return offers
}

// OwnersByRank returns the region's VMs that may own workspaces, in the workspace's rank
// order.
func (v *View) OwnersByRank(workspace string) []fleet.VM {
	vms := make([]fleet.VM, 0, len(v.entryVMs))
	for _, e := range v.entryVMs {
		vms = append(vms, e.vm)
	}
	return entry.Rank(workspace, vms)
}

// Owner returns the first of OwnersByRank without allocating. ok is false if there is none.
func (v *View) Owner(workspace string) (vm fleet.VM, ok bool) {
	h := entry.Hash(workspace)
	owner := -1
	var best uint64
	for i, e := range v.entryVMs {
		// Entries are sorted by ID, so a tie keeps the lower ID.
		if score := entry.Score(h, e.idHash); owner < 0 || score > best {
			owner = i
			best = score
		}
	}
	if owner < 0 {
		return fleet.VM{}, false
	}
	return v.entryVMs[owner].vm, true
}

// VMsByRank returns the live VMs of a region in the workspace's rank order. For another
// region it omits leaving VMs and puts unreachable ones last.
func (v *View) VMsByRank(region, workspace string) []fleet.VM {
	if region == v.Self.Region {
		return v.OwnersByRank(workspace)
	}
	var reached, rest []fleet.VM
	for _, m := range v.Others {
		switch {
		case m.VM.Region != region || m.Leaving:
		case m.Reachable:
			reached = append(reached, m.VM)
		case m.Incarnation == 0:
			// Most VMs of other regions never receive heartbeats, so they aren't known
			// to fail.
			reached = append(reached, m.VM)
		default:
			rest = append(rest, m.VM)
		}
	}
	return append(entry.Rank(workspace, reached), entry.Rank(workspace, rest)...)
}

// TicketExecutor returns the VM that accepts tickets of an incarnation: the one that adopted
// its rights, or the VM itself unless it is known to run another incarnation.
func (v *View) TicketExecutor(vm string, incarnation uint64) (fleet.VM, bool) {
	of := process{
		vm:          vm,
		incarnation: incarnation,
	}
	if a, ok := v.rightsHolders[of]; ok {
		return a.vm, true
	}
	for _, members := range [][]Member{v.Region, v.Others} {
		for _, m := range members {
			if m.VM.ID == vm && (m.Incarnation == incarnation || m.Incarnation == 0) {
				return m.VM, true
			}
		}
	}
	return fleet.VM{}, false
}

// Surplus returns other regions' unexpired offers for a target.
func (v *View) Surplus(target string, now time.Time) []Surplus {
	var offers []Surplus
	for _, o := range v.surplus[target] {
		if now.Before(o.Until) {
			offers = append(offers, o)
		}
	}
	return offers
}
