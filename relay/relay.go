// Package relay decides which VMs pass a note on, so that one VM can tell all others
// of its region without sending to each. Heads get the note from its sender and pass
// it on to their children; which VMs are heads changes with each note, so that a VM
// which is lost takes the others along only once, and all bear the same.
package relay

import (
	"math"
	"strconv"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// directMost is the number of other VMs up to which the sender tells each itself.
const directMost = 6

// Heads returns the VMs to which a sender sends a note.
func Heads(sender string, salt uint64, vms []fleet.VM) []fleet.VM {
	ranked := order(sender, salt, vms)
	return ranked[:heads(len(ranked))]
}

// Children returns the VMs to which a head passes a note on.
func Children(head, sender string, salt uint64, vms []fleet.VM) []fleet.VM {
	ranked := order(sender, salt, vms)
	count := heads(len(ranked))
	var out []fleet.VM
	for i, vm := range ranked[:count] {
		if vm.ID != head {
			continue
		}
		for child := i + count; child < len(ranked); child += count {
			out = append(out, ranked[child])
		}
	}
	return out
}

// order ranks the VMs that a note is for.
func order(sender string, salt uint64, vms []fleet.VM) []fleet.VM {
	others := make([]fleet.VM, 0, len(vms))
	for _, vm := range vms {
		if vm.ID != sender {
			others = append(others, vm)
		}
	}
	return entry.Rank(sender+"/"+strconv.FormatUint(salt, 36), others)
}

// heads returns how many of so many VMs are heads: as many as each has children.
func heads(count int) int {
	if count <= directMost {
		return count
	}
	return int(math.Ceil(math.Sqrt(float64(count))))
}
