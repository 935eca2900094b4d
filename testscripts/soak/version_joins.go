package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/replica"
)

const (
	// soleVersionTime is when VMs know that there has been one version only since the oldest
	// stream began: the routes' timeout and the start of the VMs.
	soleVersionTime = 11 * time.Second
	// standstillTime is shorter than what VMs take for a pause of their process.
	standstillTime = 1250 * time.Millisecond
	// brokenStreamsTime is how long streams break off after that.
	brokenStreamsTime = 1750 * time.Millisecond
	brokenStreams     = 0.7
	// minJoinedResumes is the least number of streams of the version that joined which are
	// resumed at VMs that stood still; fewer show nothing.
	minJoinedResumes = 5
)

// runVersionJoins has engines of a second version join while half of the VMs stand still, and
// streams break off from then on.
func runVersionJoins(ctx context.Context, tb *testbed, _ *loadGenerator) []Violation {
	sleep(ctx, soleVersionTime)
	still := tb.vms[:len(tb.vms)/2]
	for _, v := range still {
		tb.ledger.recordVMDown(v.name)
		v.signal(syscall.SIGSTOP)
	}
	joinedAt := time.Now()
	tb.mu.Lock()
	tb.versionJoined = true
	tb.onlyFault = replica.FaultCut
	tb.mu.Unlock()
	for r := range tb.Regions {
		for range tb.Engines {
			if err := tb.addReplica(serviceEngine, regionName(r), 0); err != nil {
				return []Violation{{Check: "version_joins", Detail: err.Error()}}
			}
		}
	}
	tb.setFaultRate(brokenStreams)
	sleep(ctx, standstillTime)
	for _, v := range still {
		tb.ledger.recordVMDisturbance(v.name)
		v.signal(syscall.SIGCONT)
	}
	sleep(ctx, brokenStreamsTime)
	tb.setFaultRate(0)
	sleep(ctx, clientDeadline)
	// Most resumed streams break off again before their first event.
	tb.ledger.recordDisturbance(joinedAt)
	return tb.ledger.checkJoinedVersion(still, joinedAt)
}

// checkJoinedVersion checks that the streams which the later version began went on at it, where
// clients resumed them at one of the VMs.
func (l *ledger) checkJoinedVersion(vms []*vm, joinedAt time.Time) (out []Violation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	began := make(map[string]string)
	for _, a := range l.attempts {
		if a.resumes == "" && len(a.versions) > 0 {
			began[a.id] = a.versions[0]
		}
	}
	resumed := 0
	for _, a := range l.attempts {
		if a.resumes == "" || began[a.resumes] != laterVersion || a.sentAt.Before(joinedAt) || !isAmong(vms, a.vm) {
			continue
		}
		resumed++
		if len(a.versions) > 0 && a.versions[0] != laterVersion {
			out = append(out, Violation{
				Check:  "version_joins",
				Detail: fmt.Sprintf("%s went on at %s, %v after %s joined", a.resumes, a.versions[0], a.sentAt.Sub(joinedAt), laterVersion),
			})
		}
	}
	if resumed < minJoinedResumes {
		out = append(out, Violation{
			Check:  "version_joins",
			Detail: fmt.Sprintf("%d streams were resumed at VMs that stood still, too few to show anything", resumed),
		})
	}
	return out
}

func isAmong(vms []*vm, name string) bool {
	for _, v := range vms {
		if v.name == name {
			return true
		}
	}
	return false
}
