package site

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
)

const (
	// tellFor is how long a stopping VM still takes new connections: callers use
	// an answer to where to connect for that long.
	tellFor = 1200 * time.Millisecond
	// stopMargin is what is left of the time to stop when connections are cut.
	stopMargin = 400 * time.Millisecond
	// defaultStopWithin stands in where the platform names no time.
	defaultStopWithin = 8 * time.Second
)

// stop ends the process gracefully: it tells peers and callers to go
// elsewhere, and lets the calls in flight end.
func (n *Node) stop() {
	within := n.bounds.Load().StopWithin
	if within <= 0 {
		within = defaultStopWithin
	}
	deadline := n.now().Add(within - stopMargin)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.leaving.Store(true)
	n.log.Info("stopping", "in_flight", n.serving.InFlight())
	n.control.send(ctx, func(c *control, _ time.Time) {
		c.roster.Leave()
	})
	worker.SleepUntil(ctx, n.now(), n.now().Add(tellFor))
	// Connections that become idle are closed from here on.
	err := n.callers.Shutdown(ctx)
	n.awaitIdle(ctx)
	n.log.Info("stopped", "in_flight", n.serving.InFlight(), "cut", err != nil)
}

// idleEvery is how often a stopping VM looks whether its calls have ended.
const idleEvery = 20 * time.Millisecond

// awaitIdle waits for the calls that other VMs sent.
func (n *Node) awaitIdle(ctx context.Context) {
	for n.serving.InFlight() > 0 && ctx.Err() == nil {
		worker.SleepUntil(ctx, n.now(), n.now().Add(idleEvery))
	}
}
