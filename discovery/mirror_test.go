package discovery

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMirrorConverges applies random writes and removals to a store that one mirror reads
// by watches and snapshots, including outdated ones, and a peer's mirror follows. Both
// must converge to the store's items, and no key may return to an older revision.
func TestMirrorConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{items: make(map[string]Item)}
		reader, peer := NewMirror(), NewMirror()
		var snapshot []Item
		var snapshotRevision uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			seen := revisionsByKey(reader)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				store.put(drawKey(t))
			case 2:
				store.remove(drawKey(t))
			case 3:
				reader.Apply(store.since(reader.Revision()), store.revision)
			case 4:
				snapshot, snapshotRevision = store.all(), store.revision
			case 5:
				reader.Replace(snapshot, snapshotRevision)
			case 6:
				// The peer now follows another VM, which has just started.
				reader = NewMirror()
				reader.Replace(store.all(), store.revision)
				seen = nil
			}
			for k, before := range seen {
				if now, ok := reader.items[k]; ok {
					assert.Assert(t, now.Revision >= before)
				}
			}
			if rapid.Bool().Draw(t, "follow") {
				syncFrom(peer, reader)
			}
		}
		reader.Replace(store.all(), store.revision)
		syncFrom(peer, reader)
		assert.DeepEqual(t, reader.items, store.items)
		assert.DeepEqual(t, peer.items, store.items)
	})
}

// TestMirrorSendsAllAfterCompaction checks that a reader behind the kept tombstones gets a
// full snapshot.
func TestMirrorSendsAllAfterCompaction(t *testing.T) {
	m := NewMirror()
	for i := range uint64(minTombstones + 10) {
		key := fmt.Sprintf("k%d", i)
		m.Apply([]Item{{Key: key, Revision: 2*i + 1}}, 2*i+1)
		m.Apply([]Item{{Key: key, Revision: 2*i + 2, Removed: true}}, 2*i+2)
	}
	_, full := m.ChangesSince(2)
	assert.Assert(t, full)
	items, full := m.ChangesSince(m.Revision() - 2)
	assert.Assert(t, !full)
	assert.Equal(t, len(items), 1)
}

// TestMirrorAfterLossOfManyItems guards against readers that read everything anew as more
// items were removed than a mirror of few items keeps removals.
func TestMirrorAfterLossOfManyItems(t *testing.T) {
	const items = 8 * minTombstones
	m := NewMirror()
	var all []Item
	for i := range uint64(items) {
		all = append(all, Item{
			Key:      fmt.Sprintf("k%d", i),
			Revision: i + 1,
		})
	}
	m.Replace(all, items)
	for i := range uint64(items / 3) {
		revision := items + i + 1
		m.Apply([]Item{{
			Key:      fmt.Sprintf("k%d", i),
			Revision: revision,
			Removed:  true,
		}}, revision)
	}
	changes, full := m.ChangesSince(items)
	assert.Assert(t, !full)
	assert.Equal(t, len(changes), items/3)
	changes, full = m.ChangesSince(m.Revision() - 2)
	assert.Assert(t, !full)
	assert.Equal(t, len(changes), 2)
}

// BenchmarkChangesSince measures what a VM does for one that is a few changes behind, and
// for a removal.
func BenchmarkChangesSince(b *testing.B) {
	for _, n := range []uint64{600, 6000, 12000} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			m := NewMirror()
			for i := range n {
				m.Apply([]Item{{Key: fmt.Sprintf("k%d", i), Revision: i + 1}}, i+1)
			}
			revision := n
			b.ReportAllocs()
			for b.Loop() {
				m.Apply([]Item{{Key: fmt.Sprintf("k%d", revision%n), Revision: revision + 1, Removed: true}}, revision+1)
				m.Apply([]Item{{Key: fmt.Sprintf("k%d", revision%n), Revision: revision + 2}}, revision+2)
				revision += 2
				m.ChangesSince(revision - 4)
			}
		})
	}
}

func syncFrom(peer, reader *Mirror) {
	items, full := reader.ChangesSince(peer.Revision())
	if full {
		peer.Replace(items, reader.Revision())
		return
	}
	peer.Apply(items, reader.Revision())
}

func drawKey(t *rapid.T) string {
	return fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key"))
}

func revisionsByKey(m *Mirror) map[string]uint64 {
	out := make(map[string]uint64)
	for k, item := range m.items {
		out[k] = item.Revision
	}
	return out
}

type fakeStore struct {
	revision uint64
	items    map[string]Item
	history  []Item
}

func (s *fakeStore) put(k string) {
	s.revision++
	s.items[k] = Item{Key: k, Revision: s.revision}
	s.history = append(s.history, s.items[k])
}

func (s *fakeStore) remove(k string) {
	if _, ok := s.items[k]; !ok {
		return
	}
	s.revision++
	delete(s.items, k)
	s.history = append(s.history, Item{Key: k, Revision: s.revision, Removed: true})
}

func (s *fakeStore) since(after uint64) []Item {
	var out []Item
	for _, item := range s.history {
		if item.Revision > after {
			out = append(out, item)
		}
	}
	return out
}

func (s *fakeStore) all() []Item {
	var out []Item
	for _, item := range s.items {
		out = append(out, item)
	}
	return out
}
