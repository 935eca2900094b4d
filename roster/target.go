package roster

import (
	"slices"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// localTargets returns the next member of the own region. Members are visited in random
// order, once a round, so each is contacted by some VM about once an interval.
func (r *Roster) localTargets() []Target {
	for range 2 {
		for len(r.localRound) > 0 {
			id := r.localRound[0]
			r.localRound = r.localRound[1:]
			if m, ok := r.members[id]; ok && m.State < StateDead {
				return []Target{r.target(m)}
			}
		}
		for _, m := range r.sorted {
			if m.VM.Region == r.self.VM.Region && m.State < StateDead {
				r.localRound = append(r.localRound, m.VM.ID)
			}
		}
		r.shuffleLocalRound()
	}
	return nil
}

func (r *Roster) shuffleLocalRound() {
	for i := len(r.localRound) - 1; i > 0; i-- {
		j := int(r.rand() % uint64(i+1))
		r.localRound[i], r.localRound[j] = r.localRound[j], r.localRound[i]
	}
}

// RandomTargets returns up to count random members of the own region, to receive a new rumor.
func (r *Roster) RandomTargets(count int) []Target {
	var alive []*member
	for _, m := range r.sorted {
		if m.VM.Region == r.self.VM.Region && m.State == StateAlive {
			alive = append(alive, m)
		}
	}
	var out []Target
	for range min(count, len(alive)) {
		i := int(r.rand() % uint64(len(alive)))
		out = append(out, r.target(alive[i]))
		alive = slices.Delete(alive, i, i+1)
	}
	return out
}

// remoteTargets returns random alive members of other regions: one of each region if
// this VM is drawn to contact them in this round, and several of a region with doubtful
// members, since regions fail as a whole more often than single VMs do. The doubtful
// members themselves are contacted by Step.
func (r *Roster) remoteTargets() []Target {
	asks := r.round%remoteExchangeIntervals == 0 && r.rand()%uint64(r.countLocalAlive()) < remoteExchangersPerRegion
	var out []Target
	for _, region := range r.remoteRegions() {
		count := min(targetsPerDoubtfulMember*region.doubtful, maxTargetsPerRemoteRegion)
		if asks {
			count = max(count, 1)
		}
		for range min(count, len(region.healthy)) {
			i := int(r.rand() % uint64(len(region.healthy)))
			out = append(out, r.target(region.healthy[i]))
			region.healthy = slices.Delete(region.healthy, i, i+1)
		}
	}
	return out
}

// countLocalAlive counts the alive members of the own region, including this one.
func (r *Roster) countLocalAlive() int {
	count := 1
	for _, m := range r.sorted {
		if m.VM.Region == r.self.VM.Region && m.State == StateAlive {
			count++
		}
	}
	return count
}

// remoteRegion groups the members of another region.
type remoteRegion struct {
	// healthy holds the members that are alive and not doubtful. doubtful counts the
	// others.
	healthy  []*member
	doubtful int
}

func (r *Roster) remoteRegions() []*remoteRegion {
	var out []*remoteRegion
	byName := make(map[string]*remoteRegion)
	for _, m := range r.sorted {
		if m.VM.Region == r.self.VM.Region || m.State >= StateDead {
			continue
		}
		region := byName[m.VM.Region]
		if region == nil {
			region = &remoteRegion{}
			byName[m.VM.Region] = region
			out = append(out, region)
		}
		if m.doubtful() {
			region.doubtful++
		} else {
			region.healthy = append(region.healthy, m)
		}
	}
	return out
}

// deadTargets returns one random dead member.
func (r *Roster) deadTargets() []Target {
	var list []*member
	for _, m := range r.sorted {
		if m.State == StateDead {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return []Target{r.target(list[r.rand()%uint64(len(list))])}
}

// seedTargets returns the seeds at which no alive member is known.
func (r *Roster) seedTargets() []Target {
	known := make(map[string]bool)
	for _, m := range r.sorted {
		if m.State < StateDead {
			known[m.VM.PeerAddr] = true
		}
	}
	var out []Target
	for _, seed := range r.seeds {
		// Once other members are known, seeds are contacted less often.
		if known[seed] || (len(known) > 0 && r.round%deadExchangeIntervals != 0 && !r.starting()) {
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
