package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
	"github.com/fuchsianotch/fuchsianotch/standin/store"
)

const (
	// drainTime is how long after a VM passed on an answer that says that a replica leaves
	// it may still send requests there.
	drainTime = 4 * time.Second
	// A replica that refused a VM and named a rest may get maxRestRequests from it after
	// restNoticeTime.
	restNoticeTime  = 500 * time.Millisecond
	maxRestRequests = 2
	// noticeHoldTime is how long replicas leave or refuse without other faults, restTime the
	// rest that refusals name.
	noticeHoldTime = 10 * time.Second
	restTime       = 3 * time.Second
	// minNoticedServedShare is the least share of calls served meanwhile.
	minNoticedServedShare = 0.9
)

// runEndpointNotices has one engine of each region leave and another one refuse with a rest
// while the store is silent, without other faults, and then injects random faults.
func runEndpointNotices(ctx context.Context, tb *testbed, _ *loadGenerator) (out []Violation) {
	sleep(ctx, settleTime)
	from := time.Now()
	tb.store.SetMode(store.ModeSilent, 0)
	leaving, resting := tb.replicasWithNotices()
	for _, r := range leaving {
		tb.logSchedule("%s leaves", r.ID)
		r.SetLeaving()
	}
	for _, r := range resting {
		tb.logSchedule("%s refuses and names a rest of %v", r.ID, restTime)
		r.SetRefusing(restTime)
	}
	sleep(ctx, noticeHoldTime)
	if share, _ := tb.ledger.served(from, time.Now().Add(-time.Second)); share < minNoticedServedShare {
		out = append(out, Violation{
			Check:  "endpoint_notice",
			Detail: fmt.Sprintf("%.2f of all calls were served while a part of the replicas left or refused", share),
		})
	}
	for _, r := range resting {
		r.SetRefusing(0)
	}
	tb.store.SetMode(store.ModeServing, 0)
	tb.ledger.recordDisturbance(from)
	for _, r := range leaving {
		tb.publishLeaving(r)
	}
	sleep(ctx, settleTime)
	tb.inject(ctx)
	return out
}

// replicasWithNotices returns the first active engine of each region, which is retired from
// then on, and the second one.
func (tb *testbed) replicasWithNotices() (leaving, resting []*trackedReplica) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	seen := make(map[string]int)
	for _, r := range tb.replicas {
		if r.retired || r.Service != serviceEngine {
			continue
		}
		seen[r.region]++
		switch seen[r.region] {
		case 1:
			r.retired = true
			leaving = append(leaving, r)
		case 2:
			resting = append(resting, r)
		}
	}
	return leaving, resting
}

// publishLeaving has a leaving replica write its entry, and replaces it.
func (tb *testbed) publishLeaving(r *trackedReplica) {
	if _, err := tb.store.Put("servers/"+r.ID, r.NextEntry("draining", 0)); err != nil {
		tb.logSchedule("%s: %v", r.ID, err)
	}
	tb.ledger.recordDraining(r.ID)
	if err := tb.addReplica(r.Service, r.region, warmUpTime); err != nil {
		tb.logSchedule("replacing %s: %v", r.ID, err)
	}
}

// recordVMDisturbance records that a VM was restarted or frozen until now, which excuses it
// from notices that it got before.
func (l *ledger) recordVMDisturbance(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.vmDisturbedAt[vm] = append(l.vmDisturbedAt[vm], now)
	for i := range l.vmDown[vm] {
		if l.vmDown[vm][i].to.IsZero() {
			l.vmDown[vm][i].to = now
		}
	}
}

// isVMUndisturbed reports whether a VM was not disturbed between two times.
func (l *ledger) isVMUndisturbed(vm string, from, to time.Time) bool {
	return !slices.ContainsFunc(l.vmDisturbedAt[vm], func(at time.Time) bool { return at.After(from) && at.Before(to.Add(settleTime)) })
}

// attemptsByID returns the attempts by their IDs.
func (l *ledger) attemptsByID() map[string]attempt {
	out := make(map[string]attempt, len(l.attempts))
	for _, a := range l.attempts {
		out[a.id] = a
	}
	return out
}

// isSenderOf reports whether the VM that took the attempt sent the run's request: VMs forward
// to other regions only, and send requests within their own only.
func (a attempt) isSenderOf(r replica.Run) bool {
	region, _, _ := strings.Cut(a.vm, "-")
	return zoneOf(region) == r.Zone
}

// checkLeavingNotices checks that a VM sends nothing to a replica that told it that it
// leaves, after drainTime.
func (l *ledger) checkLeavingNotices() (out []string) {
	type told struct{ vm, replica string }
	toldAt := make(map[told]time.Time)
	for _, a := range l.attempts {
		key := told{vm: a.vm, replica: a.leavingReplica}
		if at, ok := toldAt[key]; a.leavingReplica != "" && (!ok || a.headAt.Before(at)) {
			toldAt[key] = a.headAt
		}
	}
	attempts := l.attemptsByID()
	for _, r := range l.runs {
		a, ok := attempts[r.Attempt]
		at, wasTold := toldAt[told{vm: a.vm, replica: r.Replica}]
		if ok && wasTold && a.isSenderOf(r) && a.sentAt.Sub(at) > drainTime && l.isVMUndisturbed(a.vm, at, r.At) {
			out = append(out, fmt.Sprintf("%s reached %s from %s, sent %v after an answer had told %s that it leaves", r.Attempt, r.Replica, a.vm, a.sentAt.Sub(at), a.vm))
		}
	}
	return out
}

// checkRests checks that a VM leaves a replica alone that refused it and named a rest.
func (l *ledger) checkRests() (out []string) {
	attempts := l.attemptsByID()
	for _, refusal := range l.runs {
		refused, ok := attempts[refusal.Attempt]
		if refusal.RestFor == 0 || !ok || !refused.isSenderOf(refusal) {
			continue
		}
		rest := interval{
			from: refusal.At.Add(restNoticeTime),
			to:   refusal.At.Add(refusal.RestFor),
		}
		arrivals := 0
		for _, r := range l.runs {
			a, known := attempts[r.Attempt]
			if known && r.Replica == refusal.Replica && a.vm == refused.vm && a.isSenderOf(r) && rest.contains(r.At) && l.isVMUndisturbed(a.vm, refusal.At, r.At) {
				arrivals++
			}
		}
		if arrivals > maxRestRequests {
			out = append(out, fmt.Sprintf("%s asked %s for %v of rest and got %d requests from it", refusal.Replica, refused.vm, refusal.RestFor, arrivals))
		}
	}
	return out
}
