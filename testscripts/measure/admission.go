package main

import (
	"context"
	"fmt"
	"time"

	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/standin/load"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

const (
	admissionVMs      = 2
	admissionReplicas = 4
	admissionSlots    = 8
	admissionStep     = 10 * time.Millisecond
	admissionPrefill  = 20_000
	admissionFor      = 20 * time.Second
	admissionWarmUp   = 6 * time.Second
	flagRate          = 20
	// heavyReports is the load of reports alone, relative to all slots.
	heavyReports = 1.2
	goodputFor   = 16 * time.Second
	urgent       = "urgent"
	reports      = "report"
	alone        = "urgent alone"
)

func admissionPlan(policy string) plan {
	return plan{
		regions:    []rig.Region{oneRegion("home", admissionVMs, admissionReplicas, admissionSlots, engine(admissionStep, admissionPrefill, 4096)...)},
		workspaces: manyWorkspaces("home", 20),
		policies:   func(p *settings.Policies) { p.Admission = policy },
	}
}

// admissionCapacity is the calls a second of one kind that fill all batches.
func admissionCapacity(k load.Kind) float64 {
	perCall := float64(k.MaxTokens)*admissionStep.Seconds()*batchCost + float64(k.OwnTokens)/admissionPrefill
	return admissionReplicas * admissionSlots / perCall
}

// admission measures urgent calls alone, and under more reports than fit.
func (b *bench) admission(ctx context.Context, r *report) error {
	flags, heavy := load.TriageFlagKind(1), load.ReportKind(1)
	heavy.Within = 30 * time.Second
	reportRate := heavyReports * admissionCapacity(heavy)
	r.note("One region, %d VMs, %d engines of %d slots, %v a step, which honour priorities by starting urgent calls first. %d flags a second of about %d tokens; reports of about %d tokens at %.1f a second, %.0f%% of what all slots hold.", admissionVMs, admissionReplicas, admissionSlots, admissionStep, flagRate, flags.MaxTokens, heavy.MaxTokens, reportRate, 100*heavyReports)
	t := r.table("Urgent calls", "policy", "first p50, ms", "first p99, ms", "whole p99, ms", "whole p99 over that alone", "urgent in time", "reports in time", "reports not run")
	mixed := load.Mix{
		Name:  "flags and reports",
		Kinds: []load.Kind{flags, heavy},
	}
	mixed.Kinds[0].Weight = flagRate
	mixed.Kinds[1].Weight = reportRate
	for seed := range b.seeds {
		for _, policy := range settings.AdmissionPolicies {
			err := b.admissionOnce(ctx, r, policy, uint64(seed+1), mixed, flagRate+reportRate)
			if err != nil {
				return err
			}
		}
	}
	for _, policy := range settings.AdmissionPolicies {
		admissionRow(r, t, alone+" "+policy)
		admissionRow(r, t, policy)
	}
	return nil
}

func (b *bench) admissionOnce(ctx context.Context, r *report, policy string, seed uint64, mixed load.Mix, rate float64) error {
	w, err := b.start(admissionPlan(policy))
	if err != nil {
		return err
	}
	defer w.close()
	only := load.Mix{
		Name:  "flags",
		Kinds: mixed.Kinds[:1],
	}
	rec, err := w.send(ctx, load.Options{
		Seed:     seed,
		Rate:     flagRate,
		Duration: admissionFor - admissionWarmUp,
		WarmUp:   2 * time.Second,
		Mix:      only,
	})
	if err != nil {
		return err
	}
	r.record(alone+" "+policy, rec)
	rec, err = w.send(ctx, load.Options{
		Seed:     seed,
		Rate:     rate,
		Duration: admissionFor,
		WarmUp:   admissionWarmUp,
		Mix:      mixed,
	})
	if err != nil {
		return err
	}
	r.record(policy, rec)
	return nil
}

func admissionRow(r *report, t *table, name string) {
	of := func(pick func(load.Latency) float64, priority string) spread {
		return r.over(name, func(rec *load.Record) float64 { return pick(load.FindLatency(rec.Priorities, priority)) })
	}
	whole := func(l load.Latency) float64 { return millis(l.Whole.P99.Duration) }
	under := of(whole, urgent)
	by := r.over(alone+" "+name, func(rec *load.Record) float64 { return whole(load.FindLatency(rec.Priorities, urgent)) })
	t.row(name,
		of(func(l load.Latency) float64 { return millis(l.First.P50.Duration) }, urgent).format("%.0f"),
		of(func(l load.Latency) float64 { return millis(l.First.P99.Duration) }, urgent).format("%.0f"),
		under.format("%.0f"),
		ratio(under, by).format("%.2f"),
		of(shareInTime, urgent).format("%.3f"),
		of(shareInTime, reports).format("%.3f"),
		of(func(l load.Latency) float64 { return float64(l.Refusal.Count) }, reports).format("%.0f"))
}

func shareInTime(l load.Latency) float64 {
	return float64(l.InTime) / float64(max(l.Calls, 1))
}

// goodput measures calls answered in time at 100 and 200% load, with retries.
func (b *bench) goodput(ctx context.Context, r *report) error {
	chat := routingKind()
	chat.Within = 5 * time.Second
	full := admissionCapacity(chat)
	r.note("The deployment of the admission measurement. Chats of about %d tokens with first tokens within %v; 100%% is %.0f calls a second. Callers retry, up to 8 tries, when a refusal says so.", chat.MaxTokens, chat.FirstWithin, full)
	t := r.table("Goodput", "policy", "load", "whole by its deadline, a second", "over that at 100%", "and first token in time, a second", "over that at 100%", "first p99, ms", "not run", "unknown", "tries a call", "refusal p99, ms")
	for seed := range b.seeds {
		for _, policy := range settings.AdmissionPolicies {
			for _, percent := range []int{100, 200} {
				w, err := b.start(admissionPlan(policy))
				if err != nil {
					return err
				}
				rec, err := w.send(ctx, load.Options{
					Seed:     uint64(seed + 1),
					Rate:     full * float64(percent) / 100,
					Duration: goodputFor,
					WarmUp:   4 * time.Second,
					Mix: load.Mix{
						Name:  "chat",
						Kinds: []load.Kind{chat},
					},
				})
				w.close()
				if err != nil {
					return err
				}
				r.record(variant(policy, percent), rec)
			}
		}
	}
	for _, policy := range settings.AdmissionPolicies {
		for _, percent := range []int{100, 200} {
			goodputRow(r, t, policy, percent)
		}
	}
	return nil
}

func goodputRow(r *report, t *table, policy string, percent int) {
	name := variant(policy, percent)
	good := r.over(name, perSecond)
	whole := r.over(name, wholePerSecond)
	t.row(policy, fmt.Sprintf("%d%%", percent),
		whole.format("%.0f"),
		ratio(whole, r.over(variant(policy, 100), wholePerSecond)).format("%.2f"),
		good.format("%.0f"),
		ratio(good, r.over(variant(policy, 100), perSecond)).format("%.2f"),
		r.over(name, firstOf(0.99)).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.NotRun) }).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.Unknown) }).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.Tries) / float64(max(rec.Calls, 1)) }).format("%.2f"),
		r.over(name, func(rec *load.Record) float64 { return millis(rec.Origins[0].Refusal.P99.Duration) }).format("%.0f"))
}

// wholePerSecond counts the calls whose own whole answer came, which the system
// owes by the deadline that the caller gave.
func wholePerSecond(rec *load.Record) float64 {
	return float64(rec.Done-rec.Incorrect) / (rec.Duration.Duration - rec.WarmUp.Duration).Seconds()
}

// perSecond counts the calls whose first token came in time as well, from the
// scheduled arrival: a call that had to come back after a refusal is often late.
func perSecond(rec *load.Record) float64 {
	return float64(rec.InTime) / (rec.Duration.Duration - rec.WarmUp.Duration).Seconds()
}
