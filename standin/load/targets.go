package load

import (
	"errors"
	"fmt"
)

// Targets describes the deployment under load.
type Targets struct {
	Model   string   `json:"model"`
	Service string   `json:"service"`
	Regions []Region `json:"regions"`
	// Endpoints have their counters read before and after a run.
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	// Operators are the addresses ("ip:port") of the VMs' operator listeners,
	// which export the metrics.
	Operators []string `json:"operators,omitempty"`
}

// Region is an origin of calls and the VMs close to it.
type Region struct {
	Region string `json:"region"`
	// Share weighs this region's part of the rate against the others'; zero
	// means 1.
	Share float64 `json:"share,omitempty"`
	// VMs are the addresses ("ip:port") of the listeners for callers.
	VMs        []string    `json:"vms"`
	Workspaces []Workspace `json:"workspaces"`
	// FixedOrder uses the VMs in the given order instead of requesting entries.
	FixedOrder bool `json:"as_given,omitempty"`
}

// Workspace is a customer and its API key.
type Workspace struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

// Endpoint is the address of a stand-in engine or service.
type Endpoint struct {
	Region  string `json:"region"`
	Addr    string `json:"addr"`
	Service bool   `json:"service,omitempty"`
}

func (r *Region) relativeShare() float64 {
	if r.Share == 0 {
		return 1
	}
	return r.Share
}

var errNoEndpoints = errors.New("direct calls require at least one endpoint")

func (t *Targets) validate(direct bool) error {
	if direct && len(t.Endpoints) == 0 {
		return errNoEndpoints
	}
	for _, r := range t.Regions {
		if len(r.Workspaces) == 0 || len(r.VMs) == 0 {
			return fmt.Errorf("region %q must have at least one VM and one workspace", r.Region)
		}
	}
	return nil
}
