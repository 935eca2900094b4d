package discovery

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMirrorConverges applies random writes and removals to a store that one mirror reads
// by watches and snapshots, including outdated ones, and a peer's mirror follows. The store
// comes back from older copies. Both mirrors must converge to the store's items, and within
// an era no key may return to an older revision.
func TestMirrorConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{items: make(map[string]Item)}
		reader, peer := NewMirror(), NewMirror()
		var snapshot []Item
		var snapshotAt Position
		saved := store.save()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			seen, era := revisionsByKey(reader), reader.Position().Era
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				store.put(drawKey(t))
			case 2:
				store.remove(drawKey(t))
			case 3:
				reader.Apply(store.since(reader.Position().Revision), store.position)
			case 4:
				snapshot, snapshotAt = store.all(), store.position
			case 5:
				reader.Replace(snapshot, snapshotAt)
			case 6:
				// The peer now follows another VM, which has just started.
				reader = NewMirror()
				reader.Replace(store.all(), store.position)
				seen = nil
			case 7:
				saved = store.save()
			case 8:
				store.restore(saved)
				saved = store.save()
			}
			if reader.Position().Era != era {
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
		reader.Replace(store.all(), store.position)
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
		m.Apply([]Item{{Key: key, Revision: 2*i + 1}}, Position{Revision: 2*i + 1})
		m.Apply([]Item{{Key: key, Revision: 2*i + 2, Removed: true}}, Position{Revision: 2*i + 2})
	}
	_, full := m.ChangesSince(Position{Revision: 2})
	assert.Assert(t, full)
	items, full := m.ChangesSince(Position{Revision: m.Position().Revision - 2})
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
	m.Replace(all, Position{Revision: items})
	for i := range uint64(items / 3) {
		revision := items + i + 1
		m.Apply([]Item{{
			Key:      fmt.Sprintf("k%d", i),
			Revision: revision,
			Removed:  true,
		}}, Position{Revision: revision})
	}
	changes, full := m.ChangesSince(Position{Revision: items})
	assert.Assert(t, !full)
	assert.Equal(t, len(changes), items/3)
	changes, full = m.ChangesSince(Position{Revision: m.Position().Revision - 2})
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
				m.Apply([]Item{{Key: fmt.Sprintf("k%d", i), Revision: i + 1}}, Position{Revision: i + 1})
			}
			revision := n
			b.ReportAllocs()
			for b.Loop() {
				m.Apply([]Item{{Key: fmt.Sprintf("k%d", revision%n), Revision: revision + 1, Removed: true}}, Position{Revision: revision + 1})
				m.Apply([]Item{{Key: fmt.Sprintf("k%d", revision%n), Revision: revision + 2}}, Position{Revision: revision + 2})
				revision += 2
				m.ChangesSince(Position{Revision: revision - 4})
			}
		})
	}
}

func syncFrom(peer, reader *Mirror) {
	items, full := reader.ChangesSince(peer.Position())
	if full {
		peer.Replace(items, reader.Position())
		return
	}
	peer.Apply(items, reader.Position())
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
	position Position
	items    map[string]Item
	history  []Item
}

// save returns a copy of the store.
func (s *fakeStore) save() fakeStore {
	return fakeStore{
		position: s.position,
		items:    maps.Clone(s.items),
		history:  slices.Clone(s.history),
	}
}

// restore begins an era with an older copy, and gives out its revisions again.
func (s *fakeStore) restore(saved fakeStore) {
	saved.position.Era = s.position.Era + 1
	*s = saved
}

// record appends a change. Its value tells it from changes with the same revision in
// another era.
func (s *fakeStore) record(k string, removed bool) {
	s.position.Revision++
	s.history = append(s.history, Item{
		Key:      k,
		Revision: s.position.Revision,
		Value:    fmt.Appendf(nil, "%v", s.position),
		Removed:  removed,
	})
}

func (s *fakeStore) put(k string) {
	s.record(k, false)
	s.items[k] = s.history[len(s.history)-1]
}

func (s *fakeStore) remove(k string) {
	if _, ok := s.items[k]; !ok {
		return
	}
	s.record(k, true)
	delete(s.items, k)
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

// TestHiddenChanges guards against taking all endpoints for seen though some came and went
// between two reads of all items.
func TestHiddenChanges(t *testing.T) {
	m := NewMirror()
	m.Replace([]Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}}, Position{Revision: 4})
	a, b, c := Item{Key: "a", Revision: 3}, Item{Key: "b", Revision: 4}, Item{Key: "c", Revision: 5}
	for _, row := range []struct {
		name     string
		items    []Item
		position Position
		want     bool
	}{
		{name: "nothing is new", items: []Item{a, b}, position: Position{Revision: 4}},
		{name: "one was added", items: []Item{a, b, c}, position: Position{Revision: 5}},
		{name: "one was added and one removed", items: []Item{a, c}, position: Position{Revision: 6}},
		{name: "one came and went", items: []Item{a, b}, position: Position{Revision: 6}, want: true},
		{name: "an item of a later page", items: []Item{a, b, c}, position: Position{Revision: 4}},
		{name: "another era", items: []Item{a, b}, position: Position{Era: 1, Revision: 4}, want: true},
	} {
		t.Run(row.name, func(t *testing.T) {
			assert.Equal(t, m.HidesChanges(row.items, row.position), row.want)
		})
	}
}
