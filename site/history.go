package site

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/origin"
)

const (
	// historyTimeout bounds the reads of the store's history, some fifteen one after the other.
	historyTimeout = 5 * time.Second
	// historyRetryDelay is the pause after reads that failed.
	historyRetryDelay = time.Second
)

// storeHistory reads what the store's history tells of endpoints before this VM first read the
// store. It does so once, when it is first needed.
type storeHistory struct {
	node *Node

	mu sync.Mutex
	// start is the position of the first contents, revisions those of their items in order.
	start     discovery.Position
	startedAt time.Time
	revisions []uint64
	// reading is closed at the end of the read under way; nil if there is none.
	reading chan struct{}
	done    bool
	retryAt time.Time
}

// began records the first contents of the store.
func (e *evidence) began(read storeRead, now time.Time) {
	h := &e.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.start.IsZero() && !read.position.IsZero() {
		close(e.contentsKnown)
	}
	h.start = read.position
	h.startedAt = now
	h.revisions = make([]uint64, 0, len(read.items))
	for _, item := range read.items {
		h.revisions = append(h.revisions, item.Revision)
	}
	slices.Sort(h.revisions)
}

// read reads the history unless that was done, and waits for it until ctx ends.
func (h *storeHistory) read(ctx context.Context) {
	h.mu.Lock()
	if h.done || h.start.IsZero() || h.node.now().Before(h.retryAt) {
		h.mu.Unlock()
		return
	}
	if h.reading == nil {
		h.reading = make(chan struct{})
		go h.readOnce(context.WithoutCancel(ctx), h.reading)
	}
	reading := h.reading
	h.mu.Unlock()
	select {
	case <-reading:
	case <-ctx.Done():
	}
}

func (h *storeHistory) readOnce(ctx context.Context, reading chan struct{}) {
	timeoutCtx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	err := h.restore(timeoutCtx)
	if err != nil {
		h.node.log.Warn("store_history_unread", "reason", err.Error())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.done = err == nil
	h.retryAt = h.node.now().Add(historyRetryDelay)
	h.reading = nil
	close(reading)
}

// restore adds the history to what the VM knows of the versions of all services.
func (h *storeHistory) restore(ctx context.Context) error {
	n := h.node
	readAt := n.now()
	read, err := n.store.History(ctx, h.start)
	if err != nil {
		return err
	}
	bounds := n.bounds.Load()
	history := origin.History{
		Until:     h.startedAt,
		Whole:     h.isWhole(read.From),
		Heartbeat: bounds.Heartbeat,
		Drain:     bounds.DrainTime,
	}
	if read.Reached && bounds.HistoryRetention > 0 {
		history.Since = readAt.Add(-bounds.HistoryRetention)
	}
	for _, item := range read.Items {
		change, err := n.decoder.Decode(item)
		if change.Table != nil {
			history.Writes = append(history.Writes, origin.Write{
				Configuration: true,
				Timeout:       change.Table.StreamTimeout(),
			})
		}
		if change.Endpoint == nil {
			continue
		}
		e := change.Endpoint
		history.Writes = append(history.Writes, origin.Write{
			Endpoint:    e.ID,
			Removed:     item.Removed || err != nil,
			Service:     e.Service,
			Version:     e.SoftwareVersion,
			Incarnation: e.Incarnation,
			Seq:         e.Seq,
			Draining:    e.State == fleet.StateLeaving,
			Remaining:   e.Remaining,
			Other:       fmt.Sprint(e.Addr, e.DataCentre, e.Slots, e.ColdFor),
		})
	}
	services, err := query(ctx, n.control, func(c *control, _ time.Time) []string { return c.discovery.Services() })
	if err != nil {
		return err
	}
	for _, service := range services {
		n.streams.register.Restore(service, history.Past(service))
	}
	n.routePast.restore(history.ConfigurationSince(), history.Timeouts())
	n.log.Info("store_history_read", "revision", h.start.Revision, "from", read.From, "endpoint_changes", len(history.Writes), "whole", history.Whole)
	return nil
}

// isWhole reports whether no change is missing: none up to a revision but those of the items
// that the store held.
func (h *storeHistory) isWhole(from uint64) bool {
	held, found := slices.BinarySearch(h.revisions, from)
	if found {
		held++
	}
	return uint64(held) == from
}
