package configuration

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Snapshot is the configuration in force at one moment. It never changes, and
// may be read from any goroutine. Snapshots share the documents themselves.
type Snapshot struct {
	// Regions and List are nil until the first is known.
	Regions *contract.Regions
	List    *fleet.List
	Digest  Digest
	// Documents is the state of each key, by key.
	Documents []DocumentStatus
	// Buckets is the state of each number of buckets in use, ascending.
	Buckets []BucketCount

	models *models
	places map[place]*record
}

// DocumentStatus is the state of one key.
type DocumentStatus struct {
	Key string
	// InForce is the latest accepted revision; zero means none.
	InForce uint64
	// Refused is the highest refused revision above InForce; zero means none.
	Refused uint64
	// Reason is why the refused one was refused.
	Reason string
	// At is when this VM's state of the key last changed.
	At time.Time
}

// BucketCount tells how far the documents of one number of buckets are published.
type BucketCount struct {
	Buckets int
	// Held is how many of them are in force; a change of number ends at Buckets.
	Held int
}

// place is the position of a contract bucket under a number of buckets.
type place struct {
	buckets int
	number  int
}

func newSnapshot(s *Store) *Snapshot {
	snapshot := &Snapshot{
		List:      s.list,
		Digest:    s.digest,
		Documents: s.status(),
		places:    make(map[place]*record, len(s.accepted)),
	}
	if r := s.latest[contract.KeyRegions]; r != nil {
		snapshot.Regions = r.regions
	}
	if r := s.latest[contract.KeyModels]; r != nil {
		snapshot.models = r.models
	}
	for _, r := range s.accepted {
		if r.bucket != nil {
			snapshot.add(r)
		}
	}
	slices.SortFunc(snapshot.Buckets, func(a, b BucketCount) int { return cmp.Compare(a.Buckets, b.Buckets) })
	return snapshot
}

func (s *Snapshot) add(r *record) {
	s.places[place{
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

// Contract returns the workspace's contract. Of the buckets that the workspace
// falls in, the one of the highest revision decides, also that there is none.
func (s *Snapshot) Contract(workspace string) (*contract.Contract, bool) {
	r := s.decides(workspace)
	if r == nil {
		return nil, false
	}
	c, ok := r.bucket.contracts[workspace]
	return c, ok
}

// Covers tells whether a document that decides on the workspace is known. A VM
// that has not got it yet must not call the workspace unknown.
func (s *Snapshot) Covers(workspace string) bool {
	return s.decides(workspace) != nil
}

func (s *Snapshot) decides(workspace string) *record {
	var best *record
	for _, n := range s.Buckets {
		r := s.places[place{
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

// Ready tells whether calls can be served: models, regions, the list and at
// least one contract bucket are known.
func (s *Snapshot) Ready() bool {
	return s.models != nil && s.Regions != nil && s.List != nil && len(s.places) > 0
}

// status returns the state of each key, by key.
func (s *Store) status() []DocumentStatus {
	out := make([]DocumentStatus, 0, len(s.latest)+len(s.refused))
	for key, r := range s.latest {
		out = append(out, DocumentStatus{
			Key:     key,
			InForce: r.revision,
			At:      r.at,
		}.with(s.refused[key]))
	}
	for key, r := range s.refused {
		if s.latest[key] == nil {
			out = append(out, DocumentStatus{
				Key: key,
			}.with(r))
		}
	}
	slices.SortFunc(out, func(a, b DocumentStatus) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

func (d DocumentStatus) with(refused *record) DocumentStatus {
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
