package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	streamEvents = 12
	readyTimeout = 20 * time.Second
	// recoveryTime is how long the deployment has to recover after all VMs were killed.
	recoveryTime = 12 * time.Second
	// minRecoveredShare is the least share of attempts served after recoveryTime.
	minRecoveredShare = 0.9
)

// Report summarizes the run of one seed.
type Report struct {
	Seed     uint64
	Attempts int
	// Served is the share of attempts that got a complete, correct answer.
	Served     float64
	Faults     map[string]int
	Violations []Violation
	// Resumed counts the streams that clients resumed while their version served, GoneOn those
	// that went on.
	Resumed, GoneOn int
	// Stopping counts the calls to stopping VMs.
	Stopping stopCounts
	// Unread describes those that crossed the end of their connection.
	Unread []string
	// MostMemory is the most memory of each VM in MB in scenarios that watch it.
	MostMemory []int
}

// scenario drives a deployment under client load. It returns violations that the ledger's
// checks don't cover.
type scenario func(ctx context.Context, tb *testbed, l *loadGenerator) []Violation

// run starts a deployment with its clients, runs the scenario on it and checks the ledger.
func (p scenario) run(ctx context.Context, o Options) (*Report, error) {
	tb, err := startTestbed(ctx, o)
	if tb != nil {
		defer tb.close()
	}
	if err != nil {
		return nil, err
	}
	load := tb.startClients(ctx)
	defer load.stop()
	from := time.Now()
	violations := p(ctx, tb, load)
	load.stop()
	served, sent := tb.ledger.served(from, time.Now())
	report := &Report{
		Seed:       o.Seed,
		Attempts:   sent,
		Served:     served,
		Faults:     tb.ledger.faultCounts,
		Violations: append(violations, tb.ledger.check()...),
	}
	for _, v := range report.Violations {
		tb.logSchedule("%s: %s", v.Check, v.Detail)
	}
	streams := tb.ledger.countStreams()
	report.Resumed = streams.resumed
	report.GoneOn = streams.resumedOn
	report.MostMemory = tb.mostMemory
	report.Stopping = tb.ledger.countStopCalls()
	report.Unread = tb.ledger.describeUnreadCalls()
	if o.Plot != "" {
		title := fmt.Sprintf("soak, seed %d", o.Seed)
		if err := tb.ledger.writePlot(o.Plot, title, tb.start); err != nil {
			return report, err
		}
	}
	return report, ctx.Err()
}

// runRandomFaults injects random faults, then restarts every VM in turn without other
// faults, then kills all VMs at once.
func runRandomFaults(ctx context.Context, tb *testbed, _ *loadGenerator) (out []Violation) {
	tb.inject(ctx)
	tb.rollingRestart(ctx)
	if recovered := tb.killAllVMs(ctx); recovered < minRecoveredShare {
		out = append(out, Violation{
			Check:  "recovery",
			Detail: fmt.Sprintf("%.2f were served %v after all VMs were killed", recovered, recoveryTime),
		})
	}
	return out
}

// startTestbed starts a deployment and waits until every VM is ready. The testbed must be
// closed even if an error is returned.
func startTestbed(ctx context.Context, o Options) (*testbed, error) {
	tb, err := newTestbed(o)
	if err != nil {
		return tb, err
	}
	tb.ledger.recordVersion()
	return tb, tb.awaitReady(ctx)
}

// loadGenerator runs the clients of one run.
type loadGenerator struct {
	ctx     context.Context
	cancel  context.CancelFunc
	clients sync.WaitGroup
	// lastID numbers the attempts of all clients.
	lastID atomic.Int64
}

// startClients starts the clients and spreads them over the regions.
func (tb *testbed) startClients(ctx context.Context) *loadGenerator {
	l := &loadGenerator{}
	l.ctx, l.cancel = context.WithCancel(ctx)
	for i := range tb.Clients {
		c := tb.newClient(regionName(i%tb.Regions), &l.lastID)
		l.clients.Go(func() { c.run(l.ctx) })
	}
	return l
}

// stop cancels the clients and waits until they have returned.
func (l *loadGenerator) stop() {
	l.cancel()
	l.clients.Wait()
}

// awaitReady waits until every VM's readiness probe succeeds.
func (tb *testbed) awaitReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for time.Now().Before(end) && ctx.Err() == nil {
		if !slices.ContainsFunc(tb.vms, func(v *vm) bool { return !v.ready() }) {
			return nil
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return errNotReady
}

func (v *vm) ready() bool {
	probe := http.Client{
		Timeout: time.Second,
	}
	resp, err := probe.Get("http://" + v.ip + ":8141/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// rollingRestart stops and starts every VM in turn while no other fault is active. It must
// not interrupt any request.
func (tb *testbed) rollingRestart(ctx context.Context) {
	sleep(ctx, settleTime)
	from := time.Now()
	for i := range tb.vms {
		if err := tb.stopAndStart(ctx, faultParams{vm: i}); err != nil {
			tb.logSchedule("rolling restart: %v", err)
		}
		sleep(ctx, time.Second)
	}
	sleep(ctx, time.Second)
	tb.ledger.recordPlannedStops(from)
}

// killAllVMs kills every VM at once, restarts them, and returns the share of attempts
// served after recoveryTime.
func (tb *testbed) killAllVMs(ctx context.Context) float64 {
	tb.restartAllVMs(ctx)
	restarted := time.Now()
	tb.ledger.recordDisturbance(restarted.Add(-time.Second))
	sleep(ctx, recoveryTime+3*time.Second)
	share, _ := tb.ledger.served(restarted.Add(recoveryTime), time.Now().Add(-time.Second))
	return share
}

// restartAllVMs kills all VMs and starts them again.
func (tb *testbed) restartAllVMs(ctx context.Context) {
	tb.logSchedule("all VMs are killed")
	for _, v := range tb.vms {
		tb.ledger.recordVMDown(v.name)
		v.signal(syscall.SIGKILL)
	}
	for _, v := range tb.vms {
		v.waitExit(5 * time.Second)
	}
	sleep(ctx, restartDelay)
	for _, v := range tb.vms {
		tb.ledger.recordVMDisturbance(v.name)
		if err := tb.startVM(v); err != nil {
			tb.logSchedule("restart: %v", err)
		}
	}
}

// recordVersion records that a configuration version was published now.
func (l *ledger) recordVersion() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, time.Now())
}

// recordPlannedStops records that VMs were stopped as planned since from.
func (l *ledger) recordPlannedStops(from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.plannedStops = append(l.plannedStops, interval{from: from, to: time.Now()})
}
