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
	maxWatchTimeout = 2500 * time.Millisecond
	// watchPause gathers changes that come together into one reply.
	watchBatchDelay = 50 * time.Millisecond
	// Pauses after a failed read. The longest keeps within the time in which a
	// change must be in force after the store's return.
	minReadBackoff = 200 * time.Millisecond
	maxReadBackoff = time.Second
)

// read is what one read of the store brought.
type storeRead struct {
	items    []discovery.Item
	revision uint64
	// whole says that items are all that there are.
	full bool
	// completeAt is when, at the earliest, the store held nothing beyond them.
	freshAsOf time.Time
}

// readStore follows the store until ctx ends.
func (n *Node) followStore(ctx context.Context) error {
	backoff := minReadBackoff
	full := true
	for ctx.Err() == nil {
		if !n.isReader() {
			worker.SleepUntil(ctx, n.now(), n.now().Add(n.readerCheckDelay()))
			continue
		}
		read, err := n.readOnce(ctx, full)
		n.metrics.PlatformRead(err)
		if errors.Is(err, platform.ErrHistoryLost) {
			n.log.Info("store_history_lost", "revision", n.control.snapshot().revision)
			full = true
			continue
		}
		if err != nil {
			n.handleStoreError(ctx, err)
			worker.SleepUntil(ctx, n.now(), n.now().Add(backoff))
			backoff = min(2*backoff, maxReadBackoff)
			continue
		}
		backoff = minReadBackoff
		full = false
		n.markInSync()
		n.applyRead(ctx, read)
		if len(read.items) > 0 {
			worker.SleepUntil(ctx, n.now(), n.now().Add(watchBatchDelay))
		}
	}
	return nil
}

func (n *Node) readOnce(ctx context.Context, full bool) (storeRead, error) {
	startedAt := n.now()
	if full {
		items, revision, err := n.store.All(ctx, platform.Everything)
		return storeRead{
			items:     items,
			revision:  revision,
			full:      true,
			freshAsOf: startedAt,
		}, err
	}
	after := n.control.snapshot().revision
	deadline := startedAt.Add(n.watchTimeout())
	items, revision, err := n.store.Changes(ctx, platform.Everything, after, deadline)
	return storeRead{
		items:     items,
		revision:  revision,
		freshAsOf: watchFreshness(startedAt, deadline, n.now(), len(items)),
	}, err
}

// completeWatch is as of when a watch that began, was to wait until a moment and came
// back tells that there were so many changes: one without any has waited.
func watchFreshness(startedAt, deadline, returnedAt time.Time, changes int) time.Time {
	if changes > 0 || returnedAt.Before(deadline) {
		return startedAt
	}
	return deadline
}

// takeRead hands a read to the control goroutine and waits until it is taken.
func (n *Node) applyRead(ctx context.Context, read storeRead) {
	// An error means that ctx ended.
	_, _ = query(ctx, n.control, func(c *control, now time.Time) bool {
		defer n.advanceFreshness(read.freshAsOf)
		if c.discovery.StoreBack(now) {
			n.log.Info("store_back", "revision", read.revision)
		}
		c.roster.SetTurnedAway(false)
		c.applyAndSpread(ctx, c.mergeRead(read), now)
		return true
	})
}

// readersPerRegion are the VMs of each region that follow the store; the others
// hear of changes from them. Two, so that one that is lost is not missed.
const readersPerRegion = 2

// isReader reports whether this VM follows the store itself: by rank among those
// of its region that the store does not turn away. A VM that knows nothing yet reads too.
func (n *Node) isReader() bool {
	snap := n.control.snapshot()
	if snap.table == nil {
		return n.mayReadInitially()
	}
	return snap.members.Reads(readersPerRegion)
}

const (
	// firstReadAfter is how long a VM that has just started and knows others waits to
	// hear from them what the store holds. All VMs of a fleet may start together, and the
	// whole content of the store for each of hundreds fills the links between regions.
	initialReadDelay = 600 * time.Millisecond
	// firstReadAlone is the same while it knows nobody: the seeds may start later than
	// it, and callers come as soon as it listens.
	initialReadDelayAlone = 150 * time.Millisecond
)

// readsFirst reports whether a VM that knows nothing yet reads the store itself: the
// seeds, which all others ask, do at once.
func (n *Node) mayReadInitially() bool {
	if slices.Contains(n.deployment.Seeds, n.deployment.PeerAddr) {
		return true
	}
	wait := initialReadDelay
	if len(n.control.snapshot().members.Members) <= 1 {
		wait = initialReadDelayAlone
	}
	return n.now().Sub(n.startedAt) >= wait && !n.puller.isPulling()
}

const (
	// dutyEvery is how often a VM that does not read looks whether it has to, and
	// firstDutyEvery the same while it knows nothing yet.
	readerCheckInterval        = 250 * time.Millisecond
	initialReaderCheckInterval = 50 * time.Millisecond
)

func (n *Node) readerCheckDelay() time.Duration {
	if n.control.snapshot().table == nil {
		return initialReaderCheckInterval
	}
	return readerCheckInterval
}

func (c *control) mergeRead(read storeRead) []discovery.Item {
	if read.full {
		return c.mirror.Replace(read.items, read.revision)
	}
	return c.mirror.Apply(read.items, read.revision)
}

func (n *Node) handleStoreError(ctx context.Context, err error) {
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
