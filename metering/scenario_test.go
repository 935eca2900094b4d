package metering

import (
	"slices"
	"time"
)

// way is how the VMs of a world hold limits.
type way string

const (
	// wayKeeper is the one that is built.
	wayKeeper way = "keeper"
	// wayEven gives each VM an equal part for good.
	wayEven way = "even"
	// wayWhole gives each VM the whole limit.
	wayWhole way = "whole"
	// waySync asks the keeper for each call.
	waySync way = "sync"
)

// scenario is one load with its faults, as the table of scenarios has it. Times are
// seconds from the start.
type scenario struct {
	Name       string
	Regions    int
	VMs        int `json:"vms_per_region"`
	Workspaces int
	// PerSecond is the limit of the largest workspace; the next ones have the half, the
	// third and so on, but at least Floor.
	PerSecond float64 `json:"per_second"`
	Floor     float64
	Slack     float64
	Cost      float64
	// Load is the part of its limit that each workspace asks for.
	Load   float64
	Length float64
	// OneRegion has all callers at the first region, OneVM at its first VM.
	OneRegion bool `json:"one_region"`
	OneVM     bool `json:"one_vm"`
	// Tide moves the callers from region to region in so many seconds.
	Tide float64
	Hot  []spell
	// Cut parts all regions from each other, Apart one VM of each region from all
	// others, Half one half of each region from the other.
	Cut   []spell
	Apart []spell
	Half  []spell
	// Kill ends a part of the VMs for a while.
	Kill []spell
	// Lower has the limits at a part of what they were.
	Lower []spell
	// Served is the least part of what one bucket would admit that must be admitted.
	Served float64
	// Back is the same of the calls in the seconds after VMs that were killed are back.
	Back float64
}

// spell is a time with a strength.
type spell struct {
	From float64
	For  float64
	X    float64
}

func (s spell) has(at time.Duration) bool {
	return at.Seconds() >= s.From && at.Seconds() < s.From+s.For
}

func within(list []spell, at time.Duration) (spell, bool) {
	i := slices.IndexFunc(list, func(s spell) bool { return s.has(at) })
	if i < 0 {
		return spell{}, false
	}
	return list[i], true
}
