package load

import (
	"errors"
	"fmt"
)

// Targets are a deployment as its callers and its measurements see it.
type Targets struct {
	Model   string   `json:"model"`
	Service string   `json:"service"`
	Regions []Region `json:"regions"`
	// Endpoints are asked for their counts before and after a run.
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	// Operators are "ip:port" of the VMs' operator fronts, asked for their counters.
	Operators []string `json:"operators,omitempty"`
}

// Region is where calls come from, with the VMs that are close to the callers.
type Region struct {
	Region string `json:"region"`
	// Share is this region's part of the rate, relative to the others'; zero means 1.
	Share float64 `json:"share,omitempty"`
	// VMs are "ip:port" of caller fronts.
	VMs        []string    `json:"vms"`
	Workspaces []Workspace `json:"workspaces"`
	// AsGiven sends each call to the VMs in their given order, and asks for no entries.
	AsGiven bool `json:"as_given,omitempty"`
}

// Workspace is one customer with a key.
type Workspace struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

// Endpoint is one stand-in endpoint.
type Endpoint struct {
	Region  string `json:"region"`
	Addr    string `json:"addr"`
	Service bool   `json:"service,omitempty"`
}

func (r *Region) share() float64 {
	if r.Share == 0 {
		return 1
	}
	return r.Share
}

var errNoEndpoints = errors.New("direct calls need endpoints")

func (t *Targets) check(direct bool) error {
	if direct && len(t.Endpoints) == 0 {
		return errNoEndpoints
	}
	for _, r := range t.Regions {
		if len(r.Workspaces) == 0 || len(r.VMs) == 0 {
			return fmt.Errorf("region %q needs vms and workspaces", r.Region)
		}
	}
	return nil
}
