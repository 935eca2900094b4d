package configuration

import (
	"maps"
	"slices"
	"strconv"

	"github.com/fuchsianotch/fuchsianotch/contract"
)

// The number of buckets may change while documents of both numbers exist. A workspace
// is decided by the document with the highest revision among those whose bucket it
// belongs to, each under its own number of buckets, whether or not that document
// contains the workspace. A superseded document is visible, and stays in force, while
// it decides at least one possible workspace. Visibility depends only on the set of
// documents: removing an invisible one doesn't change that of any other.

// visibleSearchBudget limits the steps of the search for one document. If the search
// doesn't finish, the document is kept, which is safe.
const visibleSearchBudget = 1 << 16

// prune removes superseded documents that no longer decide any workspace after the
// addition. Only documents that share workspaces with the added one can be affected.
func (s *Store) prune(added *record) {
	if len(s.accepted) == len(s.latest) {
		return
	}
	counts := s.bucketCounts()
	for at, r := range s.accepted {
		if s.latest[r.key] == r || !added.sharesWorkspaces(r) || s.visible(r, counts) {
			continue
		}
		delete(s.accepted, at)
		s.digest.toggle(r)
	}
}

// sharesWorkspaces reports whether some workspace can belong to both contract buckets.
func (r *record) sharesWorkspaces(other *record) bool {
	if r.bucket == nil || other.bucket == nil {
		return false
	}
	common := int(gcd(uint64(r.buckets), uint64(other.buckets)))
	return r.bucket.number%common == other.bucket.number%common
}

// visible reports whether the record decides at least one workspace hash under the
// numbers of buckets in use. It is false for documents other than contract buckets, of
// which only the latest decides.
func (s *Store) visible(r *record, counts []int) bool {
	if r.bucket == nil {
		return false
	}
	search := coverageSearch{
		store:        s,
		revision:     r.revision,
		bucketCounts: counts,
		ownBuckets:   r.buckets,
		budget:       visibleSearchBudget,
	}
	return search.hasUncovered(uint64(r.bucket.number), uint64(r.buckets), 0)
}

// bucketCounts returns the numbers of buckets in use, in ascending order.
func (s *Store) bucketCounts() []int {
	seen := make(map[int]bool)
	for at, r := range s.accepted {
		if r.bucket != nil {
			seen[at.buckets] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// coverageSearch searches for a workspace hash that no document of a higher revision
// covers.
type coverageSearch struct {
	store        *Store
	revision     uint64
	bucketCounts []int
	// ownBuckets is the number of buckets of the document in question, which the search
	// skips.
	ownBuckets int
	budget     int
}

// hasUncovered reports whether some hash with the given remainder modulo modulus is
// covered by no higher document of bucketCounts[from:].
func (c *coverageSearch) hasUncovered(remainder, modulus uint64, from int) bool {
	c.budget--
	if from == len(c.bucketCounts) || c.budget < 0 {
		return true
	}
	if c.bucketCounts[from] == c.ownBuckets {
		return c.hasUncovered(remainder, modulus, from+1)
	}
	n := uint64(c.bucketCounts[from])
	wider := lcm(modulus, n)
	for r := remainder; r < wider; r += modulus {
		if c.budget < 0 {
			return true
		}
		c.budget--
		if c.covered(int(r%n), int(n)) {
			continue
		}
		if c.hasUncovered(r, wider, from+1) {
			return true
		}
	}
	return false
}

func (c *coverageSearch) covered(number, buckets int) bool {
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
