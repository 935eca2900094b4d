package configuration

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest summarizes a VM's configuration. VMs with equal digests have the same
// documents and list.
type Digest struct {
	ListRevision uint64
	// Revision is the highest document revision seen, accepted or refused. Lower ones
	// may be missing.
	Revision uint64
	// Hash covers the key, revision and verdict of all documents held, in any order.
	Hash uint64
}

// toggle adds the record to the hash, or removes it.
func (d *Digest) toggle(r *record) {
	var tail [9]byte
	binary.LittleEndian.PutUint64(tail[:], r.revision)
	if r.refusal != nil {
		tail[8] = 1
	}
	h := xxhash.New()
	_, _ = h.WriteString(r.key)
	_, _ = h.Write(tail[:])
	d.Hash ^= h.Sum64()
}

// Held identifies a document that a VM holds, accepted or refused.
type Held struct {
	Key      string
	Revision uint64
}

// Digest returns the digest of the documents and the list.
func (s *Store) Digest() Digest {
	return s.digest
}

// Held returns all documents held, sorted by revision.
func (s *Store) Held() []Held {
	records := s.records()
	held := make([]Held, 0, len(records))
	for _, r := range records {
		held = append(held, r.held())
	}
	return held
}

// Newer returns the documents that another VM lacks, for it to validate. Documents
// above all that it holds under their key come first. Lower ones follow: accepted ones
// below a refused one, those of an earlier number of buckets, and outdated ones. Both
// parts are sorted by revision.
func (s *Store) Newer(held []Held) []Document {
	theirs := make(map[Held]bool, len(held))
	highest := make(map[string]uint64, len(held))
	for _, h := range held {
		theirs[h] = true
		highest[h.Key] = max(highest[h.Key], h.Revision)
	}
	var newer, older []Document
	for _, r := range s.records() {
		switch {
		case theirs[r.held()]:
		case r.revision > highest[r.key]:
			newer = append(newer, r.document())
		default:
			older = append(older, r.document())
		}
	}
	return append(newer, older...)
}

// Page returns the first documents, at least one, whose keys and values fit into size
// bytes, to limit the size of a reply. The receiver pulls until a page changes nothing.
// Any that remain wait until the sender has caught up.
func Page(docs []Document, size int) []Document {
	for i, d := range docs {
		size -= len(d.Key) + len(d.Value)
		if size < 0 {
			return docs[:max(i, 1)]
		}
	}
	return docs
}

func (s *Store) holds(key string, revision uint64) bool {
	if last := s.latest[key]; last != nil && last.revision == revision {
		return true
	}
	for at, r := range s.accepted {
		if at.key == key && r.revision == revision {
			return true
		}
	}
	return false
}

// records returns all records, sorted by revision and key.
func (s *Store) records() []*record {
	records := make([]*record, 0, len(s.accepted)+len(s.refused))
	for _, r := range s.accepted {
		records = append(records, r)
	}
	for _, r := range s.refused {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.key, b.key))
	})
	return records
}

func (r *record) held() Held {
	return Held{
		Key:      r.key,
		Revision: r.revision,
	}
}
