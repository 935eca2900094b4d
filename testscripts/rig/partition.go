package rig

import (
	"github.com/fuchsianotch/fuchsianotch/settings"
)

// linkVMs routes all traffic between VMs, and from VMs to the platform, through
// links.
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

// Partition blocks the links between two groups of VMs in both directions.
func (r *Rig) Partition(a, b []*VM) {
	r.eachLink(a, b, (*Link).Block)
	r.eachLink(b, a, (*Link).Block)
}

// PartitionOneWay blocks only the links on which VMs of a connect to VMs of b.
func (r *Rig) PartitionOneWay(a, b []*VM) {
	r.eachLink(a, b, (*Link).Block)
}

// HealPartitions unblocks every link, those to the platform included.
func (r *Rig) HealPartitions() {
	for _, l := range r.links {
		l.Unblock()
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
