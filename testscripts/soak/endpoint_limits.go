package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"
)

const (
	// limitPropagationTime is how long after a replica announced a limit all VMs must enforce it.
	limitPropagationTime = 6 * time.Second
	// In any endpointLimitWindow a replica may get endpointLimitFactor times its limit plus
	// endpointLimitSlack requests.
	endpointLimitWindow = 4 * time.Second
	endpointLimitFactor = 1.5
	endpointLimitSlack  = 5
	// minLimitedServedShare is the least share of calls served while some replicas have
	// limits and no fault is active.
	minLimitedServedShare = 0.9
	// limitHoldTime is how long limits are held without other faults.
	limitHoldTime = limitPropagationTime + 8*time.Second
	// initialLimit and raisedLimit are limits in requests per second.
	initialLimit = 1.0
	raisedLimit  = 3.0
)

// limitInterval is an interval in which a replica announces a limit; a negative perSecond
// means no limit.
type limitInterval struct {
	interval
	perSecond float64
}

// recordProbe records a load or health probe of a replica.
func (l *ledger) recordProbe(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probes[id] = append(l.probes[id], time.Now())
}

// recordLimit records that a replica announces a limit from now on.
func (l *ledger) recordLimit(id string, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	spans := l.limits[id]
	if len(spans) > 0 {
		spans[len(spans)-1].to = time.Now()
	}
	l.limits[id] = append(spans, limitInterval{
		interval: interval{
			from: time.Now(),
		},
		perSecond: perSecond,
	})
}

// setLimit has a replica announce a limit; a negative value removes it.
func (tb *testbed) setLimit(r *trackedReplica, perSecond float64) {
	tb.logSchedule("%s names a limit of %g", r.ID, perSecond)
	tb.ledger.recordLimit(r.ID, perSecond)
	if perSecond < 0 {
		r.SetLimit("")
		return
	}
	r.SetLimit(strconv.FormatFloat(perSecond, 'g', -1, 64))
}

// terminate crashes a replica. Its next incarnation starts without a limit.
func (tb *testbed) terminate(r *trackedReplica) {
	r.Crash()
	tb.ledger.mu.Lock()
	spans := tb.ledger.limits[r.ID]
	tb.ledger.mu.Unlock()
	if len(spans) > 0 {
		tb.ledger.recordLimit(r.ID, -1)
	}
}

// runEndpointLimits has one engine of each region and the only plain replica of the last
// region announce limits, first without faults, then during random faults. At the end the
// engines' limits are raised and the plain replica's limit is removed.
func runEndpointLimits(ctx context.Context, tb *testbed, _ *loadGenerator) (out []Violation) {
	sleep(ctx, settleTime)
	engines, plain := tb.replicasToLimit()
	for _, r := range append(slices.Clone(engines), plain) {
		tb.setLimit(r, initialLimit)
	}
	limitedSince := time.Now()
	sleep(ctx, limitHoldTime)
	if share, _ := tb.ledger.served(limitedSince, time.Now().Add(-time.Second)); share < minLimitedServedShare {
		out = append(out, Violation{
			Check:  "endpoint_limit",
			Detail: fmt.Sprintf("%.2f of all calls were served while a part of the replicas named limits", share),
		})
	}
	tb.inject(ctx)
	engines, plain = tb.replicasToLimit()
	for _, r := range engines {
		tb.setLimit(r, raisedLimit)
	}
	tb.setLimit(plain, -1)
	sleep(ctx, limitHoldTime)
	return out
}

// replicasToLimit returns the first active engine of each region and the plain replica of
// the last region, which is no route's home region.
func (tb *testbed) replicasToLimit() (engines []*trackedReplica, plain *trackedReplica) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	seen := make(map[string]bool)
	for _, r := range tb.replicas {
		switch {
		case r.retired:
		case r.Service == servicePlain:
			plain = r
		case !seen[r.region]:
			seen[r.region] = true
			engines = append(engines, r)
		}
	}
	return engines, plain
}

// checkEndpointLimits checks that requests and probes from all VMs together stay within the
// limits that replicas announced.
func (l *ledger) checkEndpointLimits() (out []string) {
	for id, spans := range l.limits {
		times := slices.Clone(l.probes[id])
		for _, r := range l.runs {
			if r.Replica == id {
				times = append(times, r.At)
			}
		}
		for _, s := range spans {
			if s.perSecond < 0 {
				continue
			}
			bound := endpointLimitFactor*s.perSecond*endpointLimitWindow.Seconds() + endpointLimitSlack
			if most := maxInWindow(s.whileEnforced(times), endpointLimitWindow); float64(most) > bound {
				out = append(out, fmt.Sprintf("%s got %d requests in %v after it had named a limit of %g a second, %g at the most", id, most, endpointLimitWindow, s.perSecond, bound))
			}
		}
	}
	return out
}

// whileEnforced returns the times at which all VMs must enforce the limit.
func (s limitInterval) whileEnforced(times []time.Time) []time.Time {
	enforced := interval{
		from: s.from.Add(limitPropagationTime),
		to:   s.to,
	}
	return slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return !enforced.contains(at) })
}
