package site

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/common/worker"
)

const (
	// acceptGrace is how long a stopping VM still accepts connections; it exceeds the time
	// for which callers cache its address.
	acceptGrace = 1200 * time.Millisecond
	// stopMargin is the time reserved at the end of the shutdown, after connections are cut.
	stopMargin = 400 * time.Millisecond
	// defaultStopTimeout applies if the platform configures none.
	defaultStopTimeout = 8 * time.Second
)

// stop shuts the process down gracefully: it announces the shutdown to peers and callers
// and waits for calls in flight.
func (n *Node) stop() {
	timeout := n.bounds.Load().StopTimeout
	if timeout <= 0 {
		timeout = defaultStopTimeout
	}
	startedAt := n.now()
	deadline := startedAt.Add(timeout - stopMargin)
	ctx, cancel := clock.WithDeadline(context.Background(), startedAt, deadline)
	defer cancel()
	n.draining.Store(true)
	n.log.Info("stopping", "in_flight", n.serving.InFlight())
	n.control.send(ctx, func(c *control, _ time.Time) {
		c.roster.Leave()
	})
	worker.SleepUntil(ctx, n.now(), n.now().Add(acceptGrace))
	n.drainConnections(ctx, startedAt.Add(min(idleConnGrace, timeout/2)))
	n.awaitInFlight(ctx)
	n.log.Info("stopped", "in_flight", n.serving.InFlight(), "cut", n.callerListener.Load().OpenConns() > 0)
}

// idleConnGrace is how long idle connections stay open after the start of a shutdown.
// Callers may keep using a cached address for three times its TTL, and a request sent on
// a connection that is being closed is lost.
const idleConnGrace = 3*maxEntriesTTL + 400*time.Millisecond

// drainConnections stops accepting connections, serves the open ones, and ends them once
// callers no longer use them and no call is in flight, for which the process goes on anyway.
func (n *Node) drainConnections(ctx context.Context, idleDeadline time.Time) {
	listener := n.callerListener.Load()
	if err := listener.Stop(); err != nil {
		n.log.Warn("listener_failed", "reason", err.Error())
	}
	n.await(ctx, func() bool {
		return listener.OpenConns() == 0 || !n.now().Before(idleDeadline) && n.serving.InFlight() == 0
	})
	listener.EndIdle()
	n.await(ctx, func() bool { return listener.OpenConns() == 0 })
}

// awaitInFlight waits for the remaining calls, including those forwarded by other VMs.
func (n *Node) awaitInFlight(ctx context.Context) {
	n.await(ctx, func() bool { return n.serving.InFlight() == 0 })
}

// await waits until a condition holds.
func (n *Node) await(ctx context.Context, done func() bool) {
	for !done() && ctx.Err() == nil {
		worker.SleepUntil(ctx, n.now(), n.now().Add(drainPollInterval))
	}
}

// drainPollInterval is the interval of checks for open connections and calls in flight.
const drainPollInterval = 20 * time.Millisecond
