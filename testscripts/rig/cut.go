package rig

import (
	"github.com/fuchsianotch/fuchsianotch/settings"
)

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

type linkKey struct {
	from string
	to   string
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
