package membership

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// ShareHistory is the share of a workspace's limit that this VM may use as owner. Its
// history is reduced to two steps: Base since BaseSince, then Share since Since. Shares
// held earlier, or with a gap, are left out.
type ShareHistory struct {
	Share     float64
	Since     time.Time
	Base      float64
	BaseSince time.Time
}

// shareIndex holds the leases in a form that is cheap to evaluate for a workspace: the
// VMs ranked above this one are found once as a bit set, and each distinct member set
// is tested against it once.
type shareIndex struct {
	idHashes      []uint64
	lowerIDs      []bool
	selfHash      uint64
	memberSets    []bitSet
	leases        []indexedLease
	sharePerLease float64
	historyStart  time.Time
}

type indexedLease struct {
	expiresAt time.Time
	epochs    []indexedEpoch
}

type indexedEpoch struct {
	set  int
	from time.Time
}

// bitSet is a set of indexes into shareIndex.idHashes.
type bitSet []uint64

const (
	wordBits = 64
	// stackWords and stackSets are the sizes up to which ShareHistory doesn't allocate.
	stackWords = 8
	stackSets  = 32
)

// HeldLeases returns the number of VMs, including this one, whose leases this VM holds
// now. If it is below View.VMs, this VM can't use part of the limits.
func (v *View) HeldLeases(now time.Time) int {
	n := 0
	for _, l := range v.shares.leases {
		if now.Before(l.expiresAt) {
			n++
		}
	}
	return n
}

func (s *State) buildShareIndex(now time.Time) shareIndex {
	h := shareIndex{
		selfHash:     entry.Hash(s.self.ID),
		historyStart: now.Add(-shareHistorySpan),
	}
	if n := s.shareDivisor(); n > 0 {
		h.sharePerLease = 1 / float64(n)
	}
	if s.leaving {
		return h
	}
	ids := s.leasedIDs(now)
	for _, id := range ids {
		h.idHashes = append(h.idHashes, entry.Hash(id))
		h.lowerIDs = append(h.lowerIDs, id < s.self.ID)
	}
	known := make(map[uint64]int)
	for _, from := range s.grantors() {
		if l := s.heldLeases[from]; l != nil && now.Before(l.expiresAt) {
			h.addLease(l, ids, s.self.ID, known)
		}
	}
	return h
}

// grantors returns the VMs whose leases count: those listed as live.
func (s *State) grantors() []string {
	var from []string
	if s.selfLive {
		from = append(from, s.self.ID)
	}
	for _, p := range s.regionPeers {
		if p.vm.State == fleet.StateLive {
			from = append(from, p.vm.ID)
		}
	}
	return from
}

// leasedIDs returns the sorted IDs of all VMs in the member sets of unexpired leases.
func (s *State) leasedIDs(now time.Time) []string {
	var ids []string
	seen := make(map[uint64]bool)
	for _, l := range s.heldLeases {
		if !now.Before(l.expiresAt) {
			continue
		}
		for _, e := range l.epochs {
			if !seen[e.members.hash] {
				seen[e.members.hash] = true
				ids = append(ids, e.members.ids...)
			}
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

func (h *shareIndex) addLease(l *heldLease, ids []string, self string, known map[uint64]int) {
	held := indexedLease{
		expiresAt: l.expiresAt,
	}
	for _, e := range l.epochs {
		set, ok := known[e.members.hash]
		if !ok {
			set = len(h.memberSets)
			known[e.members.hash] = set
			h.memberSets = append(h.memberSets, newBitSet(e.members, ids, self))
		}
		held.epochs = append(held.epochs, indexedEpoch{
			set:  set,
			from: e.from,
		})
	}
	h.leases = append(h.leases, held)
}

// newBitSet returns the members as indexes into ids, or nil if this VM isn't a member.
func newBitSet(members *memberSet, ids []string, self string) bitSet {
	if !members.has(self) {
		return nil
	}
	set := make(bitSet, (len(ids)+wordBits-1)/wordBits)
	for _, id := range members.ids {
		i, _ := slices.BinarySearch(ids, id)
		set[i/wordBits] |= 1 << (i % wordBits)
	}
	return set
}

// owns reports whether the set contains this VM and none that ranks above it.
func (set bitSet) owns(higher bitSet) bool {
	for i, word := range set {
		if word&higher[i] != 0 {
			return false
		}
	}
	return set != nil
}

// Share returns the fraction, from 0 to 1, of the region's limit of a workspace that
// this VM may use as owner now.
func (v *View) Share(workspace string, now time.Time) float64 {
	return v.ShareHistory(workspace, now).Share
}

// ShareHistory returns the share with its history, so that a limit accumulates only for the
// time in which the share was held.
func (v *View) ShareHistory(workspace string, now time.Time) ShareHistory {
	h := &v.shares
	if len(h.leases) == 0 {
		return ShareHistory{}
	}
	var words [stackWords]uint64
	var marks [stackSets]bool
	higher := h.higherRanked(entry.Hash(workspace), words[:0])
	owned := marks[:0]
	for _, set := range h.memberSets {
		owned = append(owned, set.owns(higher))
	}
	return h.evaluate(owned, now)
}

// higherRanked returns the VMs that rank above this one for the workspace. It uses buf
// if it is large enough.
func (h *shareIndex) higherRanked(workspace uint64, buf bitSet) bitSet {
	for range (len(h.idHashes) + wordBits - 1) / wordBits {
		buf = append(buf, 0)
	}
	own := entry.Score(workspace, h.selfHash)
	for i, hash := range h.idHashes {
		score := entry.Score(workspace, hash)
		if score > own || (score == own && h.lowerIDs[i]) {
			buf[i/wordBits] |= 1 << (i % wordBits)
		}
	}
	return buf
}

func (h *shareIndex) evaluate(owned []bool, now time.Time) ShareHistory {
	var out ShareHistory
	count, base := 0, 0
	for _, l := range h.leases {
		since, ok := l.assignedSince(owned)
		if !ok || !now.Before(l.expiresAt) {
			continue
		}
		count++
		if since.After(out.Since) {
			out.Since = since
		}
		if since.After(h.historyStart) {
			continue
		}
		base++
		if since.After(out.BaseSince) {
			out.BaseSince = since
		}
	}
	out.Share = float64(count) * h.sharePerLease
	out.Base = float64(base) * h.sharePerLease
	return out
}

// assignedSince returns since when the lease has assigned the workspace to this VM
// without a gap.
func (l *indexedLease) assignedSince(owned []bool) (since time.Time, ok bool) {
	for i := len(l.epochs) - 1; i >= 0; i-- {
		e := l.epochs[i]
		if !owned[e.set] {
			break
		}
		since = e.from
		ok = true
	}
	return since, ok
}
