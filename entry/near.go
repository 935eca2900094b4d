package entry

import (
	"slices"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// minLocalFraction is the fraction of the average number of VMs per data centre that a
// client's data centre needs for the client to use its VMs only. With fewer VMs, the
// remaining ones would be overloaded.
const minLocalFraction = 0.75

// SelectVMs returns at most limit VMs for a client to use. It prefers the VMs of
// the client's data centre, to avoid traffic between data centres, if enough of them
// accept calls, and uses all data centres otherwise. If there are too many VMs, each
// client gets its own stable selection, since clients close connections to VMs that are no
// longer listed.
func SelectVMs(client, dataCentre string, vms []fleet.VM, limit int) []fleet.VM {
	local := inDataCentre(dataCentre, vms)
	if average := float64(len(vms)) / float64(countDataCentres(vms)); float64(len(local)) >= minLocalFraction*average {
		vms = local
	}
	if len(vms) <= limit {
		return vms
	}
	return Rank(client, vms)[:limit]
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
