package timeline

import (
	"cmp"
	"slices"
)

// Merge combines the events of several rings into one causal order: if one event
// may have caused another, it comes first. Concurrent events are ordered by stamp,
// then by VM. Duplicates are removed.
func Merge(rings ...[]Event) []Event {
	events := slices.Concat(rings...)
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.VM, b.VM))
	})
	return slices.Compact(events)
}
