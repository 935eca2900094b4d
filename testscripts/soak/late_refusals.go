package main

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
)

const (
	// lateRefusalShare is the share of requests that replicas refuse twice, and
	// lateRefusalTime how long they do so without other faults.
	lateRefusalShare = 0.2
	lateRefusalTime  = 4 * time.Second
)

// runLateRefusals has replicas send refusals without ids once more as the next request of the
// connection arrives, and then injects random faults.
func runLateRefusals(ctx context.Context, tb *testbed, _ *loadGenerator) []Violation {
	sleep(ctx, settleTime)
	tb.logSchedule("replicas refuse twice for %v", lateRefusalTime)
	from := time.Now()
	tb.setOnlyFault(replica.FaultShedTwice)
	tb.setFaultRate(lateRefusalShare)
	sleep(ctx, lateRefusalTime)
	tb.setFaultRate(0)
	tb.setOnlyFault(replica.FaultNone)
	tb.ledger.recordDisturbance(from)
	tb.inject(ctx)
	return nil
}

// setOnlyFault sets the fault of all requests that fail; FaultNone means a random one.
func (tb *testbed) setOnlyFault(f replica.Fault) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.onlyFault = f
}
