package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/configuration"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// pullWithin bounds one pull that does not wait.
const pullWithin = 5 * time.Second

// pullOnDemand pulls from VMs whose heartbeats showed other documents. A pull
// that brought nothing is followed by a pause, so that two builds that judge a
// document differently do not pull in a tight loop.
func (n *Node) pullOnDemand(ctx context.Context) error {
	for {
		select {
		case vm := <-n.pulls:
			if !n.pullFrom(ctx, vm) {
				n.sleepUntil(ctx, n.now().Add(dutyEvery))
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// pullSoon asks for a pull from a VM; a second one while one waits is dropped.
func (n *Node) pullSoon(vm string) {
	select {
	case n.pulls <- vm:
	default:
	}
}

// pullFrom pulls everything that this VM lacks, and says whether that was anything.
func (n *Node) pullFrom(ctx context.Context, id string) bool {
	vm, ok := findVM(n.view(), id)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pullWithin)
	defer cancel()
	held, err := ask(ctx, n.control, func(reply chan<- []configuration.Held) message {
		return heldAsked{
			reply: reply,
		}
	})
	if err != nil {
		return false
	}
	digest := n.snapshot().Digest
	changed, err := n.pull(ctx, vm, &peerpb.DocumentsRequest{
		ListRevision:  digest.ListRevision,
		Held:          heldMessage(held),
		AfterRevision: digest.Revision,
		DocumentsHash: digest.Hash,
	})
	return err == nil && changed
}

// followSource waits at the best source for anything new, unless this VM
// watches the platform itself.
func (n *Node) followSource(ctx context.Context) error {
	for ctx.Err() == nil {
		n.seedFromPeers(ctx)
		source, ok := n.source()
		if !ok {
			n.sleepUntil(ctx, n.now().Add(dutyEvery))
			continue
		}
		began := n.now()
		if _, err := n.waitAt(ctx, source); err != nil {
			n.sleepUntil(ctx, began.Add(dutyEvery))
		}
	}
	return nil
}

func (n *Node) waitAt(ctx context.Context, source fleet.VM) (bool, error) {
	now := n.now()
	until := now.Add(watchFor)
	ctx, cancel := clock.WithDeadline(ctx, now, until.Add(pullWithin))
	defer cancel()
	digest := n.snapshot().Digest
	return n.pull(ctx, source, &peerpb.DocumentsRequest{
		ListRevision:    digest.ListRevision,
		AfterRevision:   digest.Revision,
		DocumentsHash:   digest.Hash,
		WaitUntilUnixMs: until.UnixMilli(),
	})
}

// source is the VM to wait at; ok is false for a watcher, and while none is known.
func (n *Node) source() (fleet.VM, bool) {
	view := n.view()
	if n.isWatcher() {
		return fleet.VM{}, false
	}
	for _, id := range configuration.Sources(n.settings.VM, reachableVMs(view)) {
		return findVM(view, id)
	}
	return fleet.VM{}, false
}

func findVM(view *membership.View, id string) (fleet.VM, bool) {
	for _, members := range [][]membership.Member{view.Region, view.Others} {
		for _, m := range members {
			if m.VM.ID == id {
				return m.VM, true
			}
		}
	}
	return fleet.VM{}, false
}

// pull makes one request, takes what it brings, and says whether that was new.
func (n *Node) pull(ctx context.Context, vm fleet.VM, in *peerpb.DocumentsRequest) (bool, error) {
	in.Stamp = uint64(n.ring.Stamp())
	n.metrics.ControlMessage(metrics.MessageDocuments)
	reply, err := n.peers.Documents(ctx, vm, in)
	if err != nil {
		return false, err
	}
	docs, list := documentsFromMessage(reply)
	return n.offer(ctx, docs, list, vm.ID)
}

func documentsFromMessage(m *peerpb.DocumentsReply) ([]configuration.Document, *fleet.List) {
	var docs []configuration.Document
	for _, d := range m.GetDocuments() {
		docs = append(docs, configuration.Document{
			Key:      d.GetKey(),
			Revision: d.GetRevision(),
			Value:    d.GetValue(),
			Refused:  d.GetRefused(),
		})
	}
	if len(m.GetList()) == 0 {
		return docs, nil
	}
	var list fleet.List
	if err := json.Unmarshal(m.GetList(), &list); err != nil {
		return docs, nil
	}
	return docs, &list
}

func heldMessage(held []configuration.Held) []*peerpb.Held {
	out := make([]*peerpb.Held, 0, len(held))
	for _, h := range held {
		out = append(out, &peerpb.Held{
			Key:      h.Key,
			Revision: h.Revision,
		})
	}
	return out
}

// seedFromPeers takes documents from the seeds of the settings while no list
// is known, as at a start during an outage of the platform. It asks each once.
func (n *Node) seedFromPeers(ctx context.Context) {
	for _, addr := range n.settings.Seeds {
		if n.snapshot().List != nil {
			return
		}
		trip, cancel := context.WithTimeout(ctx, pullWithin)
		_, _ = n.pull(trip, fleet.VM{
			ID:       "seed " + addr,
			PeerAddr: addr,
		}, &peerpb.DocumentsRequest{})
		cancel()
	}
}
