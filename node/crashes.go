package node

import (
	"context"
	"slices"

	"github.com/fuchsianotch/fuchsianotch/common/tcp"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/quarantine/agent"
)

// newCrashAgent returns the agent that quarantines calls under which endpoints crash.
func (n *Node) newCrashAgent() *agent.Agent {
	return agent.New(agent.Options{
		VM:        n.settings.VM,
		Log:       n.log,
		Now:       n.now,
		Dial:      tcp.Probe,
		Published: n.isEndpointLive,
		VMs:       n.reachablePeers,
		Send: func(ctx context.Context, to fleet.VM, note quarantine.Note) error {
			return n.peers.Crashes(ctx, to, n.identity(), note)
		},
		OnCountChanged: n.metrics.SetQuarantine,
	})
}

// isEndpointLive reports whether the platform lists this incarnation of an endpoint as
// live.
func (n *Node) isEndpointLive(e fleet.Endpoint) bool {
	return slices.ContainsFunc(n.pools.table.Load().endpoints, func(known fleet.Endpoint) bool {
		return known.ID == e.ID && known.Incarnation == e.Incarnation && known.State == fleet.StateLive
	})
}

// reachablePeers returns this VM and the reachable ones, and whether any listed VM is
// unreachable.
func (n *Node) reachablePeers() (vms []quarantine.Peer, partitioned bool) {
	view := n.view()
	for _, m := range slices.Concat(view.Region, view.Others) {
		if !m.Reachable && m.VM.ID != n.settings.VM {
			partitioned = true
			continue
		}
		vms = append(vms, quarantine.Peer{
			VM:          m.VM,
			Incarnation: m.Incarnation,
		})
	}
	return vms, partitioned
}
