package main

import (
	"context"
	"time"
)

const (
	// burstErrorRate is the share of requests that replicas answer with errors in a burst.
	burstErrorRate = 0.75
	burstTime      = 2 * time.Second
	// secondBurstAfter is the time between the beginnings of the two bursts, which lie within
	// one retry window.
	secondBurstAfter = 7900 * time.Millisecond
)

// runRetryBursts has all replicas fail in two bursts, with all VMs killed between, and then
// injects random faults.
func runRetryBursts(ctx context.Context, tb *testbed, _ *loadGenerator) []Violation {
	sleep(ctx, retryWindow+settleTime)
	from := time.Now()
	tb.failInBurst(ctx)
	tb.restartAllVMs(ctx)
	sleep(ctx, time.Until(from.Add(secondBurstAfter)))
	tb.failInBurst(ctx)
	tb.ledger.recordDisturbance(from)
	tb.inject(ctx)
	return nil
}

// failInBurst has all replicas answer most requests with errors for burstTime.
func (tb *testbed) failInBurst(ctx context.Context) {
	tb.logSchedule("all replicas fail for %v", burstTime)
	tb.setErrorRate(burstErrorRate)
	sleep(ctx, burstTime)
	tb.setErrorRate(0)
}

func (tb *testbed) setErrorRate(share float64) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.errorRate = share
}
