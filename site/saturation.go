package site

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/route"
	"github.com/fuchsianotch/fuchsianotch/saturation"
	"github.com/fuchsianotch/fuchsianotch/settings"
)

const (
	// workersPerProc is the number of calls that are parsed or placed at once for each
	// processor of the Go runtime. Others wait, so that goroutines of the control plane
	// find a short run queue.
	workersPerProc = 2
	// idleTime is how long without a call the delay is still measured.
	idleTime = time.Second
)

// saturationGate measures the scheduling delay of this VM, refuses calls on account of it
// and bounds the number of calls that are parsed or placed at once.
type saturationGate struct {
	node *Node
	// enabled is unset where the settings file names no CPU share: the VM may then share
	// its processors with others, and be late without load.
	enabled bool
	// workers holds one element for each call that is parsed or placed.
	workers chan struct{}
	// arrivals counts calls. parked is set while the timer is stopped for lack of them, and
	// wake restarts it.
	arrivals atomic.Uint64
	parked   atomic.Bool
	wake     chan struct{}

	mu         sync.Mutex
	controller saturation.Controller
	before     saturation.Status
	// refused counts the calls refused since the VM became saturated.
	refused    int
	refusalLog refusalLog
}

func newSaturationGate(n *Node) *saturationGate {
	return &saturationGate{
		node:    n,
		enabled: n.deployment.Cores > 0 && n.settings.Enabled(settings.VMRefusal),
		workers: make(chan struct{}, workersPerProc*runtime.GOMAXPROCS(0)),
		wake:    make(chan struct{}, 1),
	}
}

// shed refuses a fraction of calls while this VM is saturated. waited is how long the caller
// has waited before.
func (g *saturationGate) shed(a route.Admission, waited time.Duration) *result.Refusal {
	if !g.enabled {
		return nil
	}
	g.noteArrival()
	now := g.node.now()
	standing := int(a.Table.Standing(a.Rank))
	// An objective that has passed counts as none.
	arrival := saturation.Arrival{
		Standing:  standing,
		Objective: a.Route.Objective - waited,
		Draw:      rand.Float64(),
		RetryDraw: rand.Float64(),
	}
	g.mu.Lock()
	decision := g.controller.Decide(arrival, now)
	if decision.Refuse {
		g.refused++
	}
	g.mu.Unlock()
	if !decision.Refuse {
		return nil
	}
	g.node.metrics.CountVMRefusal(standing)
	return &result.Refusal{
		Code:    result.VMSaturated,
		Message: "the VM is short of CPU",
		RetryAt: decision.RetryAt,
	}
}

// noteArrival restarts the timer if it was stopped.
func (g *saturationGate) noteArrival() {
	g.arrivals.Add(1)
	if g.parked.Load() {
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
}

// acquire waits until this VM may parse or place a call. Waiting counts as delay.
func (g *saturationGate) acquire() {
	if !g.enabled {
		return
	}
	select {
	case g.workers <- struct{}{}:
		return
	default:
	}
	dueAt := g.node.now()
	g.workers <- struct{}{}
	now := g.node.now()
	g.observe(now.Sub(dueAt), now)
}

func (g *saturationGate) release() {
	if g.enabled {
		<-g.workers
	}
}

// run measures how late a timer fires and its goroutine runs. It stops while no calls
// arrive, since each wake-up costs CPU.
func (g *saturationGate) run(ctx context.Context) error {
	if !g.enabled {
		<-ctx.Done()
		return nil
	}
	interval := saturation.CalmInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	lastArrivals, arrivedAt := g.arrivals.Load(), g.node.now()
	for {
		dueAt := g.node.now().Add(interval)
		timer.Reset(interval)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		// A goroutine woken by a timer runs before those that wait already. Gosched puts it
		// behind them, so that the delay is that of a call.
		runtime.Gosched()
		now := g.node.now()
		g.observe(now.Sub(dueAt), now)
		if arrivals := g.arrivals.Load(); arrivals != lastArrivals {
			lastArrivals, arrivedAt = arrivals, now
		}
		var idle bool
		if interval, idle = g.next(); idle && now.Sub(arrivedAt) >= idleTime {
			if !g.park(ctx, lastArrivals) {
				return nil
			}
		}
	}
}

// park waits for a call that arrives after the given number of calls. It returns false if
// ctx ends first.
func (g *saturationGate) park(ctx context.Context, arrivals uint64) bool {
	g.parked.Store(true)
	defer g.parked.Store(false)
	if g.arrivals.Load() != arrivals {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-g.wake:
		return true
	}
}

// observe adds a delay and logs a change of state.
func (g *saturationGate) observe(delay time.Duration, now time.Time) {
	if !g.enabled {
		return
	}
	g.mu.Lock()
	before := g.before
	g.controller.Observe(delay, now)
	after := g.controller.Status()
	counts := g.takeCounts(after)
	g.mu.Unlock()
	g.logChange(before, after, counts)
	if before.Announced != after.Announced {
		g.announce(after.Announced)
	}
}

// overloadCounts are counts of calls from one overload.
type overloadCounts struct {
	refused  int
	unlogged int
}

// takeCounts records a status and returns the counts, which begin anew after an overload.
func (g *saturationGate) takeCounts(after saturation.Status) overloadCounts {
	counts := overloadCounts{
		refused:  g.refused,
		unlogged: g.refusalLog.omitted,
	}
	if g.before.Saturated && !after.Saturated {
		g.refused = 0
		g.refusalLog = refusalLog{}
	}
	g.before = after
	return counts
}

func (g *saturationGate) logChange(before, after saturation.Status, counts overloadCounts) {
	if before.Saturated == after.Saturated {
		return
	}
	if after.Saturated {
		g.node.log.Warn("vm_saturated",
			slog.Int64("delay_ms", after.Mean.Milliseconds()),
			slog.Int64("max_delay_ms", after.Max.Milliseconds()),
			slog.Float64("refused_ratio", after.Fraction),
		)
		return
	}
	g.node.log.Info("vm_recovered",
		slog.Int64("delay_ms", after.Mean.Milliseconds()),
		slog.Int64("max_delay_ms", after.Max.Milliseconds()),
		slog.Int("refused", counts.refused),
		slog.Int("unlogged", counts.unlogged),
	)
}

// refusalLog limits the refused calls whose lines are written while the VM is saturated.
type refusalLog struct {
	logged    int
	periodEnd time.Time
	omitted   int
}

// maxLoggedRefusals is how many refused calls per second have their lines written by a
// saturated VM. The lines of a call cost a fifth of its refusal by placement.
const maxLoggedRefusals = 5

func (l *refusalLog) allow(now time.Time) bool {
	if !now.Before(l.periodEnd) {
		l.periodEnd = now.Add(time.Second)
		l.logged = 0
	}
	if l.logged >= maxLoggedRefusals {
		l.omitted++
		return false
	}
	l.logged++
	return true
}

// mayLogRefusal reports whether the lines of a refused call are written.
func (g *saturationGate) mayLogRefusal() bool {
	if !g.enabled {
		return true
	}
	now := g.node.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.before.Saturated || g.refusalLog.allow(now)
}

// next returns the time to the next measurement, and whether none is needed without calls.
func (g *saturationGate) next() (interval time.Duration, idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.NextInterval(), g.controller.Idle()
}

// reset discards what was measured, after a suspension of the VM.
func (g *saturationGate) reset() {
	g.mu.Lock()
	before := g.before
	g.controller.Reset()
	after := g.controller.Status()
	counts := g.takeCounts(after)
	g.mu.Unlock()
	g.logChange(before, after, counts)
	if before.Announced {
		g.announce(false)
	}
}

func (g *saturationGate) updateGauges() {
	g.mu.Lock()
	status := g.controller.Status()
	g.mu.Unlock()
	g.node.metrics.SetVMDelay(status.Mean, status.Max)
}
