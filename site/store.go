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
	// maxWatchTimeout bounds one watch, and thereby how long the recovery of an unresponsive
	// store goes unnoticed.
	maxWatchTimeout = 2500 * time.Millisecond
	// Backoff after a failed read. The maximum is below the time allowed for a change to
	// take effect after the store recovers.
	minReadBackoff = 200 * time.Millisecond
	maxReadBackoff = time.Second
)

// storeRead is the result of one read of the store.
type storeRead struct {
	items    []discovery.Item
	position discovery.Position
	// full is set if items are the entire contents of the store, initial if they were read
	// because this VM held nothing.
	full    bool
	initial bool
	// freshAsOf is a time at which the store held nothing newer than position.
	freshAsOf time.Time
}

// followStore reads and watches the store until ctx ends.
func (n *Node) followStore(ctx context.Context) error {
	backoff := minReadBackoff
	needsFullRead := false
	var pacer discovery.WatchPacer
	for ctx.Err() == nil {
		if !n.isReader() {
			worker.SleepUntil(ctx, n.now(), n.now().Add(n.readerCheckDelay()))
			continue
		}
		read, err := n.readOnce(ctx, needsFullRead)
		n.metrics.PlatformRead(err)
		if errors.Is(err, platform.ErrHistoryLost) {
			held := n.control.snapshot().position
			n.log.Info("store_history_lost", "era", held.Era, "revision", held.Revision)
			needsFullRead = true
			continue
		}
		if err != nil {
			n.handleStoreError(ctx, err)
			worker.SleepUntil(ctx, n.now(), n.now().Add(backoff))
			backoff = min(2*backoff, maxReadBackoff)
			continue
		}
		needsFullRead = false
		if n.rejectOutdated(ctx, read) {
			worker.SleepUntil(ctx, n.now(), n.now().Add(backoff))
			backoff = min(2*backoff, maxReadBackoff)
			continue
		}
		backoff = minReadBackoff
		n.markInSync()
		n.applyRead(ctx, read)
		if len(read.items) > 0 {
			now := n.now()
			worker.SleepUntil(ctx, now, pacer.NextWatchAt(now))
		}
	}
	return nil
}

// errEarlierEra means that the store is in an era that it has left already, as other VMs
// know.
var errEarlierEra = errors.New("the store is in an earlier era")

// rejectOutdated reports whether a read is older than what this VM holds, which a peer may have
// read later, and must not be applied. A store of an earlier era counts as unreadable, so that
// another VM reads it.
func (n *Node) rejectOutdated(ctx context.Context, read storeRead) bool {
	held := n.control.snapshot().position
	if !read.full || !held.IsAfter(read.position) {
		return false
	}
	if read.position.Era < held.Era {
		n.handleStoreError(ctx, errEarlierEra)
	}
	n.log.Warn("store_read_ignored", "era", read.position.Era, "revision", read.position.Revision, "held_era", held.Era, "held", held.Revision)
	return true
}

// readOnce watches the store from the position that this VM holds, or reads it as a whole.
func (n *Node) readOnce(ctx context.Context, full bool) (storeRead, error) {
	startedAt := n.now()
	held := n.control.snapshot().position
	if full || held.IsZero() {
		items, position, err := n.store.All(ctx, platform.AllKeysPrefix, held)
		return storeRead{
			items:     items,
			position:  position,
			full:      true,
			initial:   !full,
			freshAsOf: startedAt,
		}, err
	}
	return n.readChanges(ctx, held, startedAt.Add(n.watchTimeout()))
}

// readChanges reads what has changed after a position, and waits for changes until a deadline.
func (n *Node) readChanges(ctx context.Context, held discovery.Position, deadline time.Time) (storeRead, error) {
	startedAt := n.now()
	items, position, err := n.store.Changes(ctx, platform.AllKeysPrefix, held, deadline)
	if err == nil && position.Era != held.Era {
		// The store came back from an older copy; its changes continue another history.
		return storeRead{}, platform.ErrHistoryLost
	}
	return storeRead{
		items:     items,
		position:  position,
		freshAsOf: watchFreshness(startedAt, deadline, n.now(), len(items)),
	}, err
}

// watchFreshness returns the time up to which a watch is known to have seen all changes:
// its deadline if it expired without changes, or else its start.
func watchFreshness(startedAt, deadline, returnedAt time.Time, changes int) time.Time {
	if changes > 0 || returnedAt.Before(deadline) {
		return startedAt
	}
	return deadline
}

// applyRead applies a read on the control goroutine and waits for completion.
func (n *Node) applyRead(ctx context.Context, read storeRead) {
	// The only error is the end of the context.
	_, _ = query(ctx, n.control, func(c *control, now time.Time) bool {
		if c.discovery.StoreRecovered(now) {
			n.log.Info("store_back", "era", read.position.Era, "revision", read.position.Revision)
		}
		c.roster.SetStoreUnreadable(false)
		if held := c.mirror.Position(); read.initial && !held.IsZero() && held.Era == read.position.Era {
			// A peer was faster. Peers behind a whole read need all contents anew, so it is
			// not applied without need; the next watch brings what is newer.
			return true
		}
		c.applyAndSpread(ctx, read, now)
		n.advanceFreshness(read.freshAsOf)
		return true
	})
}

// readersPerRegion is the number of VMs per region that read the store; the others
// receive changes from them. Two tolerate the loss of one.
const readersPerRegion = 2

// isReader reports whether this VM reads the store: the readers are the first by rank
// among the VMs of the region that can read it. A VM without a configuration reads as
// well.
func (n *Node) isReader() bool {
	snap := n.control.snapshot()
	if snap.table == nil {
		return n.mayReadInitially()
	}
	return snap.members.ReadsStore(readersPerRegion)
}

const (
	// initialReadDelay is how long a VM that has just started waits for the store contents
	// from its peers. Then the first readersPerRegion by rank read the store, after each
	// further delay as many more: the store must not be read by every VM of a fleet that
	// starts, and not be left unread if those VMs cannot reach it.
	initialReadDelay = 600 * time.Millisecond
	// initialReadDelayAlone applies while no peers are known: the seeds may start later, and
	// callers connect as soon as this VM listens.
	initialReadDelayAlone = 150 * time.Millisecond
)

// mayReadInitially reports whether a VM without a configuration reads the store. Seeds
// do so immediately, as all other VMs pull from them.
func (n *Node) mayReadInitially() bool {
	if slices.Contains(n.deployment.Seeds, n.deployment.PeerAddr) {
		return true
	}
	waited := n.now().Sub(n.startedAt)
	members := n.control.snapshot().members
	switch {
	case n.puller.isPulling():
		return false
	case len(members.Members) <= 1:
		return waited >= initialReadDelayAlone
	default:
		return members.ReadsStore(readersPerRegion * int(waited/initialReadDelay))
	}
}

const (
	// readerCheckInterval is how often a VM checks whether it has become a reader, and
	// initialReaderCheckInterval the same without a configuration.
	readerCheckInterval        = 250 * time.Millisecond
	initialReaderCheckInterval = 50 * time.Millisecond
)

func (n *Node) readerCheckDelay() time.Duration {
	if n.control.snapshot().table == nil {
		return initialReaderCheckInterval
	}
	return readerCheckInterval
}

// mergeRead merges a read into the mirror and returns what changed. restored is set if the
// read begins an era.
func (c *control) mergeRead(read storeRead) (items []discovery.Item, restored bool) {
	if read.full {
		return c.mirror.Replace(read.items, read.position)
	}
	return c.mirror.Apply(read.items, read.position), false
}

func (n *Node) handleStoreError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	n.control.send(ctx, func(c *control, _ time.Time) {
		c.roster.SetStoreUnreadable(true)
		if c.discovery.StoreLost() {
			n.log.Warn("store_lost", "reason", err.Error(), "era", c.mirror.Position().Era, "revision", c.mirror.Position().Revision)
		}
	})
}
