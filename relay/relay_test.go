package relay

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

func makeVMs(count int) []fleet.VM {
	var out []fleet.VM
	for i := range count {
		out = append(out, fleet.VM{ID: fmt.Sprintf("vm-%d", i)})
	}
	return out
}

// TestEachVMReceivesOnce checks that every recipient gets a message exactly once and
// that no VM sends to more than the square root of the recipients, or six.
func TestEachVMReceivesOnce(t *testing.T) {
	for _, count := range []int{1, 2, 7, 8, 22, 100, 127} {
		vms := makeVMs(count)
		for salt := range uint64(20) {
			received := make(map[string]int)
			relays := Relays("vm-0", salt, vms)
			maxFanout := len(relays)
			for _, relay := range relays {
				received[relay.ID]++
				children := Children(relay.ID, "vm-0", salt, vms)
				maxFanout = max(maxFanout, len(children))
				for _, child := range children {
					received[child.ID]++
				}
			}
			assert.Equal(t, len(received), count-1)
			for id, times := range received {
				assert.Equal(t, times, 1, id)
			}
			assert.Assert(t, maxFanout <= maxDirectRecipients || (maxFanout-1)*(maxFanout-1) < count, "%d of %d", maxFanout, count)
		}
	}
}

// TestRelaysRotate checks that relays are chosen evenly across messages.
func TestRelaysRotate(t *testing.T) {
	vms := makeVMs(100)
	times := make(map[string]int)
	for salt := range uint64(1000) {
		for _, relay := range Relays("vm-0", salt, vms) {
			times[relay.ID]++
		}
	}
	assert.Equal(t, len(times), 99)
	for id, count := range times {
		assert.Assert(t, count > 60 && count < 150, "%s %d", id, count)
	}
}

// TestNonRelayHasNoChildren checks that a VM which is not a relay forwards nothing.
func TestNonRelayHasNoChildren(t *testing.T) {
	vms := makeVMs(100)
	relay := Relays("vm-0", 7, vms)[0]
	for _, child := range Children(relay.ID, "vm-0", 7, vms) {
		assert.Equal(t, len(Children(child.ID, "vm-0", 7, vms)), 0)
	}
}
