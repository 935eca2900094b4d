package roster

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// readers counts the VMs of a region that read the store, each by its own
// picture of the same members.
func readers(members []Member) int {
	count := 0
	for _, m := range members {
		p := &Picture{Self: m.VM, Members: members}
		if p.Reads(2) {
			count++
		}
	}
	return count
}

// TestReads holds that two of a region read, however many there are, that others
// take over from those lost, and that nobody stops reading when all are turned away.
func TestReads(t *testing.T) {
	for _, vms := range []int{1, 2, 3, 40} {
		members := make([]Member, 0, vms)
		for i := range vms {
			members = append(members, Member{
				VM:        fleet.VM{ID: fmt.Sprintf("vm-%d", i), Region: "r"},
				Reachable: true,
			})
		}
		assert.Equal(t, readers(members), min(vms, 2))
		if vms < 3 {
			continue
		}
		first := 0
		for i, m := range members {
			if (&Picture{Self: m.VM, Members: members}).Reads(1) {
				first = i
			}
		}
		members[first].TurnedAway = true
		// The one that is turned away tries on, and another one takes its place.
		assert.Assert(t, readers(members) >= 2)
		others := append([]Member{}, members[:first]...)
		assert.Equal(t, readers(append(others, members[first+1:]...)), 2)
		for i := range members {
			members[i].TurnedAway = true
		}
		assert.Equal(t, readers(members), vms)
	}
}
