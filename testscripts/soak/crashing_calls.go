package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
)

const (
	// crashPathMarker marks the paths of calls that crash the replicas running them.
	crashPathMarker = "/crash-"
	// minCrashInterval and maxCrashInterval bound the delay between two tries of such a call.
	minCrashInterval = 50 * time.Millisecond
	maxCrashInterval = 500 * time.Millisecond
	// quarantineCrashes is the number of crashed replicas after which a call must be
	// quarantined on all VMs within propagationTime.
	// maxTriesAfterQuarantine is how many tries may still reach replicas after that.
	quarantineCrashes       = 3
	maxTriesAfterQuarantine = 3
	// quarantineAnswerTimeout bounds the latency of the response to a quarantined call.
	quarantineAnswerTimeout = time.Second
	// othersRecoveryTime is how long other calls may be affected: until the quarantine has
	// propagated and the replacement replicas are warm.
	// minOthersServedShare is the least share of other calls served after that.
	othersRecoveryTime   = propagationTime + entryTTL + warmUpTime
	minOthersServedShare = 0.9
)

// crashingPaths are the paths of the crashing calls: one that must run at most once, and
// one that may be retried.
var crashingPaths = []string{
	"/stream/once" + crashPathMarker + "1",
	"/stream/resume" + crashPathMarker + "2",
}

func isCrashingPath(path string) bool {
	return strings.Contains(path, crashPathMarker)
}

// replaceCrashed starts a new replica for a crashed one after the latter's entry has expired.
func (tb *testbed) replaceCrashed(r *replica.Replica) {
	tb.logSchedule("crashed %s", r.ID)
	tb.mu.Lock()
	var region string
	for _, known := range tb.replicas {
		if known.Replica == r {
			known.retired = true
			region = known.region
		}
	}
	tb.mu.Unlock()
	time.AfterFunc(entryTTL, func() {
		tb.store.Remove("servers/" + r.ID)
		if err := tb.addReplica(r.Service, region, warmUpTime); err != nil {
			tb.logSchedule("replace crashed replica: %v", err)
		}
	})
}

// runCrashingCalls sends calls that crash replicas beside the regular load.
func runCrashingCalls(ctx context.Context, tb *testbed, load *loadGenerator) (out []Violation) {
	sleep(ctx, settleTime)
	for _, path := range crashingPaths {
		start := time.Now()
		tb.sendCrashingCalls(load, path)
		share, _ := tb.ledger.served(start.Add(othersRecoveryTime), time.Now().Add(-time.Second))
		tb.logSchedule("%s is over, %.3f of other calls served", path, share)
		if share < minOthersServedShare {
			out = append(out, Violation{
				Check:  "crashing_calls",
				Detail: fmt.Sprintf("%.2f of other calls were served after %v of %s", share, othersRecoveryTime, path),
			})
		}
	}
	return out
}

// sendCrashingCalls sends a call to random VMs repeatedly for FaultDuration.
func (tb *testbed) sendCrashingCalls(load *loadGenerator, path string) {
	var tries sync.WaitGroup
	defer tries.Wait()
	ctx := load.ctx
	c := tb.newClient(regionName(0), &load.lastID)
	end := time.Now().Add(tb.FaultDuration)
	for time.Now().Before(end) && ctx.Err() == nil {
		v := tb.vms[rand.IntN(len(tb.vms))]
		tries.Go(func() { c.send(ctx, v, path, serviceEngine, http.MethodPost, nil) })
		sleep(ctx, minCrashInterval+time.Duration(rand.Int64N(int64(maxCrashInterval-minCrashInterval))))
	}
}

// checkCrashingCalls checks that a call no longer reaches replicas and is answered quickly
// once it has crashed quarantineCrashes replicas.
func (l *ledger) checkCrashingCalls() (out []string) {
	runs := make(map[string][]replica.Run)
	for _, r := range l.runs {
		if isCrashingPath(r.Path) && !r.Refused {
			runs[r.Path] = append(runs[r.Path], r)
		}
	}
	for path, list := range runs {
		slices.SortFunc(list, func(a, b replica.Run) int { return a.At.Compare(b.At) })
		quarantined := quarantinedAt(list)
		if quarantined.IsZero() {
			continue
		}
		after := make(map[string]bool)
		for _, r := range list {
			if r.At.After(quarantined) && l.isUndisturbed(r.At) {
				after[r.Attempt] = true
			}
		}
		if len(after) > maxTriesAfterQuarantine {
			out = append(out, fmt.Sprintf("%d tries of %s reached replicas after it had crashed %d", len(after), path, quarantineCrashes))
		}
		out = append(out, l.lateAnswers(path, quarantined)...)
	}
	return out
}

// quarantinedAt returns when all VMs must have quarantined a call, given its runs in order
// of time; zero if it has crashed too few replicas.
func quarantinedAt(runs []replica.Run) time.Time {
	crashed := make(map[string]bool)
	for _, r := range runs {
		crashed[r.Replica] = true
		if len(crashed) == quarantineCrashes {
			return r.At.Add(propagationTime)
		}
	}
	return time.Time{}
}

// lateAnswers returns the tries of a quarantined call without a response in time.
func (l *ledger) lateAnswers(path string, quarantined time.Time) (out []string) {
	for _, a := range l.attempts {
		if a.path != path || a.sentAt.Before(quarantined) || !l.isUndisturbed(a.sentAt) {
			continue
		}
		if took := a.endedAt.Sub(a.sentAt); a.status == 0 || took > quarantineAnswerTimeout {
			out = append(out, fmt.Sprintf("%s %s got %d after %v", a.id, path, a.status, took))
		}
	}
	return out
}
