package site

import (
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/serving"
)

// budgetReportInterval is the shortest time between two lines about the retries of a service.
const budgetReportInterval = time.Second

// retryBudget limits this VM's retries to one service. It is safe for concurrent use.
type retryBudget struct {
	node    *Node
	service string
	window  *retry.Window
	// nextReportAt is when the next retry is reported, in nanoseconds of Unix time.
	nextReportAt atomic.Int64
}

func newRetryBudget(n *Node, service string) *retryBudget {
	bounds := n.bounds.Load()
	return &retryBudget{
		node:    n,
		service: service,
		window: retry.NewWindow(retry.WindowOptions{
			Ratio:  bounds.RetryRatio,
			Slack:  bounds.RetrySlack,
			Length: bounds.RetryWindow,
			VMs:    func() int { return n.control.snapshot().members.FleetSize },
			Now:    n.now,

			SlackFrom: n.startedAt.Add(bounds.RetryWindow),
		}),
	}
}

func (b *retryBudget) onRequest() {
	b.window.OnRequest()
	b.count(metrics.RetryBudgetRequest)
}

func (b *retryBudget) allow() bool {
	granted := b.window.Allow()
	event := metrics.RetryBudgetRefused
	if granted {
		event = metrics.RetryBudgetGranted
	}
	b.count(event)
	b.report(granted)
	return granted
}

func (b *retryBudget) giveBack(grantedAt time.Time) {
	b.window.Return(grantedAt)
	b.count(metrics.RetryBudgetReturned)
}

func (b *retryBudget) count(event metrics.RetryBudgetEvent) {
	b.node.metrics.CountRetryBudget(event, b.service)
}

// report logs what the budget consists of, at most once per interval.
func (b *retryBudget) report(granted bool) {
	now := b.node.now()
	next := b.nextReportAt.Load()
	if now.UnixNano() < next || !b.nextReportAt.CompareAndSwap(next, now.Add(budgetReportInterval).UnixNano()) {
		return
	}
	u := b.window.Usage()
	b.node.log.Info("retry_budget",
		"service", b.service,
		"granted", granted,
		"requests", u.Requests,
		"retries", u.Retries,
		"left", u.Left,
		"slack", u.Slack,
		"vms", u.VMs,
		"up_ms", now.Sub(b.node.startedAt).Milliseconds(),
	)
}

// budgetOf returns the retry budget of a service. A VM also has one for services without endpoints
// in its region, for the calls that it sends to others.
func (p *pools) budgetOf(service string) *retryBudget {
	p.budgetsMu.Lock()
	defer p.budgetsMu.Unlock()
	b, known := p.budgets[service]
	if !known {
		b = newRetryBudget(p.node, service)
		p.budgets[service] = b
	}
	return b
}

// retryBudget limits the retries to each service.
func (p *pools) retryBudget() serving.Budget {
	return serving.Budget{
		OnRequest: func(service string) { p.budgetOf(service).onRequest() },
		Allow:     func(service string) bool { return p.budgetOf(service).allow() },
		Return:    func(service string, grantedAt time.Time) { p.budgetOf(service).giveBack(grantedAt) },
		Covers:    func(service string, grantedAt time.Time) bool { return p.budgetOf(service).window.Covers(grantedAt) },
	}
}
