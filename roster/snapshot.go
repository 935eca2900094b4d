package roster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Member is a VM as shown by a Snapshot.
type Member struct {
	VM fleet.VM
	// Reachable is also false for suspected members.
	Reachable       bool
	Ready           bool
	StoreUnreadable bool
}

// Snapshot is an immutable snapshot of the roster that request handlers read.
type Snapshot struct {
	Self fleet.VM
	// Members holds all members that aren't dead, including this VM, sorted by ID. They
	// must not be modified.
	Members []*Member
	// Generation changes whenever Members does.
	Generation uint64
	// MaxKnown is the largest number of VMs known at once.
	MaxKnown int
	// FleetSize is the number of VMs among which limits on the whole fleet are divided:
	// MaxKnown, or zero while it may be far too low because this VM has started while cut
	// off from others.
	FleetSize int
	// RegionSize is the largest number of VMs of this VM's region that it, or one that told
	// it, has known at once. UnheardSeeds is the fraction of the seeds of which nothing has
	// been heard since the start; zero where the size is known.
	RegionSize   fleet.PastSize
	UnheardSeeds float64
	// AdvancedAt is the time of the roster's last Step. Resuming is set after a pause
	// of the process until the endpoints have been probed again.
	AdvancedAt time.Time
	Resuming   bool
	// maxStepGap is the longest time between Steps that isn't treated as a pause.
	maxStepGap time.Duration
	// reached holds the reachable VMs by region, and taking those of them that take
	// calls.
	reached map[string][]fleet.VM
	taking  map[string][]fleet.VM
}

// Find returns the member with an ID.
func (s *Snapshot) Find(id string) (fleet.VM, bool) {
	i, found := slices.BinarySearchFunc(s.Members, id, func(m *Member, id string) int { return strings.Compare(m.VM.ID, id) })
	if !found {
		return fleet.VM{}, false
	}
	return s.Members[i].VM, true
}

// ReachableVMs returns a region's reachable VMs. The result must not be modified.
func (s *Snapshot) ReachableVMs(region string) []fleet.VM {
	return s.reached[region]
}

// AcceptingVMs returns a region's reachable VMs that take calls. The result must not be
// modified.
func (s *Snapshot) AcceptingVMs(region string) []fleet.VM {
	return s.taking[region]
}

// AcceptingRegions returns the sorted names of the regions with VMs that take calls.
func (s *Snapshot) AcceptingRegions() []string {
	return slices.Sorted(maps.Keys(s.taking))
}

// Fresh reports whether this VM's knowledge dates from after the last pause of its
// process. If not, delayed calls could all be sent to endpoints that have gone cold
// meanwhile.
func (s *Snapshot) Fresh(now time.Time) bool {
	return !s.Resuming && (s.AdvancedAt.IsZero() || now.Sub(s.AdvancedAt) <= s.maxStepGap)
}

// Snapshot returns a snapshot of the current state.
func (r *Roster) Snapshot() *Snapshot {
	if r.memberIndex == nil || r.memberIndexStale {
		r.rebuildMemberIndex()
	}
	return &Snapshot{
		Self:         r.self.VM,
		Members:      r.memberIndex.members,
		Generation:   r.memberIndex.generation,
		MaxKnown:     r.maxKnown,
		FleetSize:    r.fleetSize(),
		RegionSize:   r.regionSize(r.self.VM.Region).Past(),
		UnheardSeeds: r.unheardSeeds(),
		AdvancedAt:   r.advancedAt,
		Resuming:     r.resuming,
		maxStepGap:   r.maxStepGap(),
		reached:      r.memberIndex.reached,
		taking:       r.memberIndex.taking,
	}
}

// StoreUnreadable reports whether a VM of the own region fails to read the store. The region
// may then miss changes.
func (s *Snapshot) StoreUnreadable() bool {
	return slices.ContainsFunc(s.Members, func(m *Member) bool {
		isSelf := m.VM.ID == s.Self.ID
		return m.StoreUnreadable && m.VM.Region == s.Self.Region && (isSelf || m.Reachable)
	})
}

// readersRank is the key by which a region's VMs are ranked as readers of the store.
const readersRank = "readers"

// ReadsStore reports whether this VM is among the given number of readers that follow the
// store for its region: the highest-ranked reachable VMs that can read it. A VM that
// fails to read it keeps trying, in case all others fail too.
func (s *Snapshot) ReadsStore(readers int) bool {
	var vms []fleet.VM
	for _, m := range s.Members {
		isSelf := m.VM.ID == s.Self.ID
		if m.VM.Region == s.Self.Region && (isSelf || (m.Reachable && !m.StoreUnreadable)) {
			vms = append(vms, m.VM)
		}
	}
	ranked := entry.Rank(readersRank, vms)
	return slices.ContainsFunc(ranked[:min(readers, len(ranked))], func(vm fleet.VM) bool {
		return vm.ID == s.Self.ID
	})
}
