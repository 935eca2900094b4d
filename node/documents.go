package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/configuration"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/platform"
)

const (
	// watchFor is how long one watch at the platform or a peer waits.
	watchFor = 30 * time.Second
	// dutyEvery is how often a VM that does not watch looks at its duty.
	dutyEvery = time.Second
	// fromPlatform names the platform as the source of documents.
	fromPlatform = "platform"
)

// watchDocuments watches the platform's documents while this VM is one of the
// watchers of its data centre, and probes them now and then otherwise.
func (n *Node) watchDocuments(ctx context.Context) error {
	relay := configuration.NewRelay(configuration.RelayOptions{
		Self: n.settings.VM,
		Rand: rand.Uint64,
	})
	pace := platform.Pace{
		Rand: rand.Uint64,
	}
	var after uint64
	for ctx.Err() == nil {
		now := n.now()
		duty := relay.Duty(n.dataCentre(), now)
		if duty == configuration.DutyPull {
			n.sleepUntil(ctx, earliest(relay.Next(), now.Add(dutyEvery)))
			continue
		}
		var changed bool
		var err error
		if duty == configuration.DutyProbe {
			_, changed, err = n.readDocuments(ctx, n.snapshot().Digest.Revision, now)
			relay.Probed(changed, n.now())
		} else {
			after, changed, err = n.readDocuments(ctx, after, now.Add(watchFor))
		}
		n.sleepUntil(ctx, pace.Next(err, changed, now, n.now()))
	}
	return nil
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// readDocuments reads what is above a revision, waiting for it until a
// moment, and gives the revision to go on from.
func (n *Node) readDocuments(ctx context.Context, after uint64, until time.Time) (uint64, bool, error) {
	changes, err := n.platform.Watch(ctx, after, until)
	n.metrics.PlatformRead(err)
	if err != nil {
		return after, false, err
	}
	changed, err := n.offer(ctx, documentsOf(changes), nil, fromPlatform)
	return max(after, changes.Revision), changed, err
}

func documentsOf(changes platform.Changes) []configuration.Document {
	out := make([]configuration.Document, 0, len(changes.Values))
	for _, v := range changes.Values {
		out = append(out, configuration.Document{
			Key:      v.Key,
			Revision: v.Revision,
			Value:    v.Value,
		})
	}
	return out
}

// watchList watches the platform's list while this VM is a watcher.
func (n *Node) watchList(ctx context.Context) error {
	pace := platform.Pace{
		Rand: rand.Uint64,
	}
	for ctx.Err() == nil {
		if !n.isWatcher() {
			n.sleepUntil(ctx, n.now().Add(dutyEvery))
			continue
		}
		began := n.now()
		list, err := n.platform.WatchList(ctx, n.snapshot().Digest.ListRevision, began.Add(watchFor))
		n.metrics.PlatformRead(err)
		changed := false
		if err == nil && list != nil {
			changed, err = n.offer(ctx, nil, list, fromPlatform)
		}
		n.sleepUntil(ctx, pace.Next(err, changed, began, n.now()))
	}
	return nil
}

// isWatcher reports whether this VM watches; one that knows no others does.
func (n *Node) isWatcher() bool {
	vms := n.dataCentre()
	known := false
	for _, vm := range vms {
		known = known || vm.ID == n.settings.VM
	}
	if !known {
		return true
	}
	for _, id := range configuration.Watchers(vms) {
		if id == n.settings.VM {
			return true
		}
	}
	return false
}

// dataCentre returns the reachable VMs of this data centre with this one.
func (n *Node) dataCentre() []fleet.VM {
	view := n.view()
	var out []fleet.VM
	for _, m := range view.Region {
		here := m.VM.DataCentre == n.settings.DataCentre
		if here && (m.Reachable || m.VM.ID == n.settings.VM) && !m.Leaving {
			out = append(out, m.VM)
		}
	}
	return out
}

// reachableVMs returns the reachable VMs of all regions with this one.
func reachableVMs(view *membership.View) []fleet.VM {
	out := []fleet.VM{view.Self}
	for _, members := range [][]membership.Member{view.Region, view.Others} {
		for _, m := range members {
			if m.Reachable && m.VM.ID != view.Self.ID {
				out = append(out, m.VM)
			}
		}
	}
	return out
}

// offer judges documents here, in the reader's goroutine, gives them to the
// control goroutine and waits for its verdict.
func (n *Node) offer(ctx context.Context, docs []configuration.Document, list *fleet.List, source string) (bool, error) {
	if len(docs) == 0 && list == nil {
		return false, nil
	}
	judged := configuration.Judge(docs)
	return ask(ctx, n.control, func(reply chan<- bool) message {
		return offered{
			documents: judged,
			list:      list,
			source:    source,
			done:      reply,
		}
	})
}

// sleepUntil waits for a moment or the end of ctx.
func (n *Node) sleepUntil(ctx context.Context, at time.Time) {
	worker.SleepUntil(ctx, n.now(), at)
}
