package rig

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/operator"
)

// AwaitSettled waits until every running VM is ready, reaches the others of
// its region, and holds their shares of the limits.
func (r *Rig) AwaitSettled(within time.Duration) error {
	if err := r.AwaitReady(within); err != nil {
		return err
	}
	return Await(within, "every VM reaches its region and is lent to", func() bool {
		for _, vm := range r.VMs {
			if vm.Alive() && !r.isSettled(vm) {
				return false
			}
		}
		return true
	})
}

// Status asks a VM for its state.
func (r *Rig) Status(vm *VM) (operator.Status, error) {
	return GetJSON[operator.Status](r, vm.Fleet.OperatorAddr, "/v1/status")
}

func (r *Rig) isSettled(vm *VM) bool {
	s, err := r.Status(vm)
	if err != nil {
		return false
	}
	running := 0
	for _, m := range s.View.Region {
		other := r.VM(m.VM)
		if other == nil || !other.Alive() {
			continue
		}
		running++
		if m.VM != vm.Fleet.ID && !m.Reachable {
			return false
		}
	}
	return s.View.LenderCount >= running
}
