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
	// tellFor is how long a stopping VM still takes new connections: callers use
	// an answer to where to connect for that long.
	acceptGrace = 1200 * time.Millisecond
	// stopMargin is what is left of the time to stop when connections are cut.
	stopMargin = 400 * time.Millisecond
	// defaultStopWithin stands in where the platform names no time.
	defaultStopTimeout = 8 * time.Second
)

// stop ends the process gracefully: it tells peers and callers to go
// elsewhere, and lets the calls in flight end.
func (n *Node) stop() {
	timeout := n.bounds.Load().StopWithin
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

// idleFor is how long after the beginning of a planned stop idle connections stay
// open. Callers use an answer to where to connect up to three times as long as
// it says, and send on connections that they have. A connection that is closed
// while a request is under way on it loses that: one request in 80 days was cut
// when idle ones were closed after 1.2 s and 50 ms without a pause.
const idleConnGrace = 3*maxEntriesTTL + 400*time.Millisecond

// endConnections takes no more connections, answers what comes on the others,
// and closes them when callers use none any more: a server that is shut down
// drops a request that it reads after that.
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
	// steadySteps is for how many steps of steadyStep each the process must run
	// without a pause before it closes idle connections. One whose processor time is a
	// quota may stand still for a tenth of a second; what came meanwhile on connections
	// that look idle is read only after that, and would be lost with them: requests
	// ended without an answer in 2 of 24 plays of such a day, with three steps in 1 of 32.
	steadySteps = 5
	steadyStep  = 10 * time.Millisecond
	// steadySlack is how late a step may end in a process that runs.
	steadySlack = 5 * time.Millisecond
	// steadyWithin bounds the wait for that.
	steadyTimeout = 500 * time.Millisecond
)

// awaitSteady waits until the process has run without a pause for a while.
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

// countConn counts the open connections of callers.
func (n *Node) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		n.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		n.openConns.Add(-1)
	}
}

// idleEvery is how often a stopping VM looks whether its calls have ended.
const drainPollInterval = 20 * time.Millisecond

// awaitIdle waits for the calls that other VMs sent.
func (n *Node) awaitInFlight(ctx context.Context) {
	for n.serving.InFlight() > 0 && ctx.Err() == nil {
		worker.SleepUntil(ctx, n.now(), n.now().Add(drainPollInterval))
	}
}
