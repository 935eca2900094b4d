package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is the number of groups that members are hashed into by ID. With
	// 300 members a change of one makes two VMs exchange about five rumors.
	digestBuckets = 64
	// recentPeriod is how long a new rumor is pushed to others, about three exchanges.
	// maxRecentRumors limits how many, of about 100 bytes each, are pushed at once.
	// Others are sent only when the digests differ.
	recentPeriod    = 1500 * time.Millisecond
	maxRecentRumors = 16
)

// Digest has a checksum of the held rumors for each bucket, 256 bytes in all. Comparing
// two digests limits an exchange to the rumors of buckets that differ; those of 295 members
// take 24 KB.
type Digest [digestBuckets]uint32

// bucketSums holds the sum of the rumors' hashes for each bucket, which is independent
// of their order.
type bucketSums [digestBuckets]uint64

func (s *bucketSums) add(r Rumor) {
	s[bucketOf(r.VM.ID)] += r.hash()
}

func (s *bucketSums) remove(r Rumor) {
	s[bucketOf(r.VM.ID)] -= r.hash()
}

func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % digestBuckets)
}

// Digest returns the digest of all rumors held, including the own one.
func (r *Roster) Digest() Digest {
	var d Digest
	for i, sum := range r.bucketSums {
		d[i] = uint32(sum ^ sum>>32)
	}
	return d
}

// DifferingRumors returns the rumors in buckets that differ from another VM's digest.
func (r *Roster) DifferingRumors(theirs Digest) []Rumor {
	own := r.Digest()
	var out []Rumor
	differs := func(id string) bool {
		bucket := bucketOf(id)
		return own[bucket] != theirs[bucket]
	}
	if differs(r.self.VM.ID) {
		out = append(out, r.self)
	}
	for _, m := range r.sorted {
		if differs(m.VM.ID) {
			out = append(out, m.Rumor)
		}
	}
	return out
}

// DiffersMostly reports whether another VM's digest differs in most buckets, as that of a
// VM that has just started.
func (r *Roster) DiffersMostly(theirs Digest) bool {
	own := r.Digest()
	differing := 0
	for i := range own {
		if own[i] != theirs[i] {
			differing++
		}
	}
	return 2*differing > digestBuckets
}

// Rumors returns all rumors held, including the own one.
func (r *Roster) Rumors() []Rumor {
	out := make([]Rumor, 0, len(r.sorted)+1)
	out = append(out, r.self)
	for _, m := range r.sorted {
		out = append(out, m.Rumor)
	}
	return out
}

// RecentRumors returns the latest rumors, to be pushed with the next message.
func (r *Roster) RecentRumors(now time.Time) []Rumor {
	var recent []*member
	for _, m := range r.sorted {
		if now.Sub(m.updatedAt) < recentPeriod {
			recent = append(recent, m)
		}
	}
	slices.SortFunc(recent, func(a, b *member) int {
		return cmp.Or(b.updatedAt.Compare(a.updatedAt), cmp.Compare(a.VM.ID, b.VM.ID))
	})
	var out []Rumor
	for _, m := range recent[:min(len(recent), maxRecentRumors)] {
		out = append(out, m.Rumor)
	}
	return out
}
