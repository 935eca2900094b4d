// Package rig runs a whole deployment as separate processes on loopback, for
// tests and measurements: a stand-in platform, stand-in endpoints and the
// gateways. Tests can partition the network between gateways. The package ends
// only the processes that it started.
package rig

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// Options describes a deployment.
type Options struct {
	// Bin is the folder with the binaries gateway and standin.
	Bin string
	// Dir is the folder to which the VMs' settings files are written.
	Dir string
	// Documents is the folder of the documents that the platform serves at startup.
	Documents string
	Regions   []Region
	// AdjustSettings, if set, changes the default settings of each VM.
	AdjustSettings func(*settings.Settings)
	// Links routes traffic between VMs through proxies, which Partition needs.
	// Without it VMs connect directly.
	Links bool
}

// Region describes the VMs and endpoints of one region.
type Region struct {
	Name       string
	DataCentre string
	VMs        int
	Endpoints  []EndpointGroup
}

// EndpointGroup describes the replicas of one model or service in a region.
type EndpointGroup struct {
	Model    string
	Service  string
	Replicas int
	Slots    int
	// Args are additional command line arguments of the stand-in.
	Args []string
}

// Rig is a running deployment.
type Rig struct {
	Options   Options
	Platform  *Process
	VMs       []*VM
	Endpoints []*Endpoint
	links     map[linkKey]*Link
	http      *http.Client
}

// Endpoint is a running stand-in endpoint.
type Endpoint struct {
	*Process
	Fleet fleet.Endpoint
}

// Start starts all processes, publishes the fleet list, and waits until the VMs
// have converged.
func Start(o Options) (*Rig, error) {
	r := &Rig{
		Options: o,
		links:   make(map[linkKey]*Link),
		http: &http.Client{
			Timeout: 10 * time.Second,
		},
	}
	if err := r.start(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Rig) start() error {
	var err error
	r.Platform, err = start("platform", r.binary("standin"), "platform", "--load", r.Options.Documents)
	if err != nil {
		return err
	}
	for _, region := range r.Options.Regions {
		if err := r.startEndpoints(region); err != nil {
			return err
		}
	}
	r.createVMs()
	if err := r.linkVMs(); err != nil {
		return err
	}
	for _, vm := range r.VMs {
		if err := r.startVM(vm); err != nil {
			return err
		}
	}
	if err := r.PublishFleetList(); err != nil {
		return err
	}
	return r.AwaitConverged(30 * time.Second)
}

func (r *Rig) binary(name string) string {
	return filepath.Join(r.Options.Bin, name)
}

func (r *Rig) startEndpoints(region Region) error {
	for _, e := range region.Endpoints {
		for range e.Replicas {
			if err := r.startEndpoint(region, e); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Rig) startEndpoint(region Region, e EndpointGroup) error {
	id := fmt.Sprintf("%s%s-%s-%d", e.Model, e.Service, region.Name, len(r.Endpoints))
	args := []string{"service", "--id", id}
	if e.Model != "" {
		args = []string{"endpoint", "--id", id, "--model", e.Model, "--slots", strconv.Itoa(e.Slots)}
	}
	p, err := start(id, r.binary("standin"), append(args, e.Args...)...)
	if err != nil {
		return err
	}
	r.Endpoints = append(r.Endpoints, &Endpoint{
		Process: p,
		Fleet: fleet.Endpoint{
			ID:         id,
			Region:     region.Name,
			DataCentre: region.DataCentre,
			Addr:       p.ListenAddrs.Addr,
			Model:      e.Model,
			Service:    e.Service,
			Slots:      e.Slots,
			State:      fleet.StateLive,
		},
	})
	return nil
}

func (r *Rig) createVMs() {
	for _, region := range r.Options.Regions {
		for i := range region.VMs {
			r.VMs = append(r.VMs, r.newVM(region, fmt.Sprintf("vm-%s-%d", region.Name, i)))
		}
	}
}

// AwaitReady waits until every running VM reports ready.
func (r *Rig) AwaitReady(timeout time.Duration) error {
	return Await(timeout, "every VM is ready", func() bool {
		for _, vm := range r.VMs {
			if !vm.Alive() {
				continue
			}
			status, _, err := r.Get(vm.Fleet.OperatorAddr, "/readyz")
			if err != nil || status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// Await polls until ok returns true. After the timeout it returns an error that
// names the condition.
func Await(timeout time.Duration, condition string, ok func() bool) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if ok() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("timed out after %s waiting for: %s", timeout, condition)
}

// Logs returns the last log lines of every VM.
func (r *Rig) Logs() string {
	var out strings.Builder
	for _, vm := range r.VMs {
		if vm.Process == nil {
			continue
		}
		fmt.Fprintf(&out, "== %s\n%s\n", vm.Fleet.ID, strings.Join(vm.Log(), "\n"))
	}
	return out.String()
}

// Close kills every process that the rig started and closes its links.
func (r *Rig) Close() {
	for _, vm := range r.VMs {
		if vm.Process != nil {
			vm.Kill()
		}
	}
	for _, e := range r.Endpoints {
		e.Kill()
	}
	if r.Platform != nil {
		r.Platform.Kill()
	}
	for _, l := range r.links {
		l.Close()
	}
}
