package membership

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Holding is the share of a workspace's limit that this VM may use as owner,
// with its past as two steps: Base since BaseSince, then Share since Since. What
// was held before, or was held with a gap, is left out.
type Holding struct {
	Share     float64
	Since     time.Time
	Base      float64
	BaseSince time.Time
}

// holdings are the loans to this VM in a form that is cheap to evaluate for a
// workspace: the VMs that rank before this one are found once, as a bit set,
// and each distinct member set is tested against it once.
type holdings struct {
	seeds  []uint64
	lower  []bool
	self   uint64
	sets   []bitSet
	loans  []heldLoan
	part   float64
	steady time.Time
}

type heldLoan struct {
	until  time.Time
	epochs []heldEpoch
}

type heldEpoch struct {
	set  int
	from time.Time
}

// bitSet is a set of indexes into holdings.seeds.
type bitSet []uint64

const (
	wordBits = 64
	// stackWords and stackSets are what Hold evaluates without allocating.
	stackWords = 8
	stackSets  = 32
)

// Lenders counts the VMs, with this one, that lend to this VM now. Fewer than
// View.VMs means that a part of the limits cannot be used through it.
func (v *View) Lenders(now time.Time) int {
	n := 0
	for _, l := range v.holdings.loans {
		if now.Before(l.until) {
			n++
		}
	}
	return n
}

func (s *State) holdings(now time.Time) holdings {
	h := holdings{
		self:   entry.Hash(s.self.ID),
		steady: now.Add(-historySpan),
	}
	if n := s.divisor(); n > 0 {
		h.part = 1 / float64(n)
	}
	if s.leaving {
		return h
	}
	ids := s.lentIDs(now)
	for _, id := range ids {
		h.seeds = append(h.seeds, entry.Hash(id))
		h.lower = append(h.lower, id < s.self.ID)
	}
	known := make(map[uint64]int)
	for _, from := range s.lenders() {
		if l := s.loans[from]; l != nil && now.Before(l.until) {
			h.add(l, ids, s.self.ID, known)
		}
	}
	return h
}

// lenders returns the VMs whose loans count: those that this VM lists as live.
func (s *State) lenders() []string {
	var from []string
	if s.selfLive {
		from = append(from, s.self.ID)
	}
	for _, p := range s.region {
		if p.vm.State == fleet.StateLive {
			from = append(from, p.vm.ID)
		}
	}
	return from
}

// lentIDs returns all ids of all member sets in sorted order.
func (s *State) lentIDs(now time.Time) []string {
	var ids []string
	seen := make(map[uint64]bool)
	for _, l := range s.loans {
		if !now.Before(l.until) {
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

func (h *holdings) add(l *loan, ids []string, self string, known map[uint64]int) {
	held := heldLoan{
		until: l.until,
	}
	for _, e := range l.epochs {
		set, ok := known[e.members.hash]
		if !ok {
			set = len(h.sets)
			known[e.members.hash] = set
			h.sets = append(h.sets, newBitSet(e.members, ids, self))
		}
		held.epochs = append(held.epochs, heldEpoch{
			set:  set,
			from: e.from,
		})
	}
	h.loans = append(h.loans, held)
}

// newBitSet returns the members as indexes into ids. A set without this VM is
// given as nil: it assigns nothing to it.
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

// owns reports whether none of the VMs that rank before this one is in the set.
func (set bitSet) owns(before bitSet) bool {
	for i, word := range set {
		if word&before[i] != 0 {
			return false
		}
	}
	return set != nil
}

// Share returns the part, from 0 to 1, of the region's limit of a workspace that
// this VM may use as owner now.
func (v *View) Share(workspace string, now time.Time) float64 {
	return v.Hold(workspace, now).Share
}

// Hold returns the share with its past, so that a limit is saved up only for the
// time in which the share was held.
func (v *View) Hold(workspace string, now time.Time) Holding {
	h := &v.holdings
	if len(h.loans) == 0 {
		return Holding{}
	}
	var words [stackWords]uint64
	var marks [stackSets]bool
	before := h.before(entry.Hash(workspace), words[:0])
	owned := marks[:0]
	for _, set := range h.sets {
		owned = append(owned, set.owns(before))
	}
	return h.sum(owned, now)
}

// before returns the VMs that rank before this one for the workspace, in buf if it is large enough.
func (h *holdings) before(workspace uint64, buf bitSet) bitSet {
	for range (len(h.seeds) + wordBits - 1) / wordBits {
		buf = append(buf, 0)
	}
	own := entry.Score(workspace, h.self)
	for i, seed := range h.seeds {
		score := entry.Score(workspace, seed)
		if score > own || (score == own && h.lower[i]) {
			buf[i/wordBits] |= 1 << (i % wordBits)
		}
	}
	return buf
}

func (h *holdings) sum(owned []bool, now time.Time) Holding {
	var out Holding
	count, base := 0, 0
	for _, l := range h.loans {
		since, ok := l.since(owned)
		if !ok || !now.Before(l.until) {
			continue
		}
		count++
		if since.After(out.Since) {
			out.Since = since
		}
		if since.After(h.steady) {
			continue
		}
		base++
		if since.After(out.BaseSince) {
			out.BaseSince = since
		}
	}
	out.Share = float64(count) * h.part
	out.Base = float64(base) * h.part
	return out
}

// since returns the time from which the loan has assigned the workspace to this VM without a gap.
func (l *heldLoan) since(owned []bool) (since time.Time, ok bool) {
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
