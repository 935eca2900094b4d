package emulator

import (
	"slices"
	"time"
)

// PlannedFaults configures faults at fixed times. Times are in seconds after the warm-up.
type PlannedFaults struct {
	Conditions

	Engines    []EngineFault `json:"engines"`
	Partitions []Partition   `json:"partitions"`
	Kills      []Kill        `json:"kills"`
	Shifts     []Shift       `json:"shifts"`
	Outages    []Outage      `json:"outages"`
	Cold       []ColdEngines `json:"cold"`

	Crashes []CrashTogether `json:"crashes"`
}

// EngineFault makes all engines of some regions refuse requests, once or twice, or lose their answers.
type EngineFault struct {
	AtSeconds  float64 `json:"at"`
	ForSeconds float64 `json:"for"`
	// Regions lists the regions by number; empty means all.
	Regions []int   `json:"regions"`
	Refused float64 `json:"refused"`
	Lost    float64 `json:"lost"`
	// RefusedTwice is the fraction of requests whose refusal comes twice, without ids.
	RefusedTwice float64 `json:"refused_twice"`
	// RestSeconds is the time named in refusals; zero for none.
	RestSeconds float64 `json:"rest_seconds"`
}

// Partition separates all regions from each other, or their VMs only, which still reach the
// store.
type Partition struct {
	AtSeconds  float64 `json:"at"`
	ForSeconds float64 `json:"for"`
	VMsOnly    bool    `json:"vms_only"`
}

// Kill kills VMs of some regions, which start again a moment later.
type Kill struct {
	AtSeconds float64 `json:"at"`
	// Regions lists the regions by number; empty means all.
	Regions []int `json:"regions"`
	// VMs is the number of VMs of each region; zero means all.
	VMs int `json:"vms"`
}

// Outage makes the store refuse or, if it is silent, ignore all reads.
type Outage struct {
	AtSeconds  float64 `json:"at"`
	ForSeconds float64 `json:"for"`
	Silent     bool    `json:"silent"`
}

// ColdEngines makes all engines of some regions cold.
type ColdEngines struct {
	AtSeconds float64 `json:"at"`
	// Regions lists the regions by number; empty means all.
	Regions []int `json:"regions"`
}

// Shift makes all callers send to some VMs of their regions only, by number.
type Shift struct {
	AtSeconds  float64 `json:"at"`
	ForSeconds float64 `json:"for"`
	VMs        []int   `json:"vms"`
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// schedulePlannedFaults schedules the faults.
func (w *world) schedulePlannedFaults(p PlannedFaults) {
	for _, f := range p.Engines {
		w.after(warmup+seconds(f.AtSeconds), func() { w.setEngineFault(f) })
		w.after(warmup+seconds(f.AtSeconds+f.ForSeconds), func() { w.setEngineFault(EngineFault{Regions: f.Regions}) })
	}
	for _, c := range p.Partitions {
		w.after(warmup+seconds(c.AtSeconds), func() { w.separateRegions(c) })
	}
	for _, s := range p.Shifts {
		w.after(warmup+seconds(s.AtSeconds), func() { w.callersTo = s.VMs })
		w.after(warmup+seconds(s.AtSeconds+s.ForSeconds), func() { w.callersTo = nil })
	}
	for _, o := range p.Outages {
		w.after(warmup+seconds(o.AtSeconds), func() { w.store.outage(seconds(o.ForSeconds), o.Silent) })
	}
	for _, c := range p.Cold {
		w.after(warmup+seconds(c.AtSeconds), func() {
			for _, e := range w.engines {
				if includesRegion(c.Regions, e.endpoint.Region) {
					e.becomeCold()
				}
			}
		})
	}
	for _, c := range p.Crashes {
		w.after(warmup+seconds(c.AtSeconds), func() { w.crashTogether(c) })
	}
	for _, k := range p.Kills {
		w.after(warmup+seconds(k.AtSeconds), func() {
			killed := make(map[string]int)
			for _, v := range w.vms {
				region := v.member.Region
				if includesRegion(k.Regions, region) && (k.VMs == 0 || killed[region] < k.VMs) {
					killed[region]++
					v.kill(minFaultDuration)
				}
			}
		})
	}
}

func (w *world) separateRegions(p Partition) {
	if p.VMsOnly {
		w.network.partitionPeers(seconds(p.ForSeconds))
		return
	}
	w.partitionAllRegions(seconds(p.ForSeconds))
}

func (w *world) setEngineFault(f EngineFault) {
	for _, e := range w.engines {
		if includesRegion(f.Regions, e.endpoint.Region) {
			e.refusedFraction = f.Refused
			e.lostFraction = f.Lost
			e.refusedTwiceFraction = f.RefusedTwice
			e.notices.restFor = seconds(f.RestSeconds)
		}
	}
}

// includesRegion reports whether a list of region numbers, empty for all, has a region.
func includesRegion(numbers []int, region string) bool {
	matches := func(i int) bool { return regionName(i) == region }
	return len(numbers) == 0 || slices.ContainsFunc(numbers, matches)
}
