// Package configuration holds the published documents that one VM knows: those
// in force, those refused, and the platform's list. It decides by revision and
// by the one validator alone, so that every VM that saw the same documents, in
// any order and from any source, has the same ones in force.
//
// All of it is control state of one goroutine; traffic reads Snapshots.
package configuration

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Document is one published value as it passes between VMs.
type Document struct {
	Key      string
	Revision uint64
	Value    []byte
	// Refused tells that the sender's validator refused it. The receiver judges
	// again; the mark lets an operator compare builds.
	Refused bool

	// judged is set by Judge.
	judged *judgement
}

// judgement is the validator's verdict on one document.
type judgement struct {
	doc     *contract.Document
	refusal *result.Refusal
}

// Judge runs the validator on documents ahead of Offer, in the goroutine of the
// one who read them. The validator is by far the dearest part of taking a
// document in, and this keeps it from the control goroutine.
func Judge(docs []Document) []Document {
	out := slices.Clone(docs)
	for i := range out {
		out[i].judged = judge(contract.Parse, out[i])
	}
	return out
}

func judge(parse func(string, []byte) (*contract.Document, *result.Refusal), d Document) *judgement {
	doc, refusal := parse(d.Key, d.Value)
	return &judgement{
		doc:     doc,
		refusal: refusal,
	}
}

// Verdict is what became of one offered document.
type Verdict struct {
	Key      string
	Revision uint64
	// Refusal is set when the validator refused the document.
	Refusal *result.Refusal
	// Changed tells that the document is new here, in force or refused.
	Changed bool
}

// Options set up a Store.
type Options struct {
	// Now is the clock for DocumentStatus.At.
	Now func() time.Time
	// Parse judges a document that Judge has not; nil means contract.Parse.
	Parse func(key string, value []byte) (*contract.Document, *result.Refusal)
}

// Store is the control state. One goroutine owns it.
type Store struct {
	now   func() time.Time
	parse func(key string, value []byte) (*contract.Document, *result.Refusal)

	// accepted are the documents that decide something, by slot.
	accepted map[slot]*record
	// latest is the highest accepted record of each key; it is in accepted too.
	latest map[string]*record
	// refused is the highest refused record of each key that is above latest.
	refused map[string]*record
	list    *fleet.List
	digest  Digest

	// snapshot is nil after a change until the next call of Snapshot.
	snapshot *Snapshot
}

// New makes an empty store.
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

// Offer judges documents from the platform or a peer. A revision that is not
// above what is known is ignored, whatever its source. A refused document is
// remembered with its reason while the last accepted one stays in force.
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
	if d.Revision == 0 || s.known(d.Key, d.Revision) {
		return v
	}
	judged := d.judged
	if judged == nil {
		judged = judge(s.parse, d)
	}
	if judged.refusal != nil {
		v.Refusal = judged.refusal
		v.Changed = s.refuse(newRefused(d, judged.refusal, s.now()))
		return v
	}
	v.Changed = s.accept(newRecord(d, judged.doc, s.now()))
	return v
}

// known tells without judging that the document brings nothing new. A lower
// revision of a contract bucket must be judged: it may belong to an earlier
// number of buckets that still decides some workspaces.
func (s *Store) known(key string, revision uint64) bool {
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

// refuse remembers the highest refused revision above the latest accepted one.
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
	s.changed(r)
	return true
}

// accept takes the record in force if it is the highest of its slot and
// decides something.
func (s *Store) accept(r *record) bool {
	before := s.accepted[r.slot]
	if before != nil && before.revision >= r.revision {
		return false
	}
	last := s.latest[r.key]
	superseded := last != nil && last.revision > r.revision
	if superseded && !s.visible(r, s.counts()) {
		return false
	}
	if before != nil {
		s.digest.toggle(before)
	}
	s.accepted[r.slot] = r
	if !superseded {
		s.latest[r.key] = r
		s.forgetRefused(r)
	}
	s.changed(r)
	s.prune(r)
	return true
}

// forgetRefused drops the refused record that an accepted one is above.
func (s *Store) forgetRefused(accepted *record) {
	r := s.refused[accepted.key]
	if r == nil || r.revision > accepted.revision {
		return
	}
	delete(s.refused, r.key)
	s.digest.toggle(r)
}

func (s *Store) changed(r *record) {
	s.digest.toggle(r)
	s.digest.Revision = max(s.digest.Revision, r.revision)
	s.snapshot = nil
}

// OfferList takes a list that is newer than the one held.
func (s *Store) OfferList(list fleet.List) bool {
	if list.Revision <= s.digest.ListRevision {
		return false
	}
	s.list = &list
	s.digest.ListRevision = list.Revision
	s.snapshot = nil
	return true
}

// Snapshot returns the state for traffic. It is made once after each change.
func (s *Store) Snapshot() *Snapshot {
	if s.snapshot == nil {
		s.snapshot = newSnapshot(s)
	}
	return s.snapshot
}
