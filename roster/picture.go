package roster

import (
	"cmp"
	"slices"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Member is one VM as a picture shows it.
type Member struct {
	VM          fleet.VM
	Incarnation uint64
	// Reachable is false for suspected members too.
	Reachable  bool
	Ready      bool
	TurnedAway bool
}

// Picture is what traffic reads. It never changes.
type Picture struct {
	Self fleet.VM
	// Members holds all but the dead ones, this VM included, by id.
	Members []Member
	// Most is the largest number of VMs known at once.
	Most int
}

// Picture gives the picture of now.
func (r *Roster) Picture() *Picture {
	p := &Picture{
		Self: r.self.VM,
		Most: r.most,
	}
	p.Members = append(p.Members, Member{
		VM:          r.self.VM,
		Incarnation: r.self.Incarnation,
		Reachable:   r.self.State == StateAlive,
		Ready:       r.self.Ready,
		TurnedAway:  r.self.TurnedAway,
	})
	for _, m := range r.members {
		if m.State >= StateDead {
			continue
		}
		p.Members = append(p.Members, Member{
			VM:          m.VM,
			Incarnation: m.Incarnation,
			Reachable:   m.State == StateAlive && m.misses < missesToSuspect,
			Ready:       m.Ready,
			TurnedAway:  m.TurnedAway,
		})
	}
	slices.SortFunc(p.Members, func(a, b Member) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	return p
}

// readersRank is what the VMs of a region are ranked for.
const readersRank = "readers"

// Reads says whether this VM is among so many of its region that follow the
// store: by rank among those reached that the store does not turn away. A VM that
// is turned away tries on, in case all are.
func (p *Picture) Reads(readers int) bool {
	var vms []fleet.VM
	for _, m := range p.Members {
		isSelf := m.VM.ID == p.Self.ID
		if m.VM.Region == p.Self.Region && (isSelf || (m.Reachable && !m.TurnedAway)) {
			vms = append(vms, m.VM)
		}
	}
	ranked := entry.Rank(readersRank, vms)
	return slices.ContainsFunc(ranked[:min(readers, len(ranked))], func(vm fleet.VM) bool {
		return vm.ID == p.Self.ID
	})
}
