package platform

import (
	"slices"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Value is a published value and the revision of its last write.
type Value struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    string `json:"value"`
}

// publishedList is a version of the list and the time of its write.
type publishedList struct {
	list fleet.List
	at   time.Time
}

// history retains every write, so that stale revisions can be served. Values and
// lists share one sequence of revisions.
type history struct {
	revision uint64
	values   []Value
	lists    []publishedList
}

// put writes a value and returns its revision.
func (h *history) put(key, value string) uint64 {
	h.revision++
	h.values = append(h.values, Value{
		Key:      key,
		Revision: h.revision,
		Value:    value,
	})
	return h.revision
}

// putList writes the list and returns its revision.
func (h *history) putList(list fleet.List, now time.Time) uint64 {
	h.revision++
	list.Revision = h.revision
	h.lists = append(h.lists, publishedList{
		list: list,
		at:   now,
	})
	return h.revision
}

// get returns the value of a key as of a revision.
func (h *history) get(key string, asOf uint64) (Value, bool) {
	for _, v := range slices.Backward(h.values) {
		if v.Key == key && v.Revision <= asOf {
			return v, true
		}
	}
	return Value{}, false
}

// changedSince returns the last write of each key within (after, asOf], sorted by key.
func (h *history) changedSince(after, asOf uint64) []Value {
	seen := map[string]bool{}
	found := []Value{}
	for _, v := range slices.Backward(h.values) {
		if v.Revision <= after {
			break
		}
		if v.Revision > asOf || seen[v.Key] {
			continue
		}
		seen[v.Key] = true
		found = append(found, v)
	}
	slices.SortFunc(found, func(a, b Value) int {
		return strings.Compare(a.Key, b.Key)
	})
	return found
}

// listAt returns the newest list up to a revision and a time of writing.
func (h *history) listAt(asOf uint64, by time.Time) (fleet.List, bool) {
	for _, p := range slices.Backward(h.lists) {
		if p.list.Revision <= asOf && !p.at.After(by) {
			return p.list, true
		}
	}
	return fleet.List{}, false
}

// listRevision returns the revision of the newest list, or zero.
func (h *history) listRevision() uint64 {
	if len(h.lists) == 0 {
		return 0
	}
	return h.lists[len(h.lists)-1].list.Revision
}

// nextList returns the time of the first write of the list after a time.
func (h *history) nextList(after time.Time) (time.Time, bool) {
	for _, p := range h.lists {
		if p.at.After(after) {
			return p.at, true
		}
	}
	return time.Time{}, false
}
