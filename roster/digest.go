package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is into how many groups the members are put by their ids: of 300
	// members a change of one makes two VMs tell each other some five rumors.
	digestBuckets = 64
	// recentFor is how long a rumor is told unasked, which is as long as three exchanges
	// take, and recentMost how many of them at once, of some 100 bytes each. The rest is
	// told to VMs that ask for it by their digest.
	recentFor  = 1500 * time.Millisecond
	recentMost = 16
)

// Digest covers the rumors that a VM holds, by bucket, so that another one sees where
// it holds others. It travels as 256 bytes. Were all rumors told wherever two VMs differ in
// one, it would be 24 KB of 295 members in nearly each message, as each member asks the same
// other one only every 50 s.
type Digest [digestBuckets]uint32

// sums are the sums of the rumors' digests by bucket, which do not depend on their order.
type sums [digestBuckets]uint64

func (s *sums) add(r Rumor) {
	s[bucketOf(r.VM.ID)] += r.digest()
}

func (s *sums) remove(r Rumor) {
	s[bucketOf(r.VM.ID)] -= r.digest()
}

func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % digestBuckets)
}

// Digest gives that of all rumors held, the own one included.
func (r *Roster) Digest() Digest {
	var d Digest
	for i, sum := range r.sums {
		d[i] = uint32(sum ^ sum>>32)
	}
	return d
}

// Differing returns the rumors that another VM may lack, by its digest.
func (r *Roster) Differing(theirs Digest) []Rumor {
	own := r.Digest()
	var out []Rumor
	differs := func(id string) bool {
		bucket := bucketOf(id)
		return own[bucket] != theirs[bucket]
	}
	if differs(r.self.VM.ID) {
		out = append(out, r.self)
	}
	for id, m := range r.members {
		if differs(id) {
			out = append(out, m.Rumor)
		}
	}
	return out
}

// Recent returns the rumors that this VM took last, to be told unasked.
func (r *Roster) Recent(now time.Time) []Rumor {
	var recent []*member
	for _, m := range r.members {
		if now.Sub(m.tookAt) < recentFor {
			recent = append(recent, m)
		}
	}
	slices.SortFunc(recent, func(a, b *member) int {
		return cmp.Or(b.tookAt.Compare(a.tookAt), cmp.Compare(a.VM.ID, b.VM.ID))
	})
	var out []Rumor
	for _, m := range recent[:min(len(recent), recentMost)] {
		out = append(out, m.Rumor)
	}
	return out
}
