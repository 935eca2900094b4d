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
	newsWithin = 250 * time.Millisecond
	// newsEvery is how often it looks.
	newsEvery = 5 * time.Millisecond
)

// woke has the control goroutine see at once that the VM was suspended: its timers stood
// still meanwhile, and calls wait until it has news.
func (n *Node) woke(suspended time.Duration) {
	n.log.Warn("vm_suspended", "for_ms", suspended.Milliseconds())
	n.control.send(context.Background(), func(*control, time.Time) {})
}

// askAfterPause asks all endpoints of the region, once after each pause of the
// process, whether they are cold. Other VMs may have paused too, and the one that
// asks for all others may be gone.
func (c *control) askAfterPause(ctx context.Context, now time.Time) {
	waking := c.roster.Waking()
	if waking && !c.waking {
		go c.node.pools.askAll(ctx, now)
	}
	c.waking = waking
}

// askAll asks the endpoints that take work whether they are cold, and says that
// this is news.
func (p *pools) askAll(ctx context.Context, askedAt time.Time) {
	within, cancel := context.WithTimeout(ctx, newsWithin)
	defer cancel()
	var asked sync.WaitGroup
	for _, e := range p.table.Load().listed {
		asked.Go(func() { p.askCold(within, e) })
	}
	asked.Wait()
	p.node.control.send(ctx, func(c *control, _ time.Time) { c.roster.News(askedAt) })
}

// awaitNews waits until what this VM believes is not from before a pause of its
// process. Calls that came meanwhile would else all go to endpoints that may
// have become cold, which bear a few a second.
func (n *Node) awaitNews(ctx context.Context) *result.Refusal {
	by := n.now().Add(newsWithin)
	for now := n.now(); !n.control.picture().members.Current(now); now = n.now() {
		if ctx.Err() != nil || !now.Before(by) {
			return result.Refuse(result.NotReady, "VM %s has paused and has no news of the endpoints yet", n.deployment.VM).Until(now.Add(newsWithin))
		}
		worker.SleepUntil(ctx, now, now.Add(newsEvery))
	}
	return nil
}
