package rig

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

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

// vmsMade numbers the VMs of this process.
var vmsMade atomic.Uint32

// ownAddress gives a VM a loopback address of its own, so that nobody else
// takes its ports while it is being replaced.
func ownAddress() string {
	const (
		firstNet = 16
		nets     = 200
		octet    = 256
	)
	n := vmsMade.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", firstNet+os.Getpid()%nets, n/octet%octet, n%octet)
}

func (r *Rig) newVM(region Region, id string) *VM {
	portOfKernel := ownAddress() + ":0"
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
