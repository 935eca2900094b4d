package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// eventsTimeout bounds the request for one VM's events.
const eventsTimeout = 2 * time.Second

func (n *Node) operatorOptions() operator.Options {
	return operator.Options{
		Ready:        n.ready,
		Status:       n.status,
		Events:       n.ring.Select,
		MergedEvents: n.mergedEvents,
		Metrics:      n.metrics.Handler(),
	}
}

// ready reports whether this VM accepts callers: it has a configuration, is not
// stopping, and has been listed long enough to lend its shares.
func (n *Node) ready() bool {
	view := n.view()
	listed := view.ListRevision > 0 && !n.now().Before(view.GrantsFrom)
	return n.caughtUp() && listed && !n.stopping.Load()
}

// caughtUp reports whether this VM has a current configuration to serve by.
func (n *Node) caughtUp() bool {
	return n.control.published.Load().ready
}

func (n *Node) status() operator.Status {
	snapshot := n.snapshot()
	view := n.view()
	s := operator.Status{
		VM:           n.settings.VM,
		Region:       n.settings.Region,
		DataCentre:   n.settings.DataCentre,
		Incarnation:  n.incarnation,
		Ready:        n.ready(),
		Leaving:      n.stopping.Load(),
		Documents:    []operator.Document{},
		ListRevision: snapshot.Digest.ListRevision,
		View: operator.View{
			Revision:    view.Revision,
			Region:      regionMembers(view),
			LenderCount: view.HeldLeases(n.now()),
			ShareCount:  view.VMs,
		},
		Load: operator.Load{
			InFlight: n.serving.InFlight(),
			Queued:   n.pools.queuedCalls(),
		},
	}
	for _, d := range snapshot.Documents {
		s.Documents = append(s.Documents, operator.Document{
			Key:      d.Key,
			Active:   d.InForce,
			Rejected: d.Refused,
			Reason:   d.Reason,
		})
	}
	return s
}

func regionMembers(view *membership.View) []operator.Member {
	out := make([]operator.Member, 0, len(view.Region))
	for _, m := range view.Region {
		out = append(out, operator.Member{
			VM:        m.VM.ID,
			Reachable: m.Reachable,
			Leaving:   m.Leaving,
		})
	}
	return out
}

// mergedEvents fetches the events of all VMs and merges them. It also returns the ids of
// the VMs that failed to reply.
func (n *Node) mergedEvents(ctx context.Context, q timeline.Query) ([]timeline.Event, []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	rings := [][]timeline.Event{n.ring.Select(q)}
	var unreached []string
	for _, vm := range otherVMs(n.view()) {
		wg.Go(func() {
			events, err := n.fetchEvents(ctx, vm, q)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreached = append(unreached, vm.ID)
				return
			}
			rings = append(rings, events)
		})
	}
	wg.Wait()
	return timeline.Merge(rings...), unreached
}

func otherVMs(view *membership.View) []fleet.VM {
	var out []fleet.VM
	for _, members := range [][]membership.Member{view.Region, view.Others} {
		for _, m := range members {
			if m.VM.ID != view.Self.ID {
				out = append(out, m.VM)
			}
		}
	}
	return out
}

func (n *Node) fetchEvents(ctx context.Context, vm fleet.VM, q timeline.Query) ([]timeline.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	n.metrics.ControlMessage(metrics.MessageEvents)
	reply, err := n.peers.Events(ctx, vm, &peerpb.EventsRequest{
		From:       n.identity(),
		Stamp:      uint64(n.ring.Stamp()),
		Request:    q.Request,
		Workspace:  q.Workspace,
		FromUnixMs: peer.UnixMilli(q.From),
		ToUnixMs:   peer.UnixMilli(q.To),
	})
	if err != nil {
		return nil, err
	}
	n.witness(reply.GetStamp())
	var events []timeline.Event
	return events, json.Unmarshal(reply.GetEvents(), &events)
}
