package site

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/platform"
)

const (
	// watchFor is how long one watch waits. A store that falls silent says
	// nothing, so this bounds how long its return goes unnoticed.
	watchFor = 2500 * time.Millisecond
	// watchPause gathers changes that come together into one reply.
	watchPause = 50 * time.Millisecond
	// Pauses after a failed read. The longest keeps within the time in which a
	// change must be in force after the store's return.
	leastPause = 200 * time.Millisecond
	mostPause  = time.Second
)

// read is what one read of the store brought.
type read struct {
	items    []discovery.Item
	revision uint64
	// whole says that items are all that there are.
	whole bool
	// completeAt is when, at the earliest, the store held nothing beyond them.
	completeAt time.Time
}

// readStore follows the store until ctx ends.
func (n *Node) readStore(ctx context.Context) error {
	pause := leastPause
	whole := true
	for ctx.Err() == nil {
		if !n.isReader() {
			worker.SleepUntil(ctx, n.now(), n.now().Add(n.dutyPause()))
			continue
		}
		got, err := n.readOnce(ctx, whole)
		n.metrics.PlatformRead(err)
		if errors.Is(err, platform.ErrHistoryLost) {
			n.log.Info("store_history_lost", "revision", n.control.picture().revision)
			whole = true
			continue
		}
		if err != nil {
			n.storeLost(ctx, err)
			worker.SleepUntil(ctx, n.now(), n.now().Add(pause))
			pause = min(2*pause, mostPause)
			continue
		}
		pause = leastPause
		whole = false
		n.current()
		n.takeRead(ctx, got)
		if len(got.items) > 0 {
			worker.SleepUntil(ctx, n.now(), n.now().Add(watchPause))
		}
	}
	return nil
}

func (n *Node) readOnce(ctx context.Context, whole bool) (read, error) {
	began := n.now()
	if whole {
		items, revision, err := n.store.All(ctx, platform.Everything)
		return read{
			items:      items,
			revision:   revision,
			whole:      true,
			completeAt: began,
		}, err
	}
	after := n.control.picture().revision
	until := began.Add(n.watchWithin())
	items, revision, err := n.store.Changes(ctx, platform.Everything, after, until)
	return read{
		items:      items,
		revision:   revision,
		completeAt: completeWatch(began, until, n.now(), len(items)),
	}, err
}

// completeWatch is as of when a watch that began, was to wait until a moment and came
// back tells that there were so many changes: one without any has waited.
func completeWatch(began, until, came time.Time, changes int) time.Time {
	if changes > 0 || came.Before(until) {
		return began
	}
	return until
}

// takeRead hands a read to the control goroutine and waits until it is taken.
func (n *Node) takeRead(ctx context.Context, got read) {
	// An error means that ctx ended.
	_, _ = ask(ctx, n.control, func(c *control, now time.Time) bool {
		defer n.completeAsOf(got.completeAt)
		if c.discovery.StoreBack(now) {
			n.log.Info("store_back", "revision", got.revision)
		}
		c.roster.SetTurnedAway(false)
		c.takeNew(ctx, c.merge(got), now)
		return true
	})
}

// readersPerRegion are the VMs of each region that follow the store; the others
// hear of changes from them. Two, so that one that is lost is not missed.
const readersPerRegion = 2

// isReader reports whether this VM follows the store itself: by rank among those
// of its region that the store does not turn away. A VM that knows nothing yet reads too.
func (n *Node) isReader() bool {
	pic := n.control.picture()
	if pic.table == nil {
		return n.readsFirst()
	}
	return pic.members.Reads(readersPerRegion)
}

const (
	// firstReadAfter is how long a VM that has just started and knows others waits to
	// hear from them what the store holds. All VMs of a fleet may start together, and the
	// whole content of the store for each of hundreds fills the links between regions.
	firstReadAfter = 600 * time.Millisecond
	// firstReadAlone is the same while it knows nobody: the seeds may start later than
	// it, and callers come as soon as it listens.
	firstReadAlone = 150 * time.Millisecond
)

// readsFirst reports whether a VM that knows nothing yet reads the store itself: the
// seeds, which all others ask, do at once.
func (n *Node) readsFirst() bool {
	if slices.Contains(n.deployment.Seeds, n.deployment.PeerAddr) {
		return true
	}
	wait := firstReadAfter
	if len(n.control.picture().members.Members) <= 1 {
		wait = firstReadAlone
	}
	return n.now().Sub(n.startedAt) >= wait && !n.puller.isPulling()
}

const (
	// dutyEvery is how often a VM that does not read looks whether it has to, and
	// firstDutyEvery the same while it knows nothing yet.
	dutyEvery      = 250 * time.Millisecond
	firstDutyEvery = 50 * time.Millisecond
)

func (n *Node) dutyPause() time.Duration {
	if n.control.picture().table == nil {
		return firstDutyEvery
	}
	return dutyEvery
}

func (c *control) merge(got read) []discovery.Item {
	if got.whole {
		return c.mirror.Replace(got.items, got.revision)
	}
	return c.mirror.Apply(got.items, got.revision)
}

func (n *Node) storeLost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	n.control.send(ctx, func(c *control, _ time.Time) {
		c.roster.SetTurnedAway(true)
		if c.discovery.StoreLost() {
			n.log.Warn("store_lost", "reason", err.Error(), "revision", c.mirror.Revision())
		}
	})
}
