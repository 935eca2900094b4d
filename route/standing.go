package route

// Standing is a rank's position among the ranks in use in a table.
type Standing int

// Standings, from the highest to the lowest priority.
const (
	StandingFirst Standing = iota
	StandingMiddle
	StandingLast
)

// lastStandingRank is the lowest rank number that is always StandingLast.
const lastStandingRank = 2

// Standing classifies a rank relative to the lowest priority in use, so that a table
// with only ranks 0 and 1 treats rank 1 as StandingLast.
func (t *Table) Standing(rank int) Standing {
	switch {
	case rank >= min(t.lastRank, lastStandingRank):
		return StandingLast
	case rank <= 0:
		return StandingFirst
	default:
		return StandingMiddle
	}
}

// maxRank returns the highest rank number that a request can have under the table.
func (t *Table) maxRank() int {
	last := 0
	routeRanksApply := !t.keyed
	for i := range t.workspaces {
		if rank := t.workspaces[i].Rank; rank != nil {
			last = max(last, *rank)
		} else {
			routeRanksApply = true
		}
	}
	for _, list := range t.byHost {
		for i := range list {
			if routeRanksApply || list[i].Public {
				last = max(last, list[i].Rank)
			}
		}
	}
	return last
}
