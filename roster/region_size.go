package roster

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// observeSizes records how many VMs of each region are known.
func (r *Roster) observeSizes(now time.Time) {
	counts := map[string]int{
		r.self.VM.Region: 1,
	}
	for _, m := range r.sorted {
		if m.State < StateDead {
			counts[m.VM.Region]++
		}
	}
	for region, count := range counts {
		r.regionSize(region).Observe(count, count, now)
	}
}

func (r *Roster) regionSize(region string) *fleet.SizeEstimate {
	if r.regionSizes[region] == nil {
		r.regionSizes[region] = &fleet.SizeEstimate{}
	}
	return r.regionSizes[region]
}

// PastSize returns how many VMs of a region this VM, or one that told it, has known at once,
// to be told to the VMs of that region. It is zero if this VM has started while it was cut
// off, and may know fewer than there are.
func (r *Roster) PastSize(region string) fleet.PastSize {
	if r.unheardSeeds() > 0 {
		return fleet.PastSize{}
	}
	return r.regionSize(region).Past()
}

// LearnSize takes over the size of the own region that another VM tells.
func (r *Roster) LearnSize(size fleet.PastSize, now time.Time) {
	if size.VMs > 0 {
		r.regionSize(r.self.VM.Region).Learn(size, now)
		r.wasTold = true
	}
}

// unheardSeeds returns Snapshot.UnheardSeeds. The own address counts as heard of.
func (r *Roster) unheardSeeds() float64 {
	if r.wasTold || r.fleetSize() > 0 || len(r.seeds) == 0 {
		return 0
	}
	addrs := make(map[string]bool)
	for _, m := range r.sorted {
		addrs[m.VM.PeerAddr] = true
	}
	unheard, all := 0, len(r.seeds)
	for _, seed := range r.seeds {
		if !addrs[seed] {
			unheard++
		}
	}
	if r.isSeed {
		all++
	}
	return float64(unheard) / float64(all)
}
