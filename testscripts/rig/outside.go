package rig

// platformKey stands for the platform in the keys of links.
const platformKey = "platform"

// linkPlatform puts a link between a VM and the platform.
func (r *Rig) linkPlatform(vm *VM) error {
	l, err := newLink()
	if err != nil {
		return err
	}
	l.Aim(r.Platform.Listening.Addr)
	r.links[linkKey{from: vm.Fleet.ID, to: platformKey}] = l
	vm.settings.PlatformURL = "http://" + l.Addr()
	return nil
}

// CutPlatform cuts VMs off from the platform until HealAll.
func (r *Rig) CutPlatform(vms []*VM) {
	for _, vm := range vms {
		if l, ok := r.links[linkKey{from: vm.Fleet.ID, to: platformKey}]; ok {
			l.Cut()
		}
	}
}

// SetSeeds sets the peers that a VM takes documents from when it is started
// again without a platform.
func (vm *VM) SetSeeds(seeds []*VM) {
	vm.settings.Seeds = nil
	for _, s := range seeds {
		vm.settings.Seeds = append(vm.settings.Seeds, s.Fleet.PeerAddr)
	}
}
