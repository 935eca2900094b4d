package survey

import (
	"slices"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// maxCollectors bounds the VMs of a region that publish load reports. With no more VMs
	// than that, all poll and reports travel by gossip. In a larger region gossip takes
	// seconds to reach all VMs: among 100 VMs the report of a chosen engine is 2.8 s old in
	// the median, and 0.5 s old if collectors broadcast the reports; each VM gets as many
	// broadcasts as there are collectors.
	maxCollectors = 9
	// maxEnginesPerPoller is the number of engines, on average, from which a collector
	// shares its engines with another VM, so that a VM's polls do not grow with the region.
	maxEnginesPerPoller = 64
	// collectorsKey is the key of rendezvous hashing that ranks the VMs of a region as
	// collectors.
	collectorsKey = "askers"
)

// Pollers assigns the engines of a region to the VMs that poll them: each engine to a
// collector, and to one of the VMs that poll for that collector. A VM may poll for several
// collectors. All VMs that reach each other arrive at the same assignment.
type Pollers struct {
	collectors []fleet.VM
	// groups holds the VMs that poll for each collector, itself included.
	groups map[string][]fleet.VM
	shared bool
}

// NewPollers assigns a number of engines to the reachable VMs of a region.
func NewPollers(vms []fleet.VM, engines int) *Pollers {
	ranked := entry.Rank(collectorsKey, vms)
	p := &Pollers{
		collectors: ranked[:min(len(ranked), maxCollectors)],
		groups:     make(map[string][]fleet.VM),
		shared:     len(vms) > maxCollectors,
	}
	pollersPerCollector := (engines + maxCollectors*maxEnginesPerPoller - 1) / (maxCollectors * maxEnginesPerPoller)
	for _, collector := range p.collectors {
		p.groups[collector.ID] = p.group(collector, vms, pollersPerCollector)
	}
	return p
}

// group returns the VMs that poll for a collector, itself first.
func (p *Pollers) group(collector fleet.VM, vms []fleet.VM, size int) []fleet.VM {
	group := []fleet.VM{collector}
	if size <= 1 || !p.shared {
		return group
	}
	for _, vm := range entry.Rank(collector.ID, vms) {
		if len(group) == size {
			break
		}
		if vm.ID != collector.ID {
			group = append(group, vm)
		}
	}
	return group
}

// Broadcast reports whether collectors broadcast load reports in place of gossiping them.
func (p *Pollers) Broadcast() bool {
	return p.shared
}

// IsCollector reports whether a VM broadcasts the reports of other pollers.
func (p *Pollers) IsCollector(vm string) bool {
	return p.shared && containsVM(p.collectors, vm)
}

// Polls reports whether a VM polls any engines.
func (p *Pollers) Polls(vm string) bool {
	for _, group := range p.groups {
		if containsVM(group, vm) {
			return true
		}
	}
	return false
}

func containsVM(vms []fleet.VM, id string) bool {
	return slices.ContainsFunc(vms, func(vm fleet.VM) bool { return vm.ID == id })
}

// Collector returns the VM that broadcasts the reports of an engine. It has no ID if there
// are no VMs.
func (p *Pollers) Collector(engine string) fleet.VM {
	vm, _ := entry.HighestRanked(entry.Hash(engine), p.collectors)
	return vm
}

// pollerSalt makes the rank of a poller within its group independent of its rank as a
// collector.
const pollerSalt = 0x9e3779b97f4a7c15

// Poller returns the VM that polls an engine, or "" if there are no VMs.
func (p *Pollers) Poller(engine string) string {
	vm, _ := entry.HighestRanked(entry.Hash(engine)^pollerSalt, p.groups[p.Collector(engine).ID])
	return vm.ID
}
