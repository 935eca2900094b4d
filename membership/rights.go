package membership

import "github.com/fuchsianotch/fuchsianotch/fleet"

// SetRights says that a VM holds the rights of other incarnations, known at
// first hand: this VM because it adopted them, or another one because this VM
// handed them over. It replaces what was said of that VM before.
func (s *State) SetRights(vm string, rights []Adoption) {
	if len(rights) == 0 {
		delete(s.rights, vm)
		return
	}
	if s.rights == nil {
		s.rights = make(map[string][]Adoption)
	}
	s.rights[vm] = rights
}

// adoptions returns the VM that holds the rights of each incarnation that gave
// them up: as known at first hand, else as the beats say. What a VM that leaves
// said counts least, since it may have handed on what it had.
func (s *State) adoptions() map[holder]adopter {
	adopted := make(map[holder]adopter)
	for trust := leaves; trust <= reached; trust++ {
		for _, peers := range [][]*peer{s.others, s.region} {
			for _, p := range peers {
				if p.trust() == trust {
					adoptAll(adopted, p.vm, p.beat.Adopted)
				}
			}
		}
	}
	for _, p := range s.region {
		adoptAll(adopted, p.vm, s.rights[p.vm.ID])
	}
	adoptAll(adopted, s.self, s.rights[s.self.ID])
	return adopted
}

// trust orders VMs by what their last word about rights is worth.
type trust int

const (
	leaves trust = iota
	unreached
	reached
)

func (p *peer) trust() trust {
	switch {
	case p.beat.Leaving:
		return leaves
	case !p.reachable:
		return unreached
	default:
		return reached
	}
}

// adoptAll sets the VM as the holder of rights that end no earlier than those
// known so far.
func adoptAll(adopted map[holder]adopter, vm fleet.VM, rights []Adoption) {
	for _, a := range rights {
		of := holder{
			vm:          a.VM,
			incarnation: a.Incarnation,
		}
		if !a.Until.Before(adopted[of].until) {
			adopted[of] = adopter{
				vm:    vm,
				until: a.Until,
			}
		}
	}
}
