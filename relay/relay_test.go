package relay

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

func vmsOf(count int) []fleet.VM {
	var out []fleet.VM
	for i := range count {
		out = append(out, fleet.VM{ID: fmt.Sprintf("vm-%d", i)})
	}
	return out
}

// TestReach holds that each VM but the sender gets a note just once, and that a VM
// sends to no more others than the square root of their number, or six.
func TestReach(t *testing.T) {
	for _, count := range []int{1, 2, 7, 8, 22, 100, 127} {
		vms := vmsOf(count)
		for salt := range uint64(20) {
			got := make(map[string]int)
			heads := Heads("vm-0", salt, vms)
			most := len(heads)
			for _, head := range heads {
				got[head.ID]++
				children := Children(head.ID, "vm-0", salt, vms)
				most = max(most, len(children))
				for _, child := range children {
					got[child.ID]++
				}
			}
			assert.Equal(t, len(got), count-1)
			for id, times := range got {
				assert.Equal(t, times, 1, id)
			}
			assert.Assert(t, most <= directMost || (most-1)*(most-1) < count, "%d of %d", most, count)
		}
	}
}

// TestHeadsChange holds that all VMs are heads in turn, about as often.
func TestHeadsChange(t *testing.T) {
	vms := vmsOf(100)
	times := make(map[string]int)
	for salt := range uint64(1000) {
		for _, head := range Heads("vm-0", salt, vms) {
			times[head.ID]++
		}
	}
	assert.Equal(t, len(times), 99)
	for id, count := range times {
		assert.Assert(t, count > 60 && count < 150, "%s %d", id, count)
	}
}

// TestChildrenOfOthers holds that a VM which is no head passes nothing on.
func TestChildrenOfOthers(t *testing.T) {
	vms := vmsOf(100)
	head := Heads("vm-0", 7, vms)[0]
	for _, child := range Children(head.ID, "vm-0", 7, vms) {
		assert.Equal(t, len(Children(child.ID, "vm-0", 7, vms)), 0)
	}
}
