package site

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// resumeTimeout bounds the wait of a call for fresh state after a process pause. The store
	// and endpoints answer within milliseconds unless they are full.
	resumeTimeout      = 250 * time.Millisecond
	resumePollInterval = 5 * time.Millisecond
	// maxResumeProbes bounds the endpoints of a service that are probed after a pause. The
	// others get no calls for resumeHoldTime, in which polls and gossip catch up.
	maxResumeProbes = 64
	resumeHoldTime  = 3 * gossipInterval
)

// onResume wakes the control goroutine after the VM was suspended. Timers do not advance
// during suspension, and calls wait for fresh state.
func (n *Node) onResume(suspended time.Duration) {
	n.log.Warn("vm_suspended", "for_ms", suspended.Milliseconds())
	n.saturation.reset()
	n.control.send(context.Background(), func(*control, time.Time) {})
}

// refreshAfterPause probes endpoints of the region and reads the store once after each process
// pause. Other VMs may have been paused too, pollers and readers included.
func (c *control) refreshAfterPause(ctx context.Context, now time.Time) {
	resuming := c.roster.Resuming()
	if resuming && !c.resuming {
		c.node.resumedAt.Store(now.UnixNano())
		go c.node.refresh(ctx, now)
		c.node.streams.register.Restart(now)
	}
	c.resuming = resuming
}

// refresh brings the state up to date that dates from before a pause, and marks it as fresh.
func (n *Node) refresh(ctx context.Context, startedAt time.Time) {
	timeoutCtx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { n.pools.probeAllCold(timeoutCtx, startedAt) })
	group.Go(func() { n.readAfterPause(timeoutCtx) })
	group.Wait()
	n.control.send(ctx, func(c *control, _ time.Time) { c.roster.RecordProbe(startedAt) })
}

// probeAllCold probes the available endpoints. Of a large service it probes some and holds back the
// others, as probing thousands would pause the VM again.
func (p *pools) probeAllCold(ctx context.Context, startedAt time.Time) {
	probed, held := splitResumeProbes(p.warmEndpoints())
	for _, e := range held {
		if pool := p.all()[e.Service]; pool != nil {
			pool.Endpoints.PauseUntil(e.ID, startedAt.Add(resumeHoldTime))
		}
	}
	var probes sync.WaitGroup
	for _, e := range probed {
		probes.Go(func() { _ = p.probeCold(ctx, e) })
	}
	probes.Wait()
}

// readAfterPause reads what has changed in the store, also on a VM that usually gets it from others.
// Without a reply the regular reads, or other VMs, bring it later.
func (n *Node) readAfterPause(ctx context.Context) {
	held := n.control.snapshot().position
	if held.IsZero() {
		return
	}
	read, err := n.readChanges(ctx, held, n.now())
	n.metrics.PlatformRead(err)
	if err != nil {
		n.log.Info("store_not_read", "reason", err.Error())
		return
	}
	n.applyRead(ctx, read)
}

// isConfigurationFresh reports whether this VM's configuration was confirmed after the last pause.
func (n *Node) isConfigurationFresh() bool {
	return n.freshAsOf.Load() >= n.resumedAt.Load()
}

// splitResumeProbes selects the endpoints to probe after a pause, maxResumeProbes random
// ones of each service, and those to hold back.
func splitResumeProbes(endpoints []fleet.Endpoint) (probed, held []fleet.Endpoint) {
	count := make(map[string]int)
	for _, i := range rand.Perm(len(endpoints)) {
		e := endpoints[i]
		if count[e.Service]++; count[e.Service] <= maxResumeProbes {
			probed = append(probed, e)
		} else {
			held = append(held, e)
		}
	}
	return probed, held
}

// warmEndpoints returns the endpoints of the region that the pools use.
func (p *pools) warmEndpoints() []fleet.Endpoint {
	snap := p.node.control.snapshot()
	counts := p.index.serviceCounts()
	return p.index.localEndpoints(func(e discovery.AvailableEndpoint) bool {
		_, configured := snap.service(e.Service)
		usable := e.UnreachableUntil.IsZero() || counts[e.Service].mostlyUnreachable()
		return configured && e.ColdUntil.IsZero() && usable
	})
}

// awaitFreshState blocks until the state is newer than the last process pause. Otherwise all calls
// that queued up during the pause could go to endpoints that have become cold, by a configuration
// that is no longer in force.
func (n *Node) awaitFreshState(ctx context.Context) *result.Refusal {
	deadline := n.now().Add(resumeTimeout)
	for now := n.now(); !n.control.snapshot().members.Fresh(now); now = n.now() {
		if ctx.Err() != nil || !now.Before(deadline) {
			return result.Refuse(result.NotReady, "VM %s has paused and has no news of the endpoints yet", n.deployment.VM).WithRetryAt(now.Add(resumeTimeout))
		}
		worker.SleepUntil(ctx, now, now.Add(resumePollInterval))
	}
	return nil
}
