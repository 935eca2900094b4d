package entry

import (
	"slices"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// nearLeast is the part of the usual number of VMs that a client's data centre must
// have for the client to be told of these alone: with fewer, each would take the
// calls of one that is lost there too.
const nearLeast = 0.75

// Near returns the VMs that a client is told of, at most so many: those of its data
// centre, whose bytes do not cross to another one, while enough of them take calls,
// or else those of all data centres. Where that is too many, each client is told of
// others, and of the same ones each time: clients leave the connections to VMs that
// an answer no longer names.
func Near(client, dataCentre string, vms []fleet.VM, most int) []fleet.VM {
	near := inDataCentre(dataCentre, vms)
	if usual := float64(len(vms)) / float64(countDataCentres(vms)); float64(len(near)) >= nearLeast*usual {
		vms = near
	}
	if len(vms) <= most {
		return vms
	}
	return Rank(client, vms)[:most]
}

func inDataCentre(dataCentre string, vms []fleet.VM) []fleet.VM {
	var out []fleet.VM
	for _, vm := range vms {
		if vm.DataCentre == dataCentre {
			out = append(out, vm)
		}
	}
	return out
}

func countDataCentres(vms []fleet.VM) int {
	var names []string
	for _, vm := range vms {
		if !slices.Contains(names, vm.DataCentre) {
			names = append(names, vm.DataCentre)
		}
	}
	return max(len(names), 1)
}
