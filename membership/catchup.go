package membership

import "time"

// Known is how far a VM's documents and list go.
type Known struct {
	DocumentsRevision uint64
	ListRevision      uint64
}

// CaughtUp reports whether a VM that has just started knows what its peers know:
// each listed VM of its region has answered a heartbeat and holds nothing
// newer, or was found out of reach. When none of its region is in reach, it
// asks those of other regions, until its hold after it was listed has passed;
// a VM that no other answers then serves by what the platform gave it.
//
// What a peer that isn't ready itself holds is not waited for, so two VMs that
// start together never wait for each other.
func (s *State) CaughtUp(k Known, now time.Time) bool {
	if s.list == nil {
		return false
	}
	heard, settled := catchUp(s.region, k)
	if !settled {
		return false
	}
	if heard || !now.Before(s.lendFrom) {
		return true
	}
	heard, settled = catchUp(s.watched(), k)
	return heard && settled
}

// catchUp reports whether any of the peers was heard, and whether none is still
// to be heard or holds something newer.
func catchUp(peers []*peer, k Known) (heard, settled bool) {
	settled = true
	for _, p := range peers {
		switch {
		case p.beat.Incarnation == 0:
			settled = settled && p.lost()
		case !p.lost():
			heard = true
			settled = settled && (!p.beat.Ready || !p.knowsMore(k))
		}
	}
	return heard, settled
}

func (p *peer) knowsMore(k Known) bool {
	return p.beat.DocumentsRevision > k.DocumentsRevision || p.beat.ListRevision > k.ListRevision
}
