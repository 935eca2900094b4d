package configuration

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Snapshot is the configuration in force at one time. It is immutable, so it may be
// read from any goroutine.
type Snapshot struct {
	// Regions and List are nil until one has been received.
	Regions *contract.Regions
	List    *fleet.List
	Digest  Digest
	// Documents is the status of each key, sorted by key.
	Documents []DocumentStatus
	// Buckets is the status of each number of buckets in use, in ascending order.
	Buckets []BucketCount

	models        *models
	bucketRecords map[bucketPosition]*record
}

// DocumentStatus is the status of one key.
type DocumentStatus struct {
	Key string
	// InForce is the latest accepted revision. Zero means none.
	InForce uint64
	// Refused is the highest refused revision above InForce. Zero means none.
	Refused uint64
	// Reason explains the refusal.
	Reason string
	// At is when this VM's status of the key last changed.
	At time.Time
}

// BucketCount is the publication progress for one number of buckets.
type BucketCount struct {
	Buckets int
	// Held is how many of the buckets are in force. Once it equals Buckets, a change of
	// the number is complete.
	Held int
}

// bucketPosition identifies a contract bucket under one number of buckets.
type bucketPosition struct {
	buckets int
	number  int
}

func newSnapshot(s *Store) *Snapshot {
	snapshot := &Snapshot{
		List:          s.list,
		Digest:        s.digest,
		Documents:     s.status(),
		bucketRecords: make(map[bucketPosition]*record, len(s.accepted)),
	}
	if r := s.latest[contract.KeyRegions]; r != nil {
		snapshot.Regions = r.regions
	}
	if r := s.latest[contract.KeyModels]; r != nil {
		snapshot.models = r.models
	}
	for _, r := range s.accepted {
		if r.bucket != nil {
			snapshot.addBucket(r)
		}
	}
	slices.SortFunc(snapshot.Buckets, func(a, b BucketCount) int { return cmp.Compare(a.Buckets, b.Buckets) })
	return snapshot
}

func (s *Snapshot) addBucket(r *record) {
	s.bucketRecords[bucketPosition{
		buckets: r.buckets,
		number:  r.bucket.number,
	}] = r
	i := slices.IndexFunc(s.Buckets, func(c BucketCount) bool { return c.Buckets == r.buckets })
	if i >= 0 {
		s.Buckets[i].Held++
		return
	}
	s.Buckets = append(s.Buckets, BucketCount{
		Buckets: r.buckets,
		Held:    1,
	})
}

// Contract returns the workspace's contract. Of the buckets that the workspace belongs
// to, the one with the highest revision decides, including that there is no contract.
func (s *Snapshot) Contract(workspace string) (*contract.Contract, bool) {
	r := s.decidingRecord(workspace)
	if r == nil {
		return nil, false
	}
	c, ok := r.bucket.contracts[workspace]
	return c, ok
}

// HasBucketFor reports whether any bucket decides the workspace. If none does, the VM
// must not treat the workspace as unknown, as its bucket may not have arrived yet.
func (s *Snapshot) HasBucketFor(workspace string) bool {
	return s.decidingRecord(workspace) != nil
}

func (s *Snapshot) decidingRecord(workspace string) *record {
	var best *record
	for _, n := range s.Buckets {
		r := s.bucketRecords[bucketPosition{
			buckets: n.Buckets,
			number:  contract.BucketOf(workspace, n.Buckets),
		}]
		if r != nil && (best == nil || r.revision > best.revision) {
			best = r
		}
	}
	return best
}

// Model returns a model by name.
func (s *Snapshot) Model(name string) (*contract.Model, bool) {
	if s.models == nil {
		return nil, false
	}
	m, ok := s.models.models[name]
	return m, ok
}

// Service returns a plain service by name.
func (s *Snapshot) Service(name string) (*contract.Service, bool) {
	if s.models == nil {
		return nil, false
	}
	v, ok := s.models.services[name]
	return v, ok
}

// Ready reports whether calls can be served: models, regions, the list and at least one
// contract bucket are known.
func (s *Snapshot) Ready() bool {
	return s.models != nil && s.Regions != nil && s.List != nil && len(s.bucketRecords) > 0
}

// status returns the status of each key, sorted by key.
func (s *Store) status() []DocumentStatus {
	out := make([]DocumentStatus, 0, len(s.latest)+len(s.refused))
	for key, r := range s.latest {
		out = append(out, DocumentStatus{
			Key:     key,
			InForce: r.revision,
			At:      r.at,
		}.withRefused(s.refused[key]))
	}
	for key, r := range s.refused {
		if s.latest[key] == nil {
			out = append(out, DocumentStatus{
				Key: key,
			}.withRefused(r))
		}
	}
	slices.SortFunc(out, func(a, b DocumentStatus) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

func (d DocumentStatus) withRefused(refused *record) DocumentStatus {
	if refused == nil {
		return d
	}
	d.Refused = refused.revision
	d.Reason = refused.refusal.Error()
	if refused.at.After(d.At) {
		d.At = refused.at
	}
	return d
}
