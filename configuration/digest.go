package configuration

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest sums up what a VM knows. Two VMs with equal digests hold the same
// documents and the same list.
type Digest struct {
	ListRevision uint64
	// Revision is the highest revision of a document seen, refused ones too. It
	// does not mean that all below it are known.
	Revision uint64
	// Hash covers key, revision and verdict of all documents held, in any order.
	Hash uint64
}

// toggle adds the record to the hash, or takes it out again.
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

// Held is one document that a VM holds, in force or refused.
type Held struct {
	Key      string
	Revision uint64
}

// Digest returns the sum of what is held.
func (s *Store) Digest() Digest {
	return s.digest
}

// Held gives every document held, refused ones too, by revision.
func (s *Store) Held() []Held {
	records := s.records()
	held := make([]Held, 0, len(records))
	for _, r := range records {
		held = append(held, r.held())
	}
	return held
}

// Newer returns the documents that another VM lacks, for it to judge. First come
// those above all that the other holds under the key, which are news to it. Then
// come those below: the accepted one beneath a refused one, one of an earlier
// number of buckets, or one that this VM is behind with. Each part starts with
// the lowest revision.
func (s *Store) Newer(held []Held) []Document {
	theirs := make(map[Held]bool, len(held))
	highest := make(map[string]uint64, len(held))
	for _, h := range held {
		theirs[h] = true
		highest[h.Key] = max(highest[h.Key], h.Revision)
	}
	var news, below []Document
	for _, r := range s.records() {
		switch {
		case theirs[r.held()]:
		case r.revision > highest[r.key]:
			news = append(news, r.document())
		default:
			below = append(below, r.document())
		}
	}
	return append(news, below...)
}

// Page returns the first documents whose values are up to size bytes together,
// at least one, so that a reply stays bounded. The receiver pulls again until a
// page changes nothing; what is left then waits until the sender has caught up.
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

// records returns all records by revision, then key.
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
