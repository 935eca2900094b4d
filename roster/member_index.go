package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// memberIndex holds the members shown by Snapshots. It is immutable, so Snapshots share
// it until a member changes. A new one takes over what has not changed.
type memberIndex struct {
	generation uint64
	members    []*Member
	reached    map[string][]fleet.VM
	taking     map[string][]fleet.VM
}

// rebuildMemberIndex rebuilds the index after a change. Most messages change nothing,
// and their Snapshots reuse the previous index.
func (r *Roster) rebuildMemberIndex() {
	before := r.memberIndex
	if before == nil {
		before = &memberIndex{}
	}
	next := &memberIndex{
		generation: before.generation + 1,
		members:    make([]*Member, 0, len(r.sorted)+1),
		reached:    maps.Clone(before.reached),
		taking:     maps.Clone(before.taking),
	}
	changed := r.updateShown()
	for _, m := range r.sorted {
		if m.shown != nil {
			next.members = append(next.members, m.shown)
		}
	}
	next.insert(r.shownSelf)
	next.rebuildRegions(changed)
	r.memberIndex = next
	r.memberIndexStale = false
}

// updateShown updates the shown form of the members that have changed, and returns their
// regions.
func (r *Roster) updateShown() map[string]bool {
	changed := make(map[string]bool)
	for _, m := range r.sorted {
		var shown *Member
		if m.State < StateDead {
			shown = r.show(m.Rumor, m.misses, m.shown)
		}
		if shown == m.shown {
			continue
		}
		changed[m.VM.Region] = true
		if m.shown != nil {
			changed[m.shown.VM.Region] = true
		}
		m.shown = shown
	}
	if shown := r.show(r.self, 0, r.shownSelf); shown != r.shownSelf {
		changed[r.self.VM.Region] = true
		r.shownSelf = shown
	}
	return changed
}

// show returns a member as Snapshots show it; before if that is the same.
func (r *Roster) show(rumor Rumor, misses int, before *Member) *Member {
	shown := Member{
		VM:              rumor.VM,
		Reachable:       rumor.State == StateAlive && misses < missesToSuspect,
		Ready:           rumor.Ready,
		StoreUnreadable: rumor.StoreUnreadable,
	}
	shown.VM.Incarnation = rumor.Incarnation
	if before != nil && *before == shown {
		return before
	}
	out := shown
	return &out
}

func (x *memberIndex) insert(m *Member) {
	at, _ := slices.BinarySearchFunc(x.members, m.VM.ID, func(m *Member, id string) int { return cmp.Compare(m.VM.ID, id) })
	x.members = slices.Insert(x.members, at, m)
}

// rebuildRegions rebuilds the lists of the given regions.
func (x *memberIndex) rebuildRegions(changed map[string]bool) {
	if x.reached == nil {
		x.reached = make(map[string][]fleet.VM)
		x.taking = make(map[string][]fleet.VM)
	}
	for region := range changed {
		delete(x.reached, region)
		delete(x.taking, region)
	}
	for _, m := range x.members {
		if !m.Reachable || !changed[m.VM.Region] {
			continue
		}
		x.reached[m.VM.Region] = append(x.reached[m.VM.Region], m.VM)
		if m.Ready {
			x.taking[m.VM.Region] = append(x.taking[m.VM.Region], m.VM)
		}
	}
}
