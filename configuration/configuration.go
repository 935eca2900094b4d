// Package configuration holds the published documents known to one VM (accepted and
// refused ones) and the platform's list. What is in force depends only on revisions and
// validation, so VMs that received the same documents agree, whatever the order and the
// source.
//
// A Store is owned by one goroutine. Request handlers read its Snapshots.
package configuration

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Document is a published value as exchanged between VMs.
type Document struct {
	Key      string
	Revision uint64
	Value    []byte
	// Refused reports that the sender's validator refused the document. The receiver
	// validates again; operators use the flag to compare builds.
	Refused bool

	// validation is set by Validate.
	validation *validation
}

// validation is the validator's result for one document.
type validation struct {
	doc     *contract.Document
	refusal *result.Refusal
}

// Validate validates documents ahead of Offer. It is the most expensive part of
// accepting a document, and is kept off the goroutine that owns the Store.
func Validate(docs []Document) []Document {
	out := slices.Clone(docs)
	for i := range out {
		out[i].validation = validate(contract.Parse, out[i])
	}
	return out
}

func validate(parse func(string, []byte) (*contract.Document, *result.Refusal), d Document) *validation {
	doc, refusal := parse(d.Key, d.Value)
	return &validation{
		doc:     doc,
		refusal: refusal,
	}
}

// Verdict is the outcome for one offered document.
type Verdict struct {
	Key      string
	Revision uint64
	// Refusal is set if the validator refused the document.
	Refusal *result.Refusal
	// Changed reports whether the Store was changed by the document.
	Changed bool
}

// Options configures a Store.
type Options struct {
	// Now returns the time for DocumentStatus.At. The default is time.Now.
	Now func() time.Time
	// Parse validates documents that Validate hasn't. The default is contract.Parse.
	Parse func(key string, value []byte) (*contract.Document, *result.Refusal)
}

// Store holds the documents and the list. It is not safe for concurrent use.
type Store struct {
	now   func() time.Time
	parse func(key string, value []byte) (*contract.Document, *result.Refusal)

	// accepted holds the accepted documents that still decide something.
	accepted map[slot]*record
	// latest is the highest accepted record of each key, which is also in accepted.
	latest map[string]*record
	// refused is the highest refused record of each key, if it is above latest.
	refused map[string]*record
	list    *fleet.List
	digest  Digest

	// snapshot is nil after a change, until Snapshot is called.
	snapshot *Snapshot
}

// New returns an empty Store.
func New(o Options) *Store {
	s := &Store{
		now:      o.Now,
		parse:    o.Parse,
		accepted: make(map[slot]*record),
		latest:   make(map[string]*record),
		refused:  make(map[string]*record),
	}
	if s.now == nil {
		s.now = time.Now
	}
	if s.parse == nil {
		s.parse = contract.Parse
	}
	return s
}

// Offer validates documents from the platform or a peer and stores the new ones. If a
// document is refused, the last accepted one stays in force and the reason is recorded.
func (s *Store) Offer(docs []Document) []Verdict {
	verdicts := make([]Verdict, 0, len(docs))
	for _, d := range docs {
		verdicts = append(verdicts, s.offer(d))
	}
	return verdicts
}

func (s *Store) offer(d Document) Verdict {
	v := Verdict{
		Key:      d.Key,
		Revision: d.Revision,
	}
	if d.Revision == 0 || s.isKnown(d.Key, d.Revision) {
		return v
	}
	checked := d.validation
	if checked == nil {
		checked = validate(s.parse, d)
	}
	if checked.refusal != nil {
		v.Refusal = checked.refusal
		v.Changed = s.refuse(newRefused(d, checked.refusal, s.now()))
		return v
	}
	v.Changed = s.accept(newRecord(d, checked.doc, s.now()))
	return v
}

// isKnown reports whether a document can be ignored without validation. A lower
// revision of a contract bucket can't: it may belong to an earlier number of buckets
// that still decides some workspaces.
func (s *Store) isKnown(key string, revision uint64) bool {
	if r := s.refused[key]; r != nil && r.revision == revision {
		return true
	}
	last := s.latest[key]
	if last == nil || revision > last.revision {
		return false
	}
	if last.bucket == nil {
		return true
	}
	return s.holds(key, revision)
}

// refuse stores a refused record if it is above the latest accepted and refused ones.
func (s *Store) refuse(r *record) bool {
	if last := s.latest[r.key]; last != nil && last.revision >= r.revision {
		return false
	}
	before := s.refused[r.key]
	if before != nil && before.revision >= r.revision {
		return false
	}
	if before != nil {
		s.digest.toggle(before)
	}
	s.refused[r.key] = r
	s.markChanged(r)
	return true
}

// accept stores the record if it is the highest in its slot and decides something.
func (s *Store) accept(r *record) bool {
	before := s.accepted[r.slot]
	if before != nil && before.revision >= r.revision {
		return false
	}
	last := s.latest[r.key]
	superseded := last != nil && last.revision > r.revision
	if superseded && !s.visible(r, s.bucketCounts()) {
		return false
	}
	if before != nil {
		s.digest.toggle(before)
	}
	s.accepted[r.slot] = r
	if !superseded {
		s.latest[r.key] = r
		s.dropSupersededRefusal(r)
	}
	s.markChanged(r)
	s.prune(r)
	return true
}

// dropSupersededRefusal removes the key's refused record if the accepted one is newer.
func (s *Store) dropSupersededRefusal(accepted *record) {
	r := s.refused[accepted.key]
	if r == nil || r.revision > accepted.revision {
		return
	}
	delete(s.refused, r.key)
	s.digest.toggle(r)
}

func (s *Store) markChanged(r *record) {
	s.digest.toggle(r)
	s.digest.Revision = max(s.digest.Revision, r.revision)
	s.snapshot = nil
}

// OfferList stores the list if it is newer, and reports whether it was.
func (s *Store) OfferList(list fleet.List) bool {
	if list.Revision <= s.digest.ListRevision {
		return false
	}
	s.list = &list
	s.digest.ListRevision = list.Revision
	s.snapshot = nil
	return true
}

// Snapshot returns the current state. It is built once after each change.
func (s *Store) Snapshot() *Snapshot {
	if s.snapshot == nil {
		s.snapshot = newSnapshot(s)
	}
	return s.snapshot
}
