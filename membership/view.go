package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Member is one VM as a View shows it.
type Member struct {
	VM fleet.VM
	// Incarnation is zero for a VM that never answered.
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

// View is an immutable picture of the fleet, for traffic to read.
type View struct {
	// Revision rises with every change of the VMs that take work.
	Revision     uint64
	ListRevision uint64
	Self         fleet.VM
	// Region holds the listed VMs of the own region with Self, by id; Others
	// holds those of the other regions, each region in the order in which this VM asks them.
	Region []Member
	Others []Member
	// VMs is the number of listed live VMs of the own region by which a single
	// share is divided; just after the list shrank it is still the larger number.
	VMs int
	// Peers is the number of VMs that are sent heartbeats.
	Peers int
	// Leaving is set for good once this VM is stopping.
	Leaving bool
	// LendsFrom is when this VM begins to lend after it was started or newly listed.
	LendsFrom time.Time

	entries  []entryVM
	adopted  map[holder]adopter
	surplus  map[string][]Surplus
	holdings holdings
}

// entryVM is a VM that takes work, with the hash of its id.
type entryVM struct {
	vm   fleet.VM
	seed uint64
}

type adopter struct {
	vm    fleet.VM
	until time.Time
}

// View returns the picture of now. It renews this VM's loan to itself, so it is
// to be called and published after every step of the control state.
func (s *State) View(now time.Time) *View {
	s.step(now)
	if !s.leaving && s.ready {
		s.lendToSelf(now)
	}
	s.refresh()
	v := &View{
		Revision:  s.revision,
		Self:      s.self,
		VMs:       s.divisor(),
		Leaving:   s.leaving,
		LendsFrom: s.lendFrom,
		entries:   s.entryVMs(),
		adopted:   s.adoptions(),
		surplus:   s.surpluses(),
		holdings:  s.holdings(now),
	}
	if s.list != nil {
		v.ListRevision = s.list.Revision
	}
	v.Region = s.regionMembers()
	v.Others = members(s.others)
	return v
}

func (s *State) entryVMs() []entryVM {
	vms := make([]entryVM, 0, len(s.reach.ids))
	for _, id := range s.reach.ids {
		vm := s.self
		if p := s.peers[id]; p != nil {
			vm = p.vm
		}
		vms = append(vms, entryVM{
			vm:   vm,
			seed: entry.Hash(id),
		})
	}
	return vms
}

func (s *State) regionMembers() []Member {
	region := members(s.region)
	i, _ := slices.BinarySearchFunc(region, s.self.ID, func(m Member, id string) int {
		return cmp.Compare(m.VM.ID, id)
	})
	self := Member{
		VM:          s.self,
		Incarnation: s.incarnation,
		Reachable:   true,
		Leaving:     s.leaving,
		Ready:       s.ready,
		HeardAt:     s.steppedAt,
	}
	return slices.Insert(region, i, self)
}

func members(peers []*peer) []Member {
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

func (s *State) surpluses() map[string][]Surplus {
	offers := make(map[string][]Surplus)
	for _, p := range s.others {
		if !p.takesWork() {
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

// Entries returns the VMs of the region that take work, in the workspace's rank order.
func (v *View) Entries(workspace string) []fleet.VM {
	vms := make([]fleet.VM, 0, len(v.entries))
	for _, e := range v.entries {
		vms = append(vms, e.vm)
	}
	return entry.Rank(workspace, vms)
}

// Owner returns the first of Entries without allocating; ok is false when there is none.
func (v *View) Owner(workspace string) (vm fleet.VM, ok bool) {
	h := entry.Hash(workspace)
	owner := -1
	var best uint64
	for i, e := range v.entries {
		// The entries are in ascending order of ids, so a tie keeps the lower.
		if score := entry.Score(h, e.seed); owner < 0 || score > best {
			owner = i
			best = score
		}
	}
	if owner < 0 {
		return fleet.VM{}, false
	}
	return v.entries[owner].vm, true
}

// EntriesIn returns the listed live VMs of another region in the workspace's rank
// order, those known to be leaving left out and those not reached put last.
func (v *View) EntriesIn(region, workspace string) []fleet.VM {
	if region == v.Self.Region {
		return v.Entries(workspace)
	}
	var reached, rest []fleet.VM
	for _, m := range v.Others {
		switch {
		case m.VM.Region != region || m.Leaving:
		case m.Reachable:
			reached = append(reached, m.VM)
		case m.Incarnation == 0:
			// Most VMs of other regions are never asked, which says nothing against them.
			reached = append(reached, m.VM)
		default:
			rest = append(rest, m.VM)
		}
	}
	return append(entry.Rank(workspace, reached), entry.Rank(workspace, rest)...)
}

// Executor returns the VM to ask for a ticket of an incarnation: the one that
// adopted it, or the VM itself unless it is known to run another incarnation.
func (v *View) Executor(vm string, incarnation uint64) (fleet.VM, bool) {
	of := holder{
		vm:          vm,
		incarnation: incarnation,
	}
	if a, ok := v.adopted[of]; ok {
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

// Surplus returns what other regions offer for a target and have not withdrawn.
func (v *View) Surplus(target string, now time.Time) []Surplus {
	var offers []Surplus
	for _, o := range v.surplus[target] {
		if now.Before(o.Until) {
			offers = append(offers, o)
		}
	}
	return offers
}
