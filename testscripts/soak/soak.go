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
	readyWithin  = 20 * time.Second
	// recoverWithin is when most is to be served again after all were killed.
	recoverWithin = 12 * time.Second
	// recoveredShare is the part that must be served then.
	recoveredShare = 0.9
)

// Report is what a run came to.
type Report struct {
	Seed       uint64
	Attempts   int
	Served     float64
	Faults     map[string]int
	Violations []Violation
}

// play is a run of a deployment that takes requests from clients. What it returns was
// violated besides what the ledger shows.
type play func(ctx context.Context, w *world, l *load) []Violation

// run plays one seed.
func (p play) run(ctx context.Context, o Options) (*Report, error) {
	w, err := begin(ctx, o)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	load := w.startClients(ctx)
	defer load.stop()
	from := time.Now()
	violations := p(ctx, w, load)
	load.stop()
	served, sent := w.ledger.served(from, time.Now())
	report := &Report{
		Seed:       o.Seed,
		Attempts:   sent,
		Served:     served,
		Faults:     w.ledger.faults,
		Violations: append(violations, w.ledger.check()...),
	}
	if o.Plot != "" {
		title := fmt.Sprintf("soak, seed %d", o.Seed)
		if err := w.ledger.writePlot(o.Plot, title, w.start); err != nil {
			return report, err
		}
	}
	return report, ctx.Err()
}

// playFaults injects faults under load, and then a planned stop of every VM in a calm fleet
// and a kill of all at once.
func playFaults(ctx context.Context, w *world, _ *load) (out []Violation) {
	w.inject(ctx)
	w.rollAll(ctx)
	if recovered := w.killAll(ctx); recovered < recoveredShare {
		out = append(out, Violation{
			Check:  "recovery",
			Detail: fmt.Sprintf("%.2f were served %v after all VMs were killed", recovered, recoverWithin),
		})
	}
	return out
}

// begin starts a deployment and waits until it takes requests. What was started is to
// be closed also where it fails.
func begin(ctx context.Context, o Options) (*world, error) {
	w, err := newWorld(o)
	if err != nil {
		return w, err
	}
	w.ledger.published()
	return w, w.awaitReady(ctx)
}

// load is the clients of a run.
type load struct {
	ctx     context.Context
	cancel  context.CancelFunc
	clients sync.WaitGroup
	// number is that of the last request.
	number atomic.Int64
}

func (w *world) startClients(ctx context.Context) *load {
	l := &load{}
	l.ctx, l.cancel = context.WithCancel(ctx)
	for i := range w.Clients {
		c := w.newClient(regionName(i%w.Regions), &l.number)
		l.clients.Go(func() { c.run(l.ctx) })
	}
	return l
}

// stop ends the clients and waits for them.
func (l *load) stop() {
	l.cancel()
	l.clients.Wait()
}

// awaitReady waits until each VM says that it takes requests.
func (w *world) awaitReady(ctx context.Context) error {
	end := time.Now().Add(readyWithin)
	for time.Now().Before(end) && ctx.Err() == nil {
		if !slices.ContainsFunc(w.vms, func(v *vm) bool { return !v.ready() }) {
			return nil
		}
		sleepFor(ctx, 100*time.Millisecond)
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

// rollAll stops and starts every VM in turn, with nothing else going on. No
// request may be cut by it.
func (w *world) rollAll(ctx context.Context) {
	sleepFor(ctx, calmFor)
	from := time.Now()
	for i := range w.vms {
		if err := w.stopAndStart(ctx, draw{vm: i}); err != nil {
			w.tell("roll: %v", err)
		}
		sleepFor(ctx, time.Second)
	}
	sleepFor(ctx, time.Second)
	w.ledger.stops(from)
}

// killAll kills every VM at once, starts them again, and gives the share that is
// served after the time for recovery.
func (w *world) killAll(ctx context.Context) float64 {
	for _, v := range w.vms {
		v.signal(syscall.SIGKILL)
	}
	for _, v := range w.vms {
		v.await(5 * time.Second)
	}
	sleepFor(ctx, restartAfter)
	for _, v := range w.vms {
		if err := w.startVM(v); err != nil {
			w.tell("restart: %v", err)
		}
	}
	back := time.Now()
	w.ledger.disturb(back.Add(-time.Second))
	sleepFor(ctx, recoverWithin+3*time.Second)
	share, _ := w.ledger.served(back.Add(recoverWithin), time.Now().Add(-time.Second))
	return share
}

func (l *ledger) published() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, time.Now())
}

func (l *ledger) stops(from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = append(l.stopped, span{from: from, to: time.Now()})
}
