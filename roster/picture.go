package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

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
	// Generation tells two pictures with other members apart.
	Generation uint64
	// Most is the largest number of VMs known at once.
	Most int
	// SteppedAt is when the roster last went on, Waking is set after a pause of the
	// process until there is news.
	SteppedAt time.Time
	Waking    bool
	// longestStep is the longest time between two steps of a process that runs.
	longestStep time.Duration
	// reached are the VMs in reach, and taking those of them that take calls, by region.
	reached map[string][]fleet.VM
	taking  map[string][]fleet.VM
}

// shown are the members as traffic sees them. It never changes, so that pictures
// share it for as long as the members are the same.
type shown struct {
	generation uint64
	members    []Member
	reached    map[string][]fleet.VM
	taking     map[string][]fleet.VM
}

// Reached returns the VMs of a region that are in reach. It must not be changed.
func (p *Picture) Reached(region string) []fleet.VM {
	return p.reached[region]
}

// Taking returns the VMs of a region that are in reach and take calls. It must not
// be changed.
func (p *Picture) Taking(region string) []fleet.VM {
	return p.taking[region]
}

// TakingRegions returns the regions that have such VMs, by name.
func (p *Picture) TakingRegions() []string {
	return slices.Sorted(maps.Keys(p.taking))
}

// Current reports whether what this VM believes is from now, and not from before a
// pause of its process: endpoints may have become cold meanwhile, and calls that
// have waited would all go there at once.
func (p *Picture) Current(now time.Time) bool {
	return !p.Waking && (p.SteppedAt.IsZero() || now.Sub(p.SteppedAt) <= p.longestStep)
}

// Picture returns the picture of now.
func (r *Roster) Picture() *Picture {
	if r.shown == nil || r.shownStale {
		r.show()
	}
	return &Picture{
		Self:        r.self.VM,
		Members:     r.shown.members,
		Generation:  r.shown.generation,
		Most:        r.most,
		SteppedAt:   r.steppedAt,
		Waking:      r.waking,
		longestStep: r.longestStep(),
		reached:     r.shown.reached,
		taking:      r.shown.taking,
	}
}

// show puts together what pictures show. A VM takes in some ten messages a second,
// most of which change nothing: a picture of 295 members costs microseconds then
// (BenchmarkPicture).
func (r *Roster) show() {
	next := &shown{
		generation: 1,
		members:    make([]Member, 0, len(r.members)+1),
		reached:    make(map[string][]fleet.VM),
		taking:     make(map[string][]fleet.VM),
	}
	if r.shown != nil {
		next.generation = r.shown.generation + 1
	}
	next.members = append(next.members, Member{
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
		next.members = append(next.members, Member{
			VM:          m.VM,
			Incarnation: m.Incarnation,
			Reachable:   m.State == StateAlive && m.misses < missesToSuspect,
			Ready:       m.Ready,
			TurnedAway:  m.TurnedAway,
		})
	}
	slices.SortFunc(next.members, func(a, b Member) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	for _, m := range next.members {
		if !m.Reachable {
			continue
		}
		next.reached[m.VM.Region] = append(next.reached[m.VM.Region], m.VM)
		if m.Ready {
			next.taking[m.VM.Region] = append(next.taking[m.VM.Region], m.VM)
		}
	}
	r.shown = next
	r.shownStale = false
}

// StoreAway reports whether a VM of the own region cannot read the store: nobody
// there may then hear of changes.
func (p *Picture) StoreAway() bool {
	return slices.ContainsFunc(p.Members, func(m Member) bool {
		isSelf := m.VM.ID == p.Self.ID
		return m.TurnedAway && m.VM.Region == p.Self.Region && (isSelf || m.Reachable)
	})
}

// readersRank is what the VMs of a region are ranked for.
const readersRank = "readers"

// Reads reports whether this VM is among so many of its region that follow the
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
