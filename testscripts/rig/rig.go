// Package rig starts a whole deployment as separate processes on loopback,
// for tests and measurements: the stand-in platform, stand-in endpoints and
// the gateways, with links between gateways that a test can cut. It ends only
// the processes that it started.
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

// Options describe a deployment.
type Options struct {
	// Bin is the folder with the built binaries gateway and standin.
	Bin string
	// Dir is a folder for settings files.
	Dir string
	// Documents is a folder of documents to publish at the start.
	Documents string
	Regions   []Region
	// Adjust changes the settings of each VM before it starts; nil leaves them.
	Adjust func(*settings.Settings)
	// Links lets a test cut the ways between VMs. Without it they connect directly.
	Links bool
}

// Region says what runs in one region.
type Region struct {
	Name       string
	DataCentre string
	VMs        int
	Endpoints  []Endpoints
}

// Endpoints are replicas of one model or service.
type Endpoints struct {
	Model    string
	Service  string
	Replicas int
	Slots    int
	// Args are more arguments of the stand-in.
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

// Endpoint is one stand-in endpoint.
type Endpoint struct {
	*Process
	Fleet fleet.Endpoint
}

// Start starts everything, publishes the list, and waits until every VM is ready.
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
	r.planVMs()
	if err := r.linkVMs(); err != nil {
		return err
	}
	for _, vm := range r.VMs {
		if err := r.startVM(vm); err != nil {
			return err
		}
	}
	if err := r.PublishList(); err != nil {
		return err
	}
	return r.AwaitSettled(30 * time.Second)
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

func (r *Rig) startEndpoint(region Region, e Endpoints) error {
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
			Addr:       p.Listening.Addr,
			Model:      e.Model,
			Service:    e.Service,
			Slots:      e.Slots,
			State:      fleet.StateLive,
		},
	})
	return nil
}

func (r *Rig) planVMs() {
	for _, region := range r.Options.Regions {
		for i := range region.VMs {
			r.VMs = append(r.VMs, r.newVM(region, fmt.Sprintf("vm-%s-%d", region.Name, i)))
		}
	}
}

// AwaitReady waits until every running VM is ready.
func (r *Rig) AwaitReady(within time.Duration) error {
	return Await(within, "every VM is ready", func() bool {
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

// Await polls until ok, or fails with what it waited for.
func Await(within time.Duration, what string, ok func() bool) error {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		if ok() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("not in time: %s", what)
}

// Logs returns the last log lines of every VM, for the report of a failed test.
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

// Close ends every process that the rig started.
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
