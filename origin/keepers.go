package origin

import (
	"slices"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// askedPerRegion VMs of a region may have a record: the first one by rank, or the second
	// if the first one made the record or is new.
	askedPerRegion = 2
	// askedRegions other regions may have it: the first one by rank, or the second if the
	// first one is that of the VM that made the record.
	askedRegions = 2
)

// Fleet is the reachable VMs by region, as one VM knows them.
type Fleet struct {
	Self    fleet.VM
	Regions map[string][]fleet.VM
}

// Keepers returns the VMs to which this one sends a record that it makes: one of its own
// region, and one of another so that the loss of a region does not lose it.
func Keepers(request string, f Fleet) []fleet.VM {
	var out []fleet.VM
	if own := f.ranked(request, f.Self.Region); len(own) > 0 {
		out = append(out, own[0])
	}
	for _, region := range f.otherRegions(request) {
		if vms := f.ranked(request, region); len(vms) > 0 {
			return append(out, vms[0])
		}
	}
	return out
}

// Asked returns the VMs to ask for a record that this one does not have.
func Asked(request string, f Fleet) []fleet.VM {
	own := f.ranked(request, f.Self.Region)
	out := slices.Clone(own[:min(askedPerRegion, len(own))])
	regions := f.otherRegions(request)
	for _, region := range regions[:min(askedRegions, len(regions))] {
		vms := f.ranked(request, region)
		out = append(out, vms[:min(askedPerRegion, len(vms))]...)
	}
	return out
}

// ranked returns the VMs of a region without this one, by their rank for a request.
func (f Fleet) ranked(request, region string) []fleet.VM {
	vms := entry.Rank(request, f.Regions[region])
	return slices.DeleteFunc(vms, func(vm fleet.VM) bool { return vm.ID == f.Self.ID })
}

// otherRegions returns the other regions by their rank for a request.
func (f Fleet) otherRegions(request string) []string {
	var names []fleet.VM
	for region := range f.Regions {
		if region != f.Self.Region {
			names = append(names, fleet.VM{ID: region})
		}
	}
	var out []string
	for _, region := range entry.Rank(request, names) {
		out = append(out, region.ID)
	}
	return out
}
