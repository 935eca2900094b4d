package site

import (
	"context"
	"net"
	"net/http"
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
	err := n.callerServer.Shutdown(ctx)
	n.awaitInFlight(ctx)
	n.log.Info("stopped", "in_flight", n.serving.InFlight(), "cut", err != nil)
}

// idleConnGrace is how long idle connections stay open after the start of a shutdown.
// Callers may keep using a cached address for three times its TTL, and a request sent on
// a connection that is being closed is lost.
const idleConnGrace = 3*maxEntriesTTL + 400*time.Millisecond

// drainConnections stops accepting connections, serves the open ones, and closes them
// once callers no longer use them. A request that arrives after http.Server.Shutdown is
// dropped.
func (n *Node) drainConnections(ctx context.Context, idleDeadline time.Time) {
	if err := n.callerListener.Load().Stop(); err != nil {
		n.log.Warn("listener_failed", "reason", err.Error())
	}
	for n.openConns.Load() > 0 && ctx.Err() == nil && n.now().Before(idleDeadline) {
		worker.SleepUntil(ctx, n.now(), n.now().Add(drainPollInterval))
	}
	n.awaitSteady(ctx, idleDeadline.Add(steadyTimeout))
	n.callerServer.SetKeepAlivesEnabled(false)
}

const (
	// steadySteps is the number of consecutive steps of steadyStep without a delay that must
	// pass before idle connections are closed. A process throttled by a CPU quota can pause
	// for 100 ms and has then not read requests on connections that look idle.
	steadySteps = 5
	steadyStep  = 10 * time.Millisecond
	// steadySlack is the delay up to which a step counts as on time.
	steadySlack = 5 * time.Millisecond
	// steadyTimeout bounds the wait for a steady process.
	steadyTimeout = 500 * time.Millisecond
)

// awaitSteady waits until the process has run without pauses for steadySteps.
func (n *Node) awaitSteady(ctx context.Context, deadline time.Time) {
	for steps := 0; steps < steadySteps && ctx.Err() == nil && n.now().Before(deadline); {
		stepEnd := n.now().Add(steadyStep)
		worker.SleepUntil(ctx, n.now(), stepEnd)
		steps++
		if n.now().Sub(stepEnd) > steadySlack {
			steps = 0
		}
	}
}

// countConn tracks the number of open caller connections.
func (n *Node) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		n.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		n.openConns.Add(-1)
	}
}

// drainPollInterval is the interval of checks for open connections and calls in flight.
const drainPollInterval = 20 * time.Millisecond

// awaitInFlight waits for the remaining calls, including those forwarded by other VMs.
func (n *Node) awaitInFlight(ctx context.Context) {
	for n.serving.InFlight() > 0 && ctx.Err() == nil {
		worker.SleepUntil(ctx, n.now(), n.now().Add(drainPollInterval))
	}
}
