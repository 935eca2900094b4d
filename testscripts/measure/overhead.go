package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/standin/load"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

const (
	overheadVMs      = 2
	overheadReplicas = 4
	overheadSlots    = 64
	overheadFor      = 10 * time.Second
	overheadWarmUp   = 2 * time.Second
	shortAnswer      = 16
)

// overheadCase is one kind of call at one rate.
type overheadCase struct {
	name string
	rate float64
	kind load.Kind
}

func overheadCases() []overheadCase {
	chat := load.Kind{
		Name:         "chat",
		Weight:       1,
		Priority:     call.PriorityChat,
		Prefixes:     4,
		SharedTokens: 64,
		OwnTokens:    16,
		MaxTokens:    shortAnswer,
		Within:       20 * time.Second,
	}
	return []overheadCase{
		{
			name: "lookup",
			rate: 200,
			kind: load.LookupKind("/slots", 1),
		},
		{
			name: "chat",
			rate: 50,
			kind: chat,
		},
		{
			name: "booking with a ticket",
			rate: 100,
			kind: load.BookingKind("/confirm", 1),
		},
	}
}

// overhead sends the same calls through the gateway and straight to the
// endpoints at the same time, so that both meet the same machine.
func (b *bench) overhead(ctx context.Context, r *report) error {
	w, err := b.start(plan{
		regions:    []rig.Region{oneRegion("home", overheadVMs, overheadReplicas, overheadSlots, engine(time.Millisecond, 100_000, 4096)...)},
		workspaces: manyWorkspaces("home", 20),
	})
	if err != nil {
		return err
	}
	defer w.close()
	r.note("%d VMs, %d engines of %d slots and 1 ms a step, 2 services that work 1 ms; both ways are sent at the same time, each at the rate of the table, from one process.", overheadVMs, overheadReplicas, overheadSlots)
	r.note("A call through the gateway asks for leave to send its body (Expect: 100-continue), a booking gets its ticket by another call first; both are part of the time.")
	for _, c := range overheadCases() {
		for seed := range b.seeds {
			if err := overheadOnce(ctx, r, w, c, uint64(seed+1)); err != nil {
				return err
			}
		}
	}
	overheadTables(r)
	return nil
}

func overheadOnce(ctx context.Context, r *report, w *world, c overheadCase, seed uint64) error {
	var group sync.WaitGroup
	var records [2]*load.Record
	var errs [2]error
	before := cpuOf(w.VMs)
	for i := range records {
		group.Go(func() {
			records[i], errs[i] = w.send(ctx, load.Options{
				Seed:     seed,
				Rate:     c.rate,
				Duration: overheadFor,
				WarmUp:   overheadWarmUp,
				Mix: load.Mix{
					Name:  c.name,
					Kinds: []load.Kind{c.kind},
				},
				Direct: i == 1,
			})
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	used := cpuOf(w.VMs) - before
	calls := c.rate * overheadFor.Seconds()
	r.record(c.name+" through the gateway", records[0])
	r.record(c.name+" direct", records[1])
	r.point(c.name+" processor time a call", seed, millis(used)/calls, "ms")
	return nil
}

func overheadTables(r *report) {
	t := r.table("Time of a call", "call", "figure", "direct, ms", "through the gateway, ms", "added, ms", "ratio")
	for _, c := range overheadCases() {
		for _, f := range latencyFigures() {
			direct := r.over(c.name+" direct", f.of)
			through := r.over(c.name+" through the gateway", f.of)
			var added spread
			for i := range min(len(direct), len(through)) {
				added = append(added, through[i]-direct[i])
			}
			t.row(c.name, f.name, direct.format("%.2f"), through.format("%.2f"), added.format("%.2f"), ratio(through, direct).format("%.2f"))
		}
	}
	cpu := r.table("Processor time of the gateway's processes", "call", "ms a call", "calls a second and core", "calls not done")
	for _, c := range overheadCases() {
		s := r.pointsOf(c.name + " processor time a call")
		failed := r.over(c.name+" through the gateway", func(rec *load.Record) float64 { return float64(rec.Calls - rec.Done) })
		cpu.row(c.name, s.format("%.2f"), fmt.Sprintf("%.0f", 1000/max(s.median(), 1e-9)), failed.format("%.0f"))
	}
}

// figure is one number of a record.
type figure struct {
	name string
	of   func(*load.Record) float64
}

func latencyFigures() []figure {
	all := func(pick func(load.Latency) time.Duration) func(*load.Record) float64 {
		return func(rec *load.Record) float64 { return millis(pick(rec.Origins[0])) }
	}
	return []figure{
		{
			name: "first p50",
			of:   all(func(l load.Latency) time.Duration { return l.First.P50.Duration }),
		},
		{
			name: "first p99",
			of:   all(func(l load.Latency) time.Duration { return l.First.P99.Duration }),
		},
		{
			name: "whole p50",
			of:   all(func(l load.Latency) time.Duration { return l.Whole.P50.Duration }),
		},
		{
			name: "whole p99",
			of:   all(func(l load.Latency) time.Duration { return l.Whole.P99.Duration }),
		},
	}
}
