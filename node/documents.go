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
	// watchTimeout bounds one long poll of the platform or a peer.
	watchTimeout = 30 * time.Second
	// dutyCheckInterval is how often a VM that does not watch the platform checks whether
	// it should.
	dutyCheckInterval = time.Second
	// platformSource names the platform as the source of documents.
	platformSource = "platform"
)

// watchDocuments watches the platform's documents while this VM is a watcher of its data
// centre, and otherwise probes them occasionally.
func (n *Node) watchDocuments(ctx context.Context) error {
	relay := configuration.NewDutySelector(configuration.DutySelectorOptions{
		Self: n.settings.VM,
		Rand: rand.Uint64,
	})
	pace := platform.Backoff{
		Rand: rand.Uint64,
	}
	var after uint64
	for ctx.Err() == nil {
		now := n.now()
		duty := relay.Duty(n.dataCentreVMs(), now)
		if duty == configuration.DutyPull {
			n.sleepUntil(ctx, earliest(relay.Next(), now.Add(dutyCheckInterval)))
			continue
		}
		var changed bool
		var err error
		if duty == configuration.DutyProbe {
			_, changed, err = n.readDocuments(ctx, n.snapshot().Digest.Revision, now)
			relay.RecordProbe(changed, n.now())
		} else {
			after, changed, err = n.readDocuments(ctx, after, now.Add(watchTimeout))
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

// readDocuments long-polls for changes after a revision, and returns the revision to
// continue from.
func (n *Node) readDocuments(ctx context.Context, after uint64, until time.Time) (uint64, bool, error) {
	changes, err := n.platform.Watch(ctx, after, until)
	n.metrics.PlatformRead(err)
	if err != nil {
		return after, false, err
	}
	changed, err := n.offerDocuments(ctx, documentsOf(changes), nil, platformSource)
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

// watchList watches the platform's fleet list while this VM is a watcher.
func (n *Node) watchList(ctx context.Context) error {
	pace := platform.Backoff{
		Rand: rand.Uint64,
	}
	for ctx.Err() == nil {
		if !n.isWatcher() {
			n.sleepUntil(ctx, n.now().Add(dutyCheckInterval))
			continue
		}
		began := n.now()
		list, err := n.platform.WatchList(ctx, n.snapshot().Digest.ListRevision, began.Add(watchTimeout))
		n.metrics.PlatformRead(err)
		changed := false
		if err == nil && list != nil {
			changed, err = n.offerDocuments(ctx, nil, list, platformSource)
		}
		n.sleepUntil(ctx, pace.Next(err, changed, began, n.now()))
	}
	return nil
}

// isWatcher reports whether this VM watches the platform. A VM that is not listed does.
func (n *Node) isWatcher() bool {
	vms := n.dataCentreVMs()
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

// dataCentreVMs returns this VM and the reachable VMs of its data centre that are not
// leaving.
func (n *Node) dataCentreVMs() []fleet.VM {
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

// reachableVMs returns this VM and the reachable VMs of all regions.
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

// offerDocuments validates documents in the caller's goroutine, passes them to the
// control goroutine and returns whether anything changed.
func (n *Node) offerDocuments(ctx context.Context, docs []configuration.Document, list *fleet.List, source string) (bool, error) {
	if len(docs) == 0 && list == nil {
		return false, nil
	}
	validated := configuration.Validate(docs)
	return ask(ctx, n.control, func(reply chan<- bool) message {
		return documentsOffered{
			documents: validated,
			list:      list,
			source:    source,
			done:      reply,
		}
	})
}

// sleepUntil waits until a time or the end of ctx.
func (n *Node) sleepUntil(ctx context.Context, at time.Time) {
	worker.SleepUntil(ctx, n.now(), at)
}
