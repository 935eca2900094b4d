// Package relay plans two-level broadcasts within a region. The sender of a message
// sends it to a few relays, each of which forwards it to its children. The relays change
// with each message, which spreads the load and limits what one failed VM can block.
package relay

import (
	"math"
	"strconv"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// maxDirectRecipients is the largest number of recipients that the sender serves without
// relays.
const maxDirectRecipients = 6

// Relays returns the relays of a message: the VMs to which the sender sends it. salt
// varies between messages.
func Relays(sender string, salt uint64, vms []fleet.VM) []fleet.VM {
	ranked := rankRecipients(sender, salt, vms)
	return ranked[:relayCount(len(ranked))]
}

// Children returns the VMs to which a relay forwards a message, none if relay is not a
// relay of it.
func Children(relay, sender string, salt uint64, vms []fleet.VM) []fleet.VM {
	ranked := rankRecipients(sender, salt, vms)
	count := relayCount(len(ranked))
	var out []fleet.VM
	for i, vm := range ranked[:count] {
		if vm.ID != relay {
			continue
		}
		for child := i + count; child < len(ranked); child += count {
			out = append(out, ranked[child])
		}
	}
	return out
}

// rankRecipients orders the recipients of a message, the same on every VM.
func rankRecipients(sender string, salt uint64, vms []fleet.VM) []fleet.VM {
	others := make([]fleet.VM, 0, len(vms))
	for _, vm := range vms {
		if vm.ID != sender {
			others = append(others, vm)
		}
	}
	return entry.Rank(sender+"/"+strconv.FormatUint(salt, 36), others)
}

// relayCount returns the number of relays for count recipients: the square root, so that
// a relay has about as many children as there are relays.
func relayCount(count int) int {
	if count <= maxDirectRecipients {
		return count
	}
	return int(math.Ceil(math.Sqrt(float64(count))))
}
