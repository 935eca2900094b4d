package store

import "maps"

// headerEra, in all responses, is the number of times that the store came back from a copy.
const headerEra = "Store-Era"

// Copy is the state that a store comes back with.
type Copy struct {
	revision          uint64
	items             map[string]Item
	history           []Item
	compactedRevision uint64
}

// Save returns a copy of the store.
func (s *Store) Save() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		revision:          s.revision,
		items:             maps.Clone(s.items),
		history:           s.history[:len(s.history):len(s.history)],
		compactedRevision: s.compactedRevision,
	}
}

// Restore begins an era with an older copy of the store, and returns what it lost: the items
// written since, and removals of the items of the copy that were removed since.
func (s *Store) Restore(c Copy) (lost []Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, item := range s.items {
		if c.items[key].Rev != item.Rev {
			lost = append(lost, item)
		}
	}
	for key := range c.items {
		if _, ok := s.items[key]; !ok {
			lost = append(lost, Item{
				Key:     key,
				Removed: true,
			})
		}
	}
	s.era++
	s.revision = c.revision
	s.items = maps.Clone(c.items)
	s.history = c.history
	s.compactedRevision = c.compactedRevision
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

// Rewrite writes a lost item or removal again, unless its key has been written since the
// copy was restored.
func (s *Store) Rewrite(lost Item, c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.items[lost.Key]
	if held.Rev > c.revision || (lost.Removed && !ok) {
		return
	}
	s.write(lost)
}

func (s *Store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
