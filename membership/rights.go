package membership

import "github.com/fuchsianotch/fuchsianotch/fleet"

// SetAdoptedRights records the execution rights of other incarnations that a VM holds. They
// are known directly: this VM adopted them, or transferred them to the VM. It replaces
// the VM's earlier entry.
func (s *State) SetAdoptedRights(vm string, rights []Adoption) {
	if len(rights) == 0 {
		delete(s.adoptedRights, vm)
		return
	}
	if s.adoptedRights == nil {
		s.adoptedRights = make(map[string][]Adoption)
	}
	s.adoptedRights[vm] = rights
}

// findRightsHolders returns the VM that holds the rights of each incarnation that gave
// them up. Rights set by SetAdoptedRights take precedence over beats. Beats of leaving VMs
// count least, since those may have transferred the rights since.
func (s *State) findRightsHolders() map[process]rightsHolder {
	adopted := make(map[process]rightsHolder)
	for trust := trustLeaving; trust <= trustReachable; trust++ {
		for _, peers := range [][]*peer{s.remotePeers, s.regionPeers} {
			for _, p := range peers {
				if p.trust() == trust {
					recordAdoptions(adopted, p.vm, p.beat.Adopted)
				}
			}
		}
	}
	for _, p := range s.regionPeers {
		recordAdoptions(adopted, p.vm, s.adoptedRights[p.vm.ID])
	}
	recordAdoptions(adopted, s.self, s.adoptedRights[s.self.ID])
	return adopted
}

// trust orders VMs by how much their last report about rights counts.
type trust int

const (
	trustLeaving trust = iota
	trustUnreachable
	trustReachable
)

func (p *peer) trust() trust {
	switch {
	case p.beat.Leaving:
		return trustLeaving
	case !p.reachable:
		return trustUnreachable
	default:
		return trustReachable
	}
}

// recordAdoptions sets the VM as the holder of the rights, unless another holder's end
// later.
func recordAdoptions(adopted map[process]rightsHolder, vm fleet.VM, rights []Adoption) {
	for _, a := range rights {
		of := process{
			vm:          a.VM,
			incarnation: a.Incarnation,
		}
		if !a.Until.Before(adopted[of].until) {
			adopted[of] = rightsHolder{
				vm:    vm,
				until: a.Until,
			}
		}
	}
}
