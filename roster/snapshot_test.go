package roster

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// countReaders counts the VMs of a region that read the store, each judging by its own
// Snapshot.
func countReaders(members []*Member) int {
	count := 0
	for _, m := range members {
		s := &Snapshot{Self: m.VM, Members: members}
		if s.ReadsStore(2) {
			count++
		}
	}
	return count
}

// TestReads checks that a region of any size has two readers, that others replace
// failed ones, and that all keep reading if the store turns all of them away.
func TestReads(t *testing.T) {
	for _, vms := range []int{1, 2, 3, 40} {
		members := make([]*Member, 0, vms)
		for i := range vms {
			members = append(members, &Member{
				VM:        fleet.VM{ID: fmt.Sprintf("vm-%d", i), Region: "r"},
				Reachable: true,
			})
		}
		assert.Equal(t, countReaders(members), min(vms, 2))
		if vms < 3 {
			continue
		}
		first := 0
		for i, m := range members {
			if (&Snapshot{Self: m.VM, Members: members}).ReadsStore(1) {
				first = i
			}
		}
		members[first].StoreUnreadable = true
		// The VM that is turned away keeps trying, and another one replaces it.
		assert.Assert(t, countReaders(members) >= 2)
		others := append([]*Member{}, members[:first]...)
		assert.Equal(t, countReaders(append(others, members[first+1:]...)), 2)
		for i := range members {
			members[i].StoreUnreadable = true
		}
		assert.Equal(t, countReaders(members), vms)
	}
}
