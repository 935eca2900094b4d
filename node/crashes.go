package node

import (
	"context"
	"slices"

	"github.com/fuchsianotch/fuchsianotch/common/tcp"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/quarantine/agent"
)

// newCrashes makes the agent that keeps calls from endpoints that these crash under.
func (n *Node) newCrashes() *agent.Agent {
	return agent.New(agent.Options{
		VM:     n.settings.VM,
		Log:    n.log,
		Now:    n.now,
		Dial:   tcp.Reach,
		Listed: n.listed,
		VMs:    n.vmsInReach,
		Tell: func(ctx context.Context, to fleet.VM, note quarantine.Note) error {
			return n.peers.Crashes(ctx, to, n.identity(), note)
		},
		Count: n.metrics.SetHeld,
	})
}

// listed reports whether this life of an endpoint takes work by the platform's list.
func (n *Node) listed(e fleet.Endpoint) bool {
	return slices.ContainsFunc(n.pools.table.Load().endpoints, func(known fleet.Endpoint) bool {
		return known.ID == e.ID && known.Incarnation == e.Incarnation && known.State == fleet.StateLive
	})
}

// vmsInReach returns this VM and those in reach, and whether others are listed.
func (n *Node) vmsInReach() (vms []quarantine.Peer, parted bool) {
	view := n.view()
	for _, m := range slices.Concat(view.Region, view.Others) {
		if !m.Reachable && m.VM.ID != n.settings.VM {
			parted = true
			continue
		}
		vms = append(vms, quarantine.Peer{
			VM:          m.VM,
			Incarnation: m.Incarnation,
		})
	}
	return vms, parted
}
