package route

// Standing is where a rank stands among those that calls have under a table.
type Standing int

// The standings, the first served first.
const (
	StandingFirst Standing = iota
	StandingMiddle
	StandingLast
)

// middleRank is the first rank after the middle ones, whatever other ranks there are.
const middleRank = 2

// Standing returns where a rank stands. Ranks are an order and no measure: where the
// operators give none but the first two, calls of the second make room for the others.
func (t *Table) Standing(rank int) Standing {
	switch {
	case rank >= min(t.lastRank, middleRank):
		return StandingLast
	case rank <= 0:
		return StandingFirst
	default:
		return StandingMiddle
	}
}

// findLastRank returns the last rank that calls may have under the table.
func (t *Table) findLastRank() int {
	last := 0
	routesCount := !t.keyed
	for i := range t.workspaces {
		if rank := t.workspaces[i].Rank; rank != nil {
			last = max(last, *rank)
		} else {
			routesCount = true
		}
	}
	for _, list := range t.byHost {
		for i := range list {
			if routesCount || list[i].Public {
				last = max(last, list[i].Rank)
			}
		}
	}
	return last
}
