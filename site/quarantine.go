package site

import (
	"context"

	"github.com/fuchsianotch/fuchsianotch/common/tcp"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/quarantine/agent"
)

// newQuarantineAgent returns the agent that holds back calls that crash endpoints.
func (n *Node) newQuarantineAgent() *agent.Agent {
	return agent.New(agent.Options{
		VM:        n.deployment.VM,
		Log:       n.log,
		Now:       n.now,
		Dial:      tcp.Probe,
		Published: n.isPublished,
		VMs:       n.reachableMembers,
		Send: func(ctx context.Context, to fleet.VM, note quarantine.Note) error {
			return n.peers.Crashes(ctx, to, n.identity(), note)
		},
		OnCountChanged: n.metrics.SetQuarantine,
	})
}

// isPublished reports whether the store lists this incarnation of an endpoint as
// accepting work.
func (n *Node) isPublished(e fleet.Endpoint) bool {
	return n.pools.index.contains(e.ID, e.Incarnation)
}

// reachableMembers returns this VM and all reachable ones; partitioned is set if more
// VMs have been known.
func (n *Node) reachableMembers() (vms []quarantine.Peer, partitioned bool) {
	members := n.control.snapshot().members
	for _, m := range members.Members {
		if m.Reachable || m.VM.ID == n.deployment.VM {
			vms = append(vms, quarantine.Peer{
				VM:          m.VM,
				Incarnation: m.VM.Incarnation,
			})
		}
	}
	return vms, len(vms) < members.MaxKnown
}
