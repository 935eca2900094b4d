package rig

// platformKey identifies the platform in a linkKey.
const platformKey = "platform"

// linkPlatform routes a VM's requests to the platform through a link.
func (r *Rig) linkPlatform(vm *VM) error {
	l, err := newLink()
	if err != nil {
		return err
	}
	l.SetTarget(r.Platform.ListenAddrs.Addr)
	r.links[linkKey{from: vm.Fleet.ID, to: platformKey}] = l
	vm.settings.PlatformURL = "http://" + l.Addr()
	return nil
}

// PartitionPlatform blocks the links from VMs to the platform until
// HealPartitions.
func (r *Rig) PartitionPlatform(vms []*VM) {
	for _, vm := range vms {
		if l, ok := r.links[linkKey{from: vm.Fleet.ID, to: platformKey}]; ok {
			l.Block()
		}
	}
}

// SetSeeds sets the peers from which the VM fetches documents when it is
// restarted while the platform is unreachable.
func (vm *VM) SetSeeds(seeds []*VM) {
	vm.settings.Seeds = nil
	for _, s := range seeds {
		vm.settings.Seeds = append(vm.settings.Seeds, s.Fleet.PeerAddr)
	}
}
