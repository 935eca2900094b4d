package membership

import "time"

// Revisions holds the revisions of the documents and the list that a VM has.
type Revisions struct {
	DocumentsRevision uint64
	ListRevision      uint64
}

// CaughtUp reports whether a VM that has just started knows as much as its peers: each
// listed VM of its region has answered with no newer revision, or was found
// unreachable. If none of the region answers, peers of other regions are consulted
// until the hold after its listing has passed. After that a VM without reachable peers
// serves with what the platform gave it.
//
// Revisions of peers that aren't ready themselves are ignored, so VMs that start
// together don't wait for each other.
func (s *State) CaughtUp(k Revisions, now time.Time) bool {
	if s.list == nil {
		return false
	}
	heard, settled := checkPeers(s.regionPeers, k)
	if !settled {
		return false
	}
	if heard || !now.Before(s.grantFrom) {
		return true
	}
	heard, settled = checkPeers(s.heartbeatPeers(), k)
	return heard && settled
}

// checkPeers reports whether any peer answered, and whether no peer is pending or has a
// newer revision.
func checkPeers(peers []*peer, k Revisions) (heard, settled bool) {
	settled = true
	for _, p := range peers {
		switch {
		case p.beat.Incarnation == 0:
			settled = settled && p.foundUnreachable()
		case !p.foundUnreachable():
			heard = true
			settled = settled && (!p.beat.Ready || !p.hasNewerThan(k))
		}
	}
	return heard, settled
}

func (p *peer) hasNewerThan(k Revisions) bool {
	return p.beat.DocumentsRevision > k.DocumentsRevision || p.beat.ListRevision > k.ListRevision
}
