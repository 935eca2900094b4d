package emulator

import "cmp"

// Conditions are the surroundings of a scenario.
type Conditions struct {
	// NoFaults disables the random faults.
	NoFaults bool `json:"calm"`
	// Regions, VMsPerRegion, EnginesPerRegion and RequestsPerSecond override the topology of
	// the seed; zero leaves it.
	Regions           int     `json:"regions"`
	VMsPerRegion      int     `json:"vms"`
	EnginesPerRegion  int     `json:"of"`
	RequestsPerSecond float64 `json:"requests"`
}

// topology is the size and load of the deployment, chosen by the seed.
type topology struct {
	regions           int
	vmsPerRegion      int
	enginesPerRegion  int
	requestsPerSecond float64
	homeRegions       bool
}

func (o Options) conditions() []Conditions {
	return []Conditions{
		o.CrashingCalls.Conditions,
		o.CrashingParts.Conditions,
		o.EngineLimits.Conditions,
		o.EngineNotices.Conditions,
		o.StoreRestores.Conditions,
		o.PlannedFaults.Conditions,
	}
}

func (c Conditions) override(t *topology) {
	t.regions = cmp.Or(c.Regions, t.regions)
	t.vmsPerRegion = cmp.Or(c.VMsPerRegion, t.vmsPerRegion)
	t.enginesPerRegion = cmp.Or(c.EnginesPerRegion, t.enginesPerRegion)
	t.requestsPerSecond = cmp.Or(c.RequestsPerSecond, t.requestsPerSecond)
}
