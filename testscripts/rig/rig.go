// Package rig starts a whole deployment as separate processes on loopback,
// for tests and measurements: the stand-in platform, stand-in endpoints and
// the gateways, with links between gateways that a test can cut. It ends only
// the processes that it started.
package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
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

// VM is one gateway process with its settings, which a restart uses again.
type VM struct {
	*Process
	Fleet    fleet.VM
	settings settings.Settings
	file     string
}

// KillProcess ends the VM's process at once.
func (vm *VM) KillProcess() { vm.Kill() }

// FreezeProcess stops the VM's process without its knowing.
func (vm *VM) FreezeProcess() { vm.Freeze() }

// ThawProcess lets the VM's process go on.
func (vm *VM) ThawProcess() { vm.Thaw() }

// Endpoint is one stand-in endpoint.
type Endpoint struct {
	*Process
	Fleet fleet.Endpoint
}

type linkKey struct {
	from string
	to   string
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
	return r.AwaitReady(30 * time.Second)
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

func (r *Rig) newVM(region Region, id string) *VM {
	const portOfKernel = "127.0.0.1:0"
	s := settings.Default()
	s.VM = id
	s.Region = region.Name
	s.DataCentre = region.DataCentre
	s.CallerListen = portOfKernel
	s.PeerListen = portOfKernel
	s.OperatorListen = portOfKernel
	s.PlatformURL = "http://" + r.Platform.Listening.Addr
	s.LogFormat = "json"
	if r.Options.Adjust != nil {
		r.Options.Adjust(&s)
	}
	return &VM{
		Fleet: fleet.VM{
			ID:         id,
			Region:     region.Name,
			DataCentre: region.DataCentre,
			State:      fleet.StateLive,
		},
		settings: s,
		file:     filepath.Join(r.Options.Dir, id+".json"),
	}
}

// linkVMs puts a link on each ordered pair of VMs.
func (r *Rig) linkVMs() error {
	if !r.Options.Links {
		return nil
	}
	for _, from := range r.VMs {
		if err := r.linkPlatform(from); err != nil {
			return err
		}
		for _, to := range r.VMs {
			if err := r.linkPair(from, to); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Rig) linkPair(from, to *VM) error {
	if from == to {
		return nil
	}
	l, err := newLink()
	if err != nil {
		return err
	}
	r.links[linkKey{from: from.Fleet.ID, to: to.Fleet.ID}] = l
	from.settings.PeerRoutes = append(from.settings.PeerRoutes, settings.PeerRoute{
		VM:   to.Fleet.ID,
		Addr: l.Addr(),
	})
	return nil
}

func (r *Rig) startVM(vm *VM) error {
	data, err := json.MarshalIndent(vm.settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(vm.file, data, 0o600); err != nil {
		return err
	}
	vm.Process, err = start(vm.Fleet.ID, r.binary("gateway"), "serve", "--settings", vm.file)
	if err != nil {
		return err
	}
	vm.Fleet.CallerAddr = vm.Listening.Caller
	vm.Fleet.PeerAddr = vm.Listening.Peer
	vm.Fleet.OperatorAddr = vm.Listening.Operator
	vm.settings.CallerListen = vm.Fleet.CallerAddr
	vm.settings.PeerListen = vm.Fleet.PeerAddr
	vm.settings.OperatorListen = vm.Fleet.OperatorAddr
	for key, l := range r.links {
		if key.to == vm.Fleet.ID {
			l.Aim(vm.Fleet.PeerAddr)
		}
	}
	return nil
}

// Restart starts a VM that has ended, under its old addresses.
func (r *Rig) Restart(vm *VM) error {
	return r.startVM(vm)
}

// RestartWith starts a VM that has ended with changed settings.
func (r *Rig) RestartWith(vm *VM, change func(*settings.Settings)) error {
	change(&vm.settings)
	return r.startVM(vm)
}

// AddVM starts one more VM and does not list it yet.
func (r *Rig) AddVM(region Region, id string) (*VM, error) {
	vm := r.newVM(region, id)
	r.VMs = append(r.VMs, vm)
	return vm, r.startVM(vm)
}

// List is the list as the rig knows it.
func (r *Rig) List() fleet.List {
	var list fleet.List
	for _, vm := range r.VMs {
		list.VMs = append(list.VMs, vm.Fleet)
	}
	for _, e := range r.Endpoints {
		list.Endpoints = append(list.Endpoints, e.Fleet)
	}
	return list
}

// PublishList publishes the list as the rig knows it.
func (r *Rig) PublishList() error {
	list := r.List()
	return r.Put("/v1/vms", list)
}

// Publish publishes a document and gives its revision.
func (r *Rig) Publish(key string, value []byte) (uint64, error) {
	answer, err := r.putTo(r.Platform.Listening.Addr, "/v1/values/"+key, value)
	if err != nil {
		return 0, err
	}
	var published publishedValue
	err = json.Unmarshal(answer, &published)
	return published.Revision, err
}

// publishedValue is the platform's answer to a write.
type publishedValue struct {
	Revision uint64 `json:"revision"`
}

// Put sends a JSON value to the platform, such as its switches.
func (r *Rig) Put(path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return r.put(path, data)
}

func (r *Rig) put(path string, data []byte) error {
	return r.PutTo(r.Platform.Listening.Addr, path, data)
}

// PutTo sends a body to a path of any stand-in.
func (r *Rig) PutTo(addr, path string, data []byte) error {
	_, err := r.putTo(addr, path, data)
	return err
}

func (r *Rig) putTo(addr, path string, data []byte) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPut, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("put %s: status %d: %s", path, resp.StatusCode, text)
	}
	return text, nil
}

// Get reads a path of any process.
func (r *Rig) Get(addr, path string) (int, []byte, error) {
	resp, err := r.http.Get("http://" + addr + path)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// GetJSON reads a path of any process as JSON.
func GetJSON[T any](r *Rig, addr, path string) (T, error) {
	var out T
	status, body, err := r.Get(addr, path)
	if err != nil {
		return out, err
	}
	if status != http.StatusOK {
		return out, fmt.Errorf("get %s: status %d: %s", path, status, body)
	}
	return out, json.Unmarshal(body, &out)
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

// CutBetween cuts the links between two groups of VMs, both ways.
func (r *Rig) CutBetween(a, b []*VM) {
	r.eachLink(a, b, (*Link).Cut)
	r.eachLink(b, a, (*Link).Cut)
}

// CutOneWay cuts only the links by which a asks b.
func (r *Rig) CutOneWay(a, b []*VM) {
	r.eachLink(a, b, (*Link).Cut)
}

// HealAll ends every cut.
func (r *Rig) HealAll() {
	for _, l := range r.links {
		l.Heal()
	}
}

func (r *Rig) eachLink(from, to []*VM, do func(*Link)) {
	for _, f := range from {
		for _, t := range to {
			if l, ok := r.links[linkKey{from: f.Fleet.ID, to: t.Fleet.ID}]; ok {
				do(l)
			}
		}
	}
}

// VMsOf gives the VMs of a region.
func (r *Rig) VMsOf(region string) []*VM {
	var out []*VM
	for _, vm := range r.VMs {
		if vm.Fleet.Region == region {
			out = append(out, vm)
		}
	}
	return out
}

// VM finds a VM by its id.
func (r *Rig) VM(id string) *VM {
	for _, vm := range r.VMs {
		if vm.Fleet.ID == id {
			return vm
		}
	}
	return nil
}

// EndpointsOf gives the endpoints of a model or service.
func (r *Rig) EndpointsOf(target string) []*Endpoint {
	var out []*Endpoint
	for _, e := range r.Endpoints {
		if e.Fleet.Serves() == target {
			out = append(out, e)
		}
	}
	return out
}

// Logs gives the last log lines of every VM, for the report of a failed test.
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
