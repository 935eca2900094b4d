package rig

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/operator"
)

// AwaitConverged waits until every running VM is ready, reaches the other VMs of
// its region, and holds its share of the limits from each of them.
func (r *Rig) AwaitConverged(timeout time.Duration) error {
	if err := r.AwaitReady(timeout); err != nil {
		return err
	}
	return Await(timeout, "every VM reaches its region and holds its share of the limits", func() bool {
		for _, vm := range r.VMs {
			if vm.Alive() && !r.hasConverged(vm) {
				return false
			}
		}
		return true
	})
}

// Status returns the operator status of a VM.
func (r *Rig) Status(vm *VM) (operator.Status, error) {
	return GetJSON[operator.Status](r, vm.Fleet.OperatorAddr, "/v1/status")
}

func (r *Rig) hasConverged(vm *VM) bool {
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
