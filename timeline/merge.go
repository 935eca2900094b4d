package timeline

import (
	"cmp"
	"slices"
)

// Merge puts the events of several rings into one causal order: when one event
// could have led to another, it stands before it. Events that could not stand in
// the order of their clocks, then of their VMs. An event given twice is kept once.
func Merge(rings ...[]Event) []Event {
	events := slices.Concat(rings...)
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.VM, b.VM))
	})
	return slices.Compact(events)
}
