package discovery

import "slices"

// maxTombstones is the number of removals that a mirror keeps for its readers. A reader
// that is further behind gets a full snapshot.
const maxTombstones = 512

// Item is an item of the store, or its removal.
type Item struct {
	Key      string
	Revision uint64
	Value    []byte
	Removed  bool
}

// Mirror is a copy of the store's items, read from the store or from a peer's mirror.
// Its revision never decreases. It is not safe for concurrent use.
type Mirror struct {
	revision uint64
	items    map[string]Item
	// tombstones holds removals in the order of their revisions; those up to
	// compactedRevision were discarded.
	tombstones        []Item
	compactedRevision uint64
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{
		items: make(map[string]Item),
	}
}

// Revision returns the store revision up to which the mirror is complete.
func (m *Mirror) Revision() uint64 {
	return m.revision
}

// Apply applies changes up to a revision and returns those that were new.
func (m *Mirror) Apply(changes []Item, revision uint64) []Item {
	var applied []Item
	for _, c := range changes {
		if m.applyItem(c) {
			applied = append(applied, c)
		}
	}
	m.revision = max(m.revision, revision)
	return applied
}

// Replace applies a full snapshot at a revision and returns the changes: items that are
// not in it were removed. A snapshot older than the mirror is ignored. It lacks items
// that were added and removed in between, which a peer may hold, so peers behind it also
// get a full snapshot.
func (m *Mirror) Replace(items []Item, revision uint64) []Item {
	if revision < m.revision {
		return nil
	}
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
	}
	changes := items
	for key, held := range m.items {
		if !listed[key] && held.Revision <= revision {
			changes = append(slices.Clip(changes), Item{
				Key:      key,
				Revision: revision,
				Removed:  true,
			})
		}
	}
	m.compactedRevision = max(m.compactedRevision, revision)
	return m.Apply(changes, revision)
}

func (m *Mirror) applyItem(c Item) bool {
	held, ok := m.items[c.Key]
	if ok && held.Revision >= c.Revision {
		return false
	}
	if c.Removed {
		if !ok || m.removedSince(c) {
			return false
		}
		delete(m.items, c.Key)
		m.addTombstone(c)
		return true
	}
	if m.removedSince(c) {
		return false
	}
	m.items[c.Key] = c
	return true
}

// removedSince reports whether a removal of the key at c's revision or later is known.
func (m *Mirror) removedSince(c Item) bool {
	for _, t := range m.tombstones {
		if t.Key == c.Key && t.Revision >= c.Revision {
			return true
		}
	}
	return false
}

func (m *Mirror) addTombstone(c Item) {
	m.tombstones = append(m.tombstones, c)
	if over := len(m.tombstones) - maxTombstones; over > 0 {
		m.compactedRevision = m.tombstones[over-1].Revision
		m.tombstones = slices.Clone(m.tombstones[over:])
	}
}

// ChangesSince returns the changes after a revision for a peer. If removals may be missing, it
// returns all items and full is true.
func (m *Mirror) ChangesSince(after uint64) (items []Item, full bool) {
	full = after == 0 || after < m.compactedRevision
	for _, item := range m.items {
		if full || item.Revision > after {
			items = append(items, item)
		}
	}
	if full {
		return items, true
	}
	for _, t := range m.tombstones {
		if t.Revision > after {
			items = append(items, t)
		}
	}
	return items, false
}
