package configuration

import (
	"maps"
	"slices"
	"strconv"

	"github.com/fuchsianotch/fuchsianotch/contract"
)

// The number of buckets may change while both numbers' documents exist. The
// rule: of all documents whose index is that of the workspace under the
// document's own number of buckets, the one of the highest revision decides,
// whether it holds the workspace or not. A document that a later one of its key
// superseded stays in force while it still decides any possible workspace, that
// is, while it is visible. This depends on the set of documents only: dropping
// an invisible one never makes another visible or invisible.

// visibleBudget bounds the search for one document, in steps. A document whose
// search does not end within it is kept, which is safe.
const visibleBudget = 1 << 16

// prune drops superseded documents that decide no workspace now that the added
// one is there. Only those that share workspaces with it can have changed.
func (s *Store) prune(added *record) {
	if len(s.accepted) == len(s.latest) {
		return
	}
	counts := s.counts()
	for at, r := range s.accepted {
		if s.latest[r.key] == r || !added.shares(r) || s.visible(r, counts) {
			continue
		}
		delete(s.accepted, at)
		s.digest.toggle(r)
	}
}

// shares tells whether a workspace can fall in both contract buckets.
func (r *record) shares(other *record) bool {
	if r.bucket == nil || other.bucket == nil {
		return false
	}
	common := int(gcd(uint64(r.buckets), uint64(other.buckets)))
	return r.bucket.number%common == other.bucket.number%common
}

// visible tells whether the record decides at least one workspace hash, given
// the numbers of buckets in use. Of other documents only the latest decides.
func (s *Store) visible(r *record, counts []int) bool {
	if r.bucket == nil {
		return false
	}
	search := cover{
		store:    s,
		revision: r.revision,
		counts:   counts,
		own:      r.buckets,
		budget:   visibleBudget,
	}
	return search.open(uint64(r.bucket.number), uint64(r.buckets), 0)
}

// counts returns the numbers of buckets in use, ascending.
func (s *Store) counts() []int {
	seen := make(map[int]bool)
	for at, r := range s.accepted {
		if r.bucket != nil {
			seen[at.buckets] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// cover searches a class of hashes for one that no higher document covers.
type cover struct {
	store    *Store
	revision uint64
	counts   []int
	// own is the number of buckets of the searched document, which is no rival
	// to itself.
	own    int
	budget int
}

// open tells whether some hash that leaves the given remainder modulo modulus
// is covered by no document of counts[from:] above the revision.
func (c *cover) open(remainder, modulus uint64, from int) bool {
	c.budget--
	if from == len(c.counts) || c.budget < 0 {
		return true
	}
	if c.counts[from] == c.own {
		return c.open(remainder, modulus, from+1)
	}
	n := uint64(c.counts[from])
	wider := lcm(modulus, n)
	for r := remainder; r < wider; r += modulus {
		if c.budget < 0 {
			return true
		}
		c.budget--
		if c.covered(int(r%n), int(n)) {
			continue
		}
		if c.open(r, wider, from+1) {
			return true
		}
	}
	return false
}

func (c *cover) covered(number, buckets int) bool {
	r := c.store.accepted[slot{
		key:     bucketKey(number),
		buckets: buckets,
	}]
	return r != nil && r.revision > c.revision
}

func bucketKey(number int) string {
	return contract.KeyBucketPrefix + strconv.Itoa(number)
}

func lcm(a, b uint64) uint64 {
	return a / gcd(a, b) * b
}

func gcd(a, b uint64) uint64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
