package site

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/worker"
	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// newsWithin is how long a call waits after a pause of the process for news of
	// the endpoints, which answer in some milliseconds unless they are full.
	resumeTimeout = 250 * time.Millisecond
	// newsEvery is how often it looks.
	resumePollInterval = 5 * time.Millisecond
)

// woke has the control goroutine see at once that the VM was suspended: its timers stood
// still meanwhile, and calls wait until it has news.
func (n *Node) onResume(suspended time.Duration) {
	n.log.Warn("vm_suspended", "for_ms", suspended.Milliseconds())
	n.control.send(context.Background(), func(*control, time.Time) {})
}

// askAfterPause asks all endpoints of the region, once after each pause of the
// process, whether they are cold. Other VMs may have paused too, and the one that
// asks for all others may be gone.
func (c *control) probeAfterPause(ctx context.Context, now time.Time) {
	resuming := c.roster.Waking()
	if resuming && !c.resuming {
		go c.node.pools.probeAllCold(ctx, now)
	}
	c.resuming = resuming
}

// askAll asks the endpoints that take work whether they are cold, and says that
// this is news.
func (p *pools) probeAllCold(ctx context.Context, startedAt time.Time) {
	timeoutCtx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	var probes sync.WaitGroup
	for _, e := range p.table.Load().available {
		probes.Go(func() { p.probeCold(timeoutCtx, e) })
	}
	probes.Wait()
	p.node.control.send(ctx, func(c *control, _ time.Time) { c.roster.News(startedAt) })
}

// awaitNews waits until what this VM believes is not from before a pause of its
// process. Calls that came meanwhile would else all go to endpoints that may
// have become cold, which bear a few a second.
func (n *Node) awaitFreshState(ctx context.Context) *result.Refusal {
	deadline := n.now().Add(resumeTimeout)
	for now := n.now(); !n.control.snapshot().members.Current(now); now = n.now() {
		if ctx.Err() != nil || !now.Before(deadline) {
			return result.Refuse(result.NotReady, "VM %s has paused and has no news of the endpoints yet", n.deployment.VM).Until(now.Add(resumeTimeout))
		}
		worker.SleepUntil(ctx, now, now.Add(resumePollInterval))
	}
	return nil
}
