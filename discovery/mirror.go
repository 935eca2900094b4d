package discovery

import (
	"bytes"
	"cmp"
	"slices"
)

// minTombstones is the number of removals that a mirror at least keeps for its readers. It
// keeps as many as it has items if those are more, so that the loss of a large part of them
// does not make all readers read everything anew.
const minTombstones = 512

// Item is an item of the store, or its removal.
type Item struct {
	Key      string
	Revision uint64
	Value    []byte
	Removed  bool
}

// Mirror is a copy of the store's items, read from the store or from a peer's mirror. All of
// them are of one era, and its position never goes back. It is not safe for concurrent use.
type Mirror struct {
	position Position
	items    map[string]Item
	// tombstones holds the latest removals; those up to compactedRevision may have been
	// discarded.
	tombstones        map[string]Item
	compactedRevision uint64
	// history and removals list the items and the tombstones by revision.
	history  revisionLog
	removals revisionLog
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{
		items:      make(map[string]Item),
		tombstones: make(map[string]Item),
	}
}

// Position returns the position in the store's history up to which the mirror is complete.
func (m *Mirror) Position() Position {
	return m.position
}

// Apply applies changes up to a position and returns those that were new. Changes of another
// era are ignored.
func (m *Mirror) Apply(changes []Item, position Position) []Item {
	if position.Era != m.position.Era {
		return nil
	}
	var applied []Item
	for _, c := range changes {
		if m.applyItem(c) {
			applied = append(applied, c)
		}
	}
	m.history.sort(m.items)
	m.removals.sort(m.tombstones)
	m.dropTombstones()
	m.position.Revision = max(m.position.Revision, position.Revision)
	return applied
}

// Replace applies a full snapshot at a position and returns the changes: items that are
// not in it were removed. A snapshot older than the mirror is ignored. It lacks items
// that were added and removed in between, which a peer may hold, so peers behind it also
// get a full snapshot. restored is set if the snapshot begins an era, in which items may be
// older than those held.
func (m *Mirror) Replace(items []Item, position Position) (changes []Item, restored bool) {
	if m.position.IsAfter(position) {
		return nil, false
	}
	if position.Era != m.position.Era {
		restored = !m.position.IsZero()
		return m.beginEra(items, position), restored
	}
	changes = items
	for _, held := range m.unlisted(items) {
		if held.Revision <= position.Revision {
			changes = append(slices.Clip(changes), removalAt(held.Key, position.Revision))
		}
	}
	m.compactedRevision = max(m.compactedRevision, position.Revision)
	return m.Apply(changes, position), false
}

// HidesChanges reports whether a snapshot may lack changes after the mirror's position beside
// those that it shows: of items that were added and removed, or changed more than once.
func (m *Mirror) HidesChanges(items []Item, position Position) bool {
	if !position.IsAfter(m.position) {
		return false
	}
	if position.Era != m.position.Era {
		return true
	}
	shown := len(m.unlisted(items))
	for _, item := range items {
		if item.Revision > m.position.Revision && item.Revision <= position.Revision {
			shown++
		}
	}
	return position.Revision-m.position.Revision > uint64(shown)
}

// beginEra replaces all items by those of a new era and returns the changes. Revisions of the
// previous era mean nothing any more.
func (m *Mirror) beginEra(items []Item, position Position) (changes []Item) {
	for _, held := range m.unlisted(items) {
		changes = append(changes, removalAt(held.Key, position.Revision))
	}
	before := m.items
	*m = *NewMirror()
	m.position = position
	m.compactedRevision = position.Revision
	for _, item := range items {
		m.items[item.Key] = item
		m.history.add(item)
		if held, ok := before[item.Key]; !ok || !bytes.Equal(held.Value, item.Value) {
			changes = append(changes, item)
		}
	}
	m.history.sort(m.items)
	return changes
}

// unlisted returns the items held that are not in a snapshot.
func (m *Mirror) unlisted(snapshot []Item) []Item {
	listed := make(map[string]bool, len(snapshot))
	for _, item := range snapshot {
		listed[item.Key] = true
	}
	var out []Item
	for key, held := range m.items {
		if !listed[key] {
			out = append(out, held)
		}
	}
	return out
}

func removalAt(key string, revision uint64) Item {
	return Item{
		Key:      key,
		Revision: revision,
		Removed:  true,
	}
}

func (m *Mirror) applyItem(c Item) bool {
	held, ok := m.items[c.Key]
	if ok && held.Revision >= c.Revision {
		return false
	}
	if removal, removed := m.tombstones[c.Key]; removed && removal.Revision >= c.Revision {
		return false
	}
	if c.Removed {
		if ok {
			delete(m.items, c.Key)
			m.tombstones[c.Key] = c
			m.removals.add(c)
		}
		return ok
	}
	m.items[c.Key] = c
	m.history.add(c)
	return true
}

// dropTombstones discards the oldest removals beyond the number that is kept.
func (m *Mirror) dropTombstones() {
	for len(m.tombstones) > max(minTombstones, len(m.items)) {
		first := m.removals.entries[0]
		m.removals.entries = m.removals.entries[1:]
		if m.tombstones[first.key].Revision == first.revision {
			delete(m.tombstones, first.key)
			m.compactedRevision = max(m.compactedRevision, first.revision)
		}
	}
}

// Unseen returns the removals among changes after the mirror's position that end items which it has
// never held, as they came and went in between.
func (m *Mirror) Unseen(changes []Item, position Position) []Item {
	if position.Era != m.position.Era {
		return nil
	}
	var out []Item
	for _, c := range changes {
		_, held := m.items[c.Key]
		removal, removed := m.tombstones[c.Key]
		if c.Removed && c.Revision > m.position.Revision && !held && (!removed || removal.Revision < c.Revision) {
			out = append(out, c)
		}
	}
	return out
}

// NeedsSnapshot reports whether a peer at a position needs all items, as it is in another era
// or removals may be missing among the changes.
func (m *Mirror) NeedsSnapshot(after Position) bool {
	return after.Era != m.position.Era || after.Revision == 0 || after.Revision < m.compactedRevision
}

// ChangesSince returns the changes after a position for a peer, or all items if the peer
// needs a snapshot; then full is true.
func (m *Mirror) ChangesSince(after Position) (items []Item, full bool) {
	if m.NeedsSnapshot(after) {
		items = make([]Item, 0, len(m.items))
		for _, item := range m.items {
			items = append(items, item)
		}
		return items, true
	}
	items = m.history.appendSince(items, after.Revision, m.items)
	return m.removals.appendSince(items, after.Revision, m.tombstones), false
}

// revisionLog lists keys by the revision at which they changed. Entries of keys that have
// changed again since are outdated.
type revisionLog struct {
	entries  []revisionEntry
	unsorted bool
}

type revisionEntry struct {
	revision uint64
	key      string
}

func (l *revisionLog) add(item Item) {
	if last := len(l.entries) - 1; last >= 0 && l.entries[last].revision > item.Revision {
		l.unsorted = true
	}
	l.entries = append(l.entries, revisionEntry{
		revision: item.Revision,
		key:      item.Key,
	})
}

// sort restores the order after additions, and drops outdated entries if most are.
func (l *revisionLog) sort(current map[string]Item) {
	if l.unsorted {
		slices.SortStableFunc(l.entries, func(a, b revisionEntry) int { return cmp.Compare(a.revision, b.revision) })
		l.unsorted = false
	}
	if len(l.entries) > 2*len(current)+minTombstones {
		l.entries = slices.DeleteFunc(l.entries, func(e revisionEntry) bool { return current[e.key].Revision != e.revision })
	}
}

// appendSince appends the current items that changed after a revision.
func (l *revisionLog) appendSince(items []Item, after uint64, current map[string]Item) []Item {
	first, _ := slices.BinarySearchFunc(l.entries, after+1, func(e revisionEntry, revision uint64) int {
		return cmp.Compare(e.revision, revision)
	})
	for _, e := range l.entries[first:] {
		if item, ok := current[e.key]; ok && item.Revision == e.revision {
			items = append(items, item)
		}
	}
	return items
}
