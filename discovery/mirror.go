package discovery

import "slices"

// tombstonesKept bounds the removals that a mirror remembers for its readers;
// one that is further behind gets everything. It covers the changes of some
// minutes of a site in turmoil.
const tombstonesKept = 512

// Item is one published item, or its removal.
type Item struct {
	Key      string
	Revision uint64
	Value    []byte
	Removed  bool
}

// Mirror holds the store's items with its revision, from the store itself or
// from a peer's mirror. It never goes back. It is not safe for concurrent use.
type Mirror struct {
	revision uint64
	items    map[string]Item
	// tombstones are removals in the order of their revisions; those up to
	// forgotten are no longer known.
	tombstones []Item
	forgotten  uint64
}

// NewMirror makes an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{
		items: make(map[string]Item),
	}
}

// Revision is the store's revision up to which the mirror is complete.
func (m *Mirror) Revision() uint64 {
	return m.revision
}

// Apply takes changes up to a revision and gives those that were new.
func (m *Mirror) Apply(changes []Item, revision uint64) []Item {
	var fresh []Item
	for _, c := range changes {
		if m.take(c) {
			fresh = append(fresh, c)
		}
	}
	m.revision = max(m.revision, revision)
	return fresh
}

// Replace takes all items as of a revision: what the mirror holds beyond them
// was removed. A picture older than the mirror's changes nothing. What came and
// went between the two is not in it, so a peer that is behind it gets everything:
// it may hold what this mirror never knew.
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
	m.forgotten = max(m.forgotten, revision)
	return m.Apply(changes, revision)
}

func (m *Mirror) take(c Item) bool {
	held, ok := m.items[c.Key]
	if ok && held.Revision >= c.Revision {
		return false
	}
	if c.Removed {
		if !ok || m.removedSince(c) {
			return false
		}
		delete(m.items, c.Key)
		m.bury(c)
		return true
	}
	if m.removedSince(c) {
		return false
	}
	m.items[c.Key] = c
	return true
}

// removedSince reports whether a removal of the key is known that is as new.
func (m *Mirror) removedSince(c Item) bool {
	for _, t := range m.tombstones {
		if t.Key == c.Key && t.Revision >= c.Revision {
			return true
		}
	}
	return false
}

func (m *Mirror) bury(c Item) {
	m.tombstones = append(m.tombstones, c)
	if over := len(m.tombstones) - tombstonesKept; over > 0 {
		m.forgotten = m.tombstones[over-1].Revision
		m.tombstones = slices.Clone(m.tombstones[over:])
	}
}

// Since returns the changes above a revision for a peer. Where removals may be
// missing it gives all items, and whole is true.
func (m *Mirror) Since(after uint64) (items []Item, whole bool) {
	whole = after == 0 || after < m.forgotten
	for _, item := range m.items {
		if whole || item.Revision > after {
			items = append(items, item)
		}
	}
	if whole {
		return items, true
	}
	for _, t := range m.tombstones {
		if t.Revision > after {
			items = append(items, t)
		}
	}
	return items, false
}
