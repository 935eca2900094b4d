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

// VM is a gateway process with the settings that it is started and restarted
// with.
type VM struct {
	*Process
	Fleet        fleet.VM
	settings     settings.Settings
	settingsFile string
}

// KillProcess kills the VM's process.
func (vm *VM) KillProcess() { vm.Kill() }

// SuspendProcess suspends the VM's process.
func (vm *VM) SuspendProcess() { vm.Suspend() }

// ResumeProcess resumes the VM's process.
func (vm *VM) ResumeProcess() { vm.Resume() }

// vmCount counts the VMs created in this process.
var vmCount atomic.Uint32

// nextLoopbackIP returns a loopback address for one VM. With an address of its
// own, no other process takes the VM's ports while it restarts.
func nextLoopbackIP() string {
	const (
		minOctet    = 16
		octetRange  = 200
		octetValues = 256
	)
	n := vmCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", minOctet+os.Getpid()%octetRange, n/octetValues%octetValues, n%octetValues)
}

func (r *Rig) newVM(region Region, id string) *VM {
	ephemeralAddr := nextLoopbackIP() + ":0"
	s := settings.Default()
	s.VM = id
	s.Region = region.Name
	s.DataCentre = region.DataCentre
	s.CallerListen = ephemeralAddr
	s.PeerListen = ephemeralAddr
	s.OperatorListen = ephemeralAddr
	s.PlatformURL = "http://" + r.Platform.ListenAddrs.Addr
	s.LogFormat = "json"
	if r.Options.AdjustSettings != nil {
		r.Options.AdjustSettings(&s)
	}
	return &VM{
		Fleet: fleet.VM{
			ID:         id,
			Region:     region.Name,
			DataCentre: region.DataCentre,
			State:      fleet.StateLive,
		},
		settings:     s,
		settingsFile: filepath.Join(r.Options.Dir, id+".json"),
	}
}

func (r *Rig) startVM(vm *VM) error {
	data, err := json.MarshalIndent(vm.settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(vm.settingsFile, data, 0o600); err != nil {
		return err
	}
	vm.Process, err = start(vm.Fleet.ID, r.binary("gateway"), "serve", "--settings", vm.settingsFile)
	if err != nil {
		return err
	}
	vm.Fleet.CallerAddr = vm.ListenAddrs.Caller
	vm.Fleet.PeerAddr = vm.ListenAddrs.Peer
	vm.Fleet.OperatorAddr = vm.ListenAddrs.Operator
	vm.settings.CallerListen = vm.Fleet.CallerAddr
	vm.settings.PeerListen = vm.Fleet.PeerAddr
	vm.settings.OperatorListen = vm.Fleet.OperatorAddr
	for key, l := range r.links {
		if key.to == vm.Fleet.ID {
			l.SetTarget(vm.Fleet.PeerAddr)
		}
	}
	return nil
}

// Restart starts a VM whose process has exited, with the same addresses.
func (r *Rig) Restart(vm *VM) error {
	return r.startVM(vm)
}

// RestartWith changes the settings of a VM whose process has exited and starts
// it.
func (r *Rig) RestartWith(vm *VM, change func(*settings.Settings)) error {
	change(&vm.settings)
	return r.startVM(vm)
}

// AddVM starts another VM without publishing it in the fleet list.
func (r *Rig) AddVM(region Region, id string) (*VM, error) {
	vm := r.newVM(region, id)
	r.VMs = append(r.VMs, vm)
	return vm, r.startVM(vm)
}
