package site

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/shutdown"
)

const (
	// acceptGrace is how long a stopping VM still accepts connections; it exceeds the time
	// for which callers cache its address.
	acceptGrace = 1200 * time.Millisecond
	// stopMargin is the time reserved at the end of the shutdown, after calls are cut off.
	stopMargin = 400 * time.Millisecond
	// cutoffGrace is the part of it for answers to the calls that are cut off, and how long before
	// them idle connections end, so that what has arrived there is read and answered.
	cutoffGrace = 100 * time.Millisecond
	// forwardedMargin is the time reserved after calls of other VMs that may run once are cut off.
	// Their answers are lost with the cut, so that it need not wait for anything but the last bytes
	// of those that have ended.
	forwardedMargin = 100 * time.Millisecond
	// cachedAddrTime is how long callers may keep using a cached address: three times its TTL.
	cachedAddrTime = 3 * maxEntriesTTL
	// signalDelay bounds the time from the signal to the start of the shutdown in a process that
	// its CPU quota throttles. A call that is sent once callers have gone must not be cut off.
	signalDelay = 250 * time.Millisecond
	// maxAnswerTime is longer than any stop.
	maxAnswerTime = time.Hour
	// stoppingRetryAfter is when callers may retry elsewhere.
	stoppingRetryAfter = 50 * time.Millisecond
	// defaultStopTimeout applies if the platform configures none.
	defaultStopTimeout = 8 * time.Second
)

// stopState is what a VM keeps for its planned stop.
type stopState struct {
	// planned is set once the VM stops, refusals counts the calls refused since.
	planned   atomic.Pointer[shutdown.Stop]
	refusals  atomic.Int64
	durations *shutdown.Durations
	// callsCtx is the parent of the contexts of all calls; cancelCalls ends those that are in
	// flight at the end of the stop.
	callsCtx    context.Context
	cancelCalls context.CancelCauseFunc
	// forwardedCtx and cancelForwarded are those of calls of other VMs that may run once, which end
	// last.
	forwardedCtx    context.Context
	cancelForwarded context.CancelCauseFunc
}

func newStopState() *stopState {
	s := &stopState{
		durations: shutdown.NewDurations(),
	}
	s.callsCtx, s.cancelCalls = context.WithCancelCause(context.Background())
	s.forwardedCtx, s.cancelForwarded = context.WithCancelCause(context.Background())
	return s
}

// contextOf returns the context whose end cuts off a forwarded call. One that may run again goes on
// at another VM, so that it is cut off while its sender has time for that.
func (s *stopState) contextOf(c *call.Call) context.Context {
	if c.Idempotent {
		return s.callsCtx
	}
	return s.forwardedCtx
}

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
	callersGoneAt := startedAt.Add(min(idleConnGrace, timeout/2))
	n.stopState.planned.Store(&shutdown.Stop{
		Cutoff:         deadline,
		DeadlineOnlyAt: startedAt.Add(min(cachedAddrTime, timeout/2) - signalDelay),
	})
	n.draining.Store(true)
	listener := n.callerListener.Load()
	listener.DeliverBy(time.Now().Add(deadline.Add(cutoffGrace).Sub(startedAt)))
	undeliveredBefore, unreadBefore := listener.Undelivered(), listener.Unread()
	n.log.Info("stopping", "in_flight", n.serving.InFlight())
	n.control.send(ctx, func(c *control, _ time.Time) {
		c.roster.Leave()
	})
	worker.SleepUntil(ctx, n.now(), n.now().Add(acceptGrace))
	n.drainConnections(ctx, callersGoneAt, deadline.Add(-cutoffGrace))
	n.await(ctx, n.allAnswered)
	cut := n.hasUnansweredCalls()
	if cut {
		n.cutOff()
	}
	n.awaitDelivery()
	n.endForwarded(startedAt.Add(timeout - forwardedMargin))
	// A call that another VM forwards from now on is refused.
	n.stopState.planned.Store(&shutdown.Stop{
		Cutoff: n.now(),
	})
	n.await(ctx, n.allAnswered)
	n.log.Info("stopped",
		"in_flight", n.serving.InFlight(),
		"cut", cut,
		"refused", n.stopState.refusals.Load(),
		"undelivered", listener.Undelivered()-undeliveredBefore,
		"unread", listener.Unread()-unreadBefore,
		"lines_dropped", n.linesDropped(),
	)
}

func (n *Node) linesDropped() int64 {
	if n.droppedLines == nil {
		return 0
	}
	return n.droppedLines()
}

// allAnswered reports whether no call is in flight, of callers or forwarded by other VMs, and
// all answers have been written.
func (n *Node) allAnswered() bool {
	return n.callerListener.Load().OpenConns() == 0 && n.serving.InFlight() == 0 && n.peerServer.InFlight() == 0
}

// hasUnansweredCalls reports whether a call has no whole answer yet, of callers or forwarded by
// other VMs, or a request is incomplete.
func (n *Node) hasUnansweredCalls() bool {
	return n.callerListener.Load().ActiveConns() > 0 || n.serving.InFlight() > 0 || n.peerServer.Running() > 0
}

// cutOff ends the remaining calls. Those without an answer so far get one that says whether
// they may have run, also if their bodies are incomplete.
func (n *Node) cutOff() {
	n.log.Warn("calls_cut_off", "in_flight", n.serving.InFlight(), "connections", n.callerListener.Load().OpenConns())
	n.stopState.cancelCalls(call.ErrStopping)
	n.callerListener.Load().AbortReads()
}

// awaitDelivery waits for the answers to calls that were cut off, and for those that callers have
// not acknowledged, until the listener closes their connections.
func (n *Node) awaitDelivery() {
	ctx, cancel := context.WithTimeout(context.Background(), cutoffGrace+2*drainPollInterval)
	defer cancel()
	n.await(ctx, n.allAnswered)
}

// endForwarded waits for the calls of other VMs that may run once, and cuts them off at a time.
func (n *Node) endForwarded(by time.Time) {
	ctx, cancel := clock.WithDeadline(context.Background(), n.now(), by)
	defer cancel()
	n.await(ctx, func() bool { return n.peerServer.InFlight() == 0 })
	n.stopState.cancelForwarded(call.ErrStopping)
	ctx, cancel = context.WithTimeout(context.Background(), forwardedMargin/2)
	defer cancel()
	n.await(ctx, func() bool { return n.peerServer.InFlight() == 0 })
}

// refuseIfStopping refuses a call that this VM is not expected to end before it stops.
func (n *Node) refuseIfStopping(c *call.Call) *result.Refusal {
	stop := n.stopState.planned.Load()
	if stop == nil {
		return nil
	}
	now := n.now()
	// The VM that forwards a call can place it elsewhere, which costs a round trip.
	mayBeCut := c.Idempotent && !c.Forwarded
	expected, known := n.expectedDuration(c, mayBeCut, now)
	if stop.Admits(shutdown.Call{
		Deadline:   c.Deadline,
		Expected:   expected,
		Known:      known,
		Repeatable: mayBeCut,
	}, now) {
		return nil
	}
	n.stopState.refusals.Add(1)
	return n.stoppingRefusal()
}

func (n *Node) stoppingRefusal() *result.Refusal {
	return result.Refuse(result.Stopping, "VM %s is stopping", n.deployment.VM).WithRetryAt(n.now().Add(stoppingRetryAfter))
}

// expectedDuration returns how long a call is expected to take: by the calls of its route that
// have ended here, and by the length of its answer where that can be estimated. mayBeCut is set if
// the call loses little when it is cut off.
func (n *Node) expectedDuration(c *call.Call, mayBeCut bool, now time.Time) (expected time.Duration, known bool) {
	past, known := n.stopState.durations.Expected(durationKey(c), mayBeCut)
	if c.MaxTokens == 0 {
		return past, known
	}
	load := n.localLoad(c, now)
	generation := load.TotalTimeP90 - load.TTFT
	if generation <= 0 {
		return past, known
	}
	longest := float64(c.MaxTokens) / load.AnswerTokensP90 * float64(generation)
	answer := shutdown.Answer{
		Likely: load.TotalTimeP90,
		// A call may state any number of tokens.
		Longest: load.TTFT + time.Duration(min(longest, float64(maxAnswerTime))),
	}
	return answer.Expected(past, known, mayBeCut), true
}

// recordDuration records how long a call took. One that ran into its deadline took at least
// that long; one whose caller left says nothing.
func (n *Node) recordDuration(ctx context.Context, c *call.Call, o call.Outcome, startedAt time.Time) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if o.Code.Class() == result.ClassDone || o.Code == result.EndpointTimeout {
		n.stopState.durations.Record(durationKey(c), n.now().Sub(startedAt))
	}
}

func durationKey(c *call.Call) string {
	if c.Routed.Route != "" {
		return c.Routed.Route
	}
	return c.Target()
}

// idleConnGrace is how long idle connections stay open after the start of a shutdown, as a
// request sent on a connection that is being closed is lost.
const idleConnGrace = cachedAddrTime + 400*time.Millisecond

// drainConnections stops accepting connections, serves the open ones, and ends them once
// callers no longer use them and no call is in flight, for which the process goes on anyway, at
// endBy at the latest.
func (n *Node) drainConnections(ctx context.Context, idleDeadline, endBy time.Time) {
	listener := n.callerListener.Load()
	if err := listener.Stop(); err != nil {
		n.log.Warn("listener_failed", "reason", err.Error())
	}
	n.await(ctx, func() bool {
		now := n.now()
		return listener.OpenConns() == 0 || !now.Before(endBy) || !now.Before(idleDeadline) && n.serving.InFlight() == 0
	})
	listener.EndIdle()
	n.await(ctx, func() bool { return listener.OpenConns() == 0 })
}

// await waits until a condition holds.
func (n *Node) await(ctx context.Context, done func() bool) {
	for !done() && ctx.Err() == nil {
		worker.SleepUntil(ctx, n.now(), n.now().Add(drainPollInterval))
	}
}

// drainPollInterval is the interval of checks for open connections and calls in flight.
const drainPollInterval = 20 * time.Millisecond
