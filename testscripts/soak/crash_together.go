package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/console"
	"github.com/fuchsianotch/fuchsianotch/operator"
)

const (
	// crashedPart is the reciprocal of the part of each region's engines that crash at once.
	crashedPart = 4
	// crashPause is how long the engines are gone, returnTime how long they and what they
	// cost callers are observed from the crash on.
	crashPause = time.Second
	returnTime = 10 * time.Second
	// coldKnownTime is the time after which VMs know that engines returned cold, which they
	// are for warmUpTime. explanationTimeout bounds one answer of a VM.
	coldKnownTime      = 1500 * time.Millisecond
	explanationTimeout = time.Second
	// minCrashServedShare is the least share of calls served meanwhile, the same as while
	// replicas leave.
	minCrashServedShare = minNoticedServedShare
)

// runCrashTogether crashes a quarter of the engines of each region at once, which return cold
// under their IDs and addresses all at once, and then injects random faults.
func runCrashTogether(ctx context.Context, tb *testbed, _ *loadGenerator) []Violation {
	sleep(ctx, settleTime)
	from := time.Now()
	crashed := tb.retireEngines()
	for _, r := range crashed {
		tb.logSchedule("%s crashes with others", r.ID)
		tb.terminate(r)
	}
	sleep(ctx, crashPause)
	for _, r := range crashed {
		if err := tb.startReplica(r.ID, r.Service, r.region, r.Addr, warmUpTime); err != nil {
			tb.logSchedule("restart %s: %v", r.ID, err)
		}
	}
	sleep(ctx, coldKnownTime)
	violations := tb.checkExplanations(ctx, crashed)
	sleep(ctx, time.Until(from.Add(returnTime)))
	tb.ledger.recordCrashTogether(interval{from: from, to: time.Now().Add(-time.Second)})
	tb.ledger.recordDisturbance(from)
	tb.inject(ctx)
	return violations
}

// checkExplanations asks all VMs where a request would go, while the engines that returned are
// cold: it must not go there, and the VMs of their region must name the reason.
func (tb *testbed) checkExplanations(ctx context.Context, cold []*trackedReplica) (out []Violation) {
	client := newConsole()
	for _, v := range tb.vms {
		explained, err := explainEngineRoute(ctx, client, v)
		var detail string
		if err != nil {
			detail = err.Error()
		} else {
			detail = explanationFault(explained, v.region, cold)
		}
		if detail != "" {
			out = append(out, Violation{
				Check:  "route_explained",
				Detail: v.name + ": " + detail,
			})
		}
	}
	return out
}

func newConsole() *console.Client {
	return console.New(console.Options{
		HTTP: &http.Client{
			Timeout: explanationTimeout,
		},
	})
}

// explainEngineRoute asks a VM where a request for the engines would go.
func explainEngineRoute(ctx context.Context, client *console.Client, v *vm) (*console.Route, error) {
	return client.Route(ctx, net.JoinHostPort(v.ip, strconv.Itoa(metricsPort)), operator.RouteQuery{
		Host:         "soak.example",
		Path:         "/stream/once/x",
		Workspace:    workspaceUnlimited,
		PromptTokens: 1000,
	})
}

// explanationFault returns what is wrong with the explanation of a VM while engines are cold.
func explanationFault(explained *console.Route, region string, cold []*trackedReplica) string {
	if d := explained.Decision; d.Code != 0 || d.Region == region && d.Endpoint == "" {
		return fmt.Sprintf("decision %+v", d)
	}
	for _, r := range cold {
		if r.region != region {
			continue
		}
		at := slices.IndexFunc(explained.Endpoints, func(e operator.RouteEndpoint) bool { return e.ID == r.ID })
		if at < 0 || explained.Endpoints[at].Excluded != "cold" || explained.Decision.Endpoint == r.ID {
			return fmt.Sprintf("%s is not named as cold: %+v", r.ID, explained.RouteExplanation)
		}
	}
	return ""
}

// retireEngines returns a quarter of the active engines of each region, at least one, which are
// retired from then on.
func (tb *testbed) retireEngines() []*trackedReplica {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	byRegion := make(map[string][]*trackedReplica)
	for _, r := range tb.replicas {
		if !r.retired && r.Service == serviceEngine {
			byRegion[r.region] = append(byRegion[r.region], r)
		}
	}
	var out []*trackedReplica
	for _, engines := range byRegion {
		for _, r := range engines[:(len(engines)+crashedPart-1)/crashedPart] {
			r.retired = true
			out = append(out, r)
		}
	}
	return out
}

func (l *ledger) recordCrashTogether(i interval) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashesTogether = append(l.crashesTogether, i)
}

// checkCrashTogether checks that callers are served by the other engines.
func (l *ledger) checkCrashTogether() (out []string) {
	for _, i := range l.crashesTogether {
		if share, sent := l.servedBetween(i.from, i.to); share < minCrashServedShare {
			out = append(out, fmt.Sprintf("%.2f of %d calls were served while a quarter of the engines crashed and returned cold", share, sent))
		}
	}
	return out
}
