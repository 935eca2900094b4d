package roster

import (
	"cmp"
	"slices"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// near returns the next member of the own region in a shuffled round, so that
// each is asked by somebody within about one interval, however many there are.
func (r *Roster) near() []Target {
	for range 2 {
		for len(r.order) > 0 {
			id := r.order[0]
			r.order = r.order[1:]
			if m, ok := r.members[id]; ok && m.State < StateDead {
				return []Target{r.target(m)}
			}
		}
		for id, m := range r.members {
			if m.VM.Region == r.self.VM.Region && m.State < StateDead {
				r.order = append(r.order, id)
			}
		}
		slices.Sort(r.order)
		r.shuffle()
	}
	return nil
}

func (r *Roster) shuffle() {
	for i := len(r.order) - 1; i > 0; i-- {
		j := int(r.rand() % uint64(i+1))
		r.order[i], r.order[j] = r.order[j], r.order[i]
	}
}

// Spread returns a few random members of the own region, to be told of something new.
func (r *Roster) Spread(count int) []Target {
	var near []*member
	for _, m := range r.sorted() {
		if m.VM.Region == r.self.VM.Region && m.State == StateAlive {
			near = append(near, m)
		}
	}
	var out []Target
	for range min(count, len(near)) {
		i := int(r.rand() % uint64(len(near)))
		out = append(out, r.target(near[i]))
		near = slices.Delete(near, i, i+1)
	}
	return out
}

// far returns random living members of the other regions: one of each that this
// member is drawn to ask in this round, and several of one where members are in
// doubt, as a region is lost as a whole more often than one VM of it. Those in
// doubt are asked anyway.
func (r *Roster) far() []Target {
	asks := r.round%farEvery == 0 && r.rand()%uint64(r.countNear()) < farAskers
	var out []Target
	for _, region := range r.farRegions() {
		count := min(askedForDoubt*region.doubtful, farInDoubt)
		if asks {
			count = max(count, 1)
		}
		for range min(count, len(region.well)) {
			i := int(r.rand() % uint64(len(region.well)))
			out = append(out, r.target(region.well[i]))
			region.well = slices.Delete(region.well, i, i+1)
		}
	}
	return out
}

// countNear counts the living members of the own region, this one included.
func (r *Roster) countNear() int {
	count := 1
	for _, m := range r.members {
		if m.VM.Region == r.self.VM.Region && m.State == StateAlive {
			count++
		}
	}
	return count
}

// farRegion is what is known of the members of another region.
type farRegion struct {
	// well are those that live and are not in doubt, doubtful counts the others.
	well     []*member
	doubtful int
}

func (r *Roster) farRegions() []*farRegion {
	var out []*farRegion
	byName := make(map[string]*farRegion)
	for _, m := range r.sorted() {
		if m.VM.Region == r.self.VM.Region || m.State >= StateDead {
			continue
		}
		region := byName[m.VM.Region]
		if region == nil {
			region = &farRegion{}
			byName[m.VM.Region] = region
			out = append(out, region)
		}
		if m.doubtful() {
			region.doubtful++
		} else {
			region.well = append(region.well, m)
		}
	}
	return out
}

// dead returns one random member that counts as dead.
func (r *Roster) dead() []Target {
	var list []*member
	for _, m := range r.sorted() {
		if m.State == StateDead {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return []Target{r.target(list[r.rand()%uint64(len(list))])}
}

func (r *Roster) sorted() []*member {
	list := make([]*member, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	return list
}

// seedTargets returns the seeds at which no living member is known.
func (r *Roster) seedTargets() []Target {
	known := make(map[string]bool)
	for _, m := range r.members {
		if m.State < StateDead {
			known[m.VM.PeerAddr] = true
		}
	}
	var out []Target
	for _, seed := range r.seeds {
		// Now and then is enough once others are known.
		if known[seed] || (len(known) > 0 && r.round%deadEvery != 0 && !r.starting()) {
			continue
		}
		out = append(out, Target{
			VM: fleet.VM{
				PeerAddr: seed,
			},
		})
	}
	return out
}
