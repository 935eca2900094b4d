package rig

// VMsInRegion returns the VMs of a region.
func (r *Rig) VMsInRegion(region string) []*VM {
	var out []*VM
	for _, vm := range r.VMs {
		if vm.Fleet.Region == region {
			out = append(out, vm)
		}
	}
	return out
}

// VM returns the VM with the given id, or nil.
func (r *Rig) VM(id string) *VM {
	for _, vm := range r.VMs {
		if vm.Fleet.ID == id {
			return vm
		}
	}
	return nil
}

// EndpointsServing returns the endpoints that serve a model or service.
func (r *Rig) EndpointsServing(target string) []*Endpoint {
	var out []*Endpoint
	for _, e := range r.Endpoints {
		if e.Fleet.Serves() == target {
			out = append(out, e)
		}
	}
	return out
}
