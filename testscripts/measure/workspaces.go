package main

import (
	"context"
	"fmt"
	"time"

	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/standin/load"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

const workspacesVMs = 3

// workspaces measures a VM's memory and idle processor time by the number of
// contracts, at rest and after calls of many workspaces.
func (b *bench) workspaces(ctx context.Context, r *report) error {
	r.note("One region of %d VMs, one engine. After calls: 20 s of 200 lookups a second over all workspaces, skewed.", workspacesVMs)
	t := r.table("Workspaces", "workspaces", "processor at rest, % of a core and VM", "control bytes sent/s and VM", "memory at rest, MiB a VM", "memory after calls, MiB a VM", "calls not done")
	for _, n := range []int{100, 1_500, 15_000} {
		w, err := b.start(plan{
			regions:    []rig.Region{oneRegion("home", workspacesVMs, 1, admissionSlots)},
			workspaces: manyWorkspaces("home", n),
		})
		if err != nil {
			return err
		}
		err = workspacesOnce(ctx, r, t, w, n)
		w.close()
		if err != nil {
			return err
		}
	}
	return nil
}

func workspacesOnce(ctx context.Context, r *report, t *table, w *world, n int) error {
	time.Sleep(warmIdleFor)
	before := w.usage()
	time.Sleep(idleFor)
	idle := w.usage().since(before)
	r.addIdle(n, idle, workspacesVMs)
	rec, err := w.send(ctx, load.Options{
		Seed:     1,
		Rate:     200,
		Duration: 20 * time.Second,
		WarmUp:   2 * time.Second,
		Mix: load.Mix{
			Name:  "lookup",
			Kinds: []load.Kind{load.LookupKind("/slots", 1)},
		},
	})
	if err != nil {
		return err
	}
	r.record(fmt.Sprintf("%d workspaces", n), rec)
	after := w.usage().memory / workspacesVMs / mebibyte
	t.row(fmt.Sprint(n),
		fmt.Sprintf("%.2f", 100*idle.cpu.Seconds()/workspacesVMs),
		fmt.Sprintf("%.0f", idle.out/workspacesVMs),
		fmt.Sprintf("%.1f", idle.memory/workspacesVMs/mebibyte),
		fmt.Sprintf("%.1f", after),
		fmt.Sprint(rec.Calls-rec.Done))
	return nil
}

const (
	dayFor    = 24 * time.Second
	dayRate   = 90
	dayWarmUp = 2 * time.Second
)

// days runs both users' mixes over a day with peaks at other hours, with the
// decisions and with the plainest baselines.
func (b *bench) days(ctx context.Context, r *report) error {
	r.note("Three regions of %d VMs, %d engines of %d slots and 2 services; %d calls a second on average over a day of %v, swinging by 0.8 of the mean and at another hour in each region.", regionVMs, regionReplicas/2, admissionSlots, dayRate, dayFor)
	t := r.table("A day", "mix", "policies", "in time", "urgent whole p99, ms", "chat first p99, ms", "report whole p99, ms", "sent away", "cold prefills", "prompt tokens computed", "not run", "unknown", "doubled, ran though not run, lost")
	for _, name := range load.MixNames() {
		for seed := range b.seeds {
			for _, all := range []string{"decisions", "baselines"} {
				if err := b.day(ctx, r, name, all, uint64(seed+1)); err != nil {
					return err
				}
			}
		}
		for _, all := range []string{"decisions", "baselines"} {
			dayRow(r, t, name, all)
		}
	}
	return nil
}

func (b *bench) day(ctx context.Context, r *report, mixName, all string, seed uint64) error {
	p := regionsPlan(settings.BorrowingPolicies[0])
	for i := range p.regions {
		p.regions[i].Endpoints[0].Replicas = regionReplicas / 2
	}
	if all == "baselines" {
		p.policies = func(s *settings.Policies) {
			s.Routing = "round_robin"
			s.Admission = "fifo"
			s.Borrowing = "never"
			s.Limits = "static_split"
		}
	}
	w, err := b.start(p)
	if err != nil {
		return err
	}
	defer w.close()
	mix, _ := load.FindMix(mixName)
	rec, err := w.send(ctx, load.Options{
		Seed:      seed,
		Rate:      dayRate,
		Duration:  dayFor,
		WarmUp:    dayWarmUp,
		DayLength: dayFor,
		Peak:      0.8,
		Mix:       mix,
	})
	if err != nil {
		return err
	}
	r.record(mixName+" "+all, rec)
	return nil
}

func dayRow(r *report, t *table, mix, all string) {
	name := mix + " " + all
	of := func(priority string, pick func(load.Latency) time.Duration) string {
		return r.over(name, func(rec *load.Record) float64 { return millis(pick(load.FindLatency(rec.Priorities, priority))) }).format("%.0f")
	}
	whole := func(l load.Latency) time.Duration { return l.Whole.P99.Duration }
	first := func(l load.Latency) time.Duration { return l.First.P99.Duration }
	count := func(pick func(*load.Record) int) string {
		return r.over(name, func(rec *load.Record) float64 { return float64(pick(rec)) }).format("%.0f")
	}
	t.row(mix, all,
		r.over(name, inTimeShare).format("%.3f"),
		of(urgent, whole), of("chat", first), of(reports, whole),
		r.over(name, func(rec *load.Record) float64 { return rec.SentAwayShare }).format("%.3f"),
		count((*load.Record).ColdPrefills), count((*load.Record).ComputedTokens),
		count(func(rec *load.Record) int { return rec.NotRun }),
		count(func(rec *load.Record) int { return rec.Unknown }),
		count(func(rec *load.Record) int { return rec.Runs.Doubled + rec.Runs.RanNotRun + rec.Runs.Lost }))
}
