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

// pullTimeout bounds a pull without a long poll.
const pullTimeout = 5 * time.Second

// servePullRequests pulls from VMs whose heartbeats showed different documents. It
// pauses after a pull without changes, because two builds that validate a document
// differently would otherwise pull in a tight loop.
func (n *Node) servePullRequests(ctx context.Context) error {
	for {
		select {
		case vm := <-n.pullRequests:
			if !n.pullMissing(ctx, vm) {
				n.sleepUntil(ctx, n.now().Add(dutyCheckInterval))
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// requestPull schedules a pull from a VM, unless one is pending.
func (n *Node) requestPull(vm string) {
	select {
	case n.pullRequests <- vm:
	default:
	}
}

// pullMissing pulls the documents that this VM lacks, and reports whether anything
// changed.
func (n *Node) pullMissing(ctx context.Context, id string) bool {
	vm, ok := findVM(n.view(), id)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	held, err := ask(ctx, n.control, func(reply chan<- []configuration.Held) message {
		return heldRequested{
			reply: reply,
		}
	})
	if err != nil {
		return false
	}
	digest := n.snapshot().Digest
	changed, err := n.pull(ctx, vm, &peerpb.DocumentsRequest{
		ListRevision:  digest.ListRevision,
		Held:          heldToProto(held),
		AfterRevision: digest.Revision,
		DocumentsHash: digest.Hash,
	})
	return err == nil && changed
}

// followUpstream long-polls the preferred peer for changes, unless this VM watches the
// platform itself.
func (n *Node) followUpstream(ctx context.Context) error {
	for ctx.Err() == nil {
		n.pullFromSeeds(ctx)
		upstream, ok := n.upstream()
		if !ok {
			n.sleepUntil(ctx, n.now().Add(dutyCheckInterval))
			continue
		}
		began := n.now()
		if _, err := n.longPoll(ctx, upstream); err != nil {
			n.sleepUntil(ctx, began.Add(dutyCheckInterval))
		}
	}
	return nil
}

func (n *Node) longPoll(ctx context.Context, upstream fleet.VM) (bool, error) {
	now := n.now()
	until := now.Add(watchTimeout)
	ctx, cancel := clock.WithDeadline(ctx, now, until.Add(pullTimeout))
	defer cancel()
	digest := n.snapshot().Digest
	return n.pull(ctx, upstream, &peerpb.DocumentsRequest{
		ListRevision:    digest.ListRevision,
		AfterRevision:   digest.Revision,
		DocumentsHash:   digest.Hash,
		WaitUntilUnixMs: until.UnixMilli(),
	})
}

// upstream returns the VM to long-poll; ok is false for a watcher, and while no VM is
// known.
func (n *Node) upstream() (fleet.VM, bool) {
	view := n.view()
	if n.isWatcher() {
		return fleet.VM{}, false
	}
	for _, id := range configuration.PullSources(n.settings.VM, reachableVMs(view)) {
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

// pull makes one request, offers the documents of the reply, and reports whether
// anything changed.
func (n *Node) pull(ctx context.Context, vm fleet.VM, in *peerpb.DocumentsRequest) (bool, error) {
	in.Stamp = uint64(n.ring.Stamp())
	n.metrics.ControlMessage(metrics.MessageDocuments)
	reply, err := n.peers.Documents(ctx, vm, in)
	if err != nil {
		return false, err
	}
	docs, list := documentsFromProto(reply)
	return n.offerDocuments(ctx, docs, list, vm.ID)
}

func documentsFromProto(m *peerpb.DocumentsReply) ([]configuration.Document, *fleet.List) {
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

func heldToProto(held []configuration.Held) []*peerpb.Held {
	out := make([]*peerpb.Held, 0, len(held))
	for _, h := range held {
		out = append(out, &peerpb.Held{
			Key:      h.Key,
			Revision: h.Revision,
		})
	}
	return out
}

// pullFromSeeds pulls from each configured seed once while no fleet list is known, for
// instance when this VM starts during an outage of the platform.
func (n *Node) pullFromSeeds(ctx context.Context) {
	for _, addr := range n.settings.Seeds {
		if n.snapshot().List != nil {
			return
		}
		pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		_, _ = n.pull(pullCtx, fleet.VM{
			ID:       "seed " + addr,
			PeerAddr: addr,
		}, &peerpb.DocumentsRequest{})
		cancel()
	}
}
