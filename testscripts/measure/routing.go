package main

import (
	"context"
	"fmt"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/jsonc"
	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/standin/fault"
	"github.com/fuchsianotch/fuchsianotch/standin/load"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

const (
	routingVMs      = 3
	routingReplicas = 8
	routingSlots    = 8
	routingStep     = 10 * time.Millisecond
	routingPrefill  = 8_000
	// routingBlocks hold about a quarter of the shared prefixes.
	routingBlocks   = 12 * 16
	routingPrefixes = 48
	routingShared   = 256
	routingOwn      = 16
	routingTokens   = 16
	routingFor      = 10 * time.Second
	routingWarmUp   = 3 * time.Second
	// batchCost is how much longer a full batch's step is than an empty one's.
	batchCost = 1.5
	// faulty is the number of endpoints with a fault; the silent one is lost.
	silentEndpoints = 1
)

func routingKind() load.Kind {
	return load.Kind{
		Name:         "chat",
		Weight:       1,
		Priority:     call.PriorityChat,
		Prefixes:     routingPrefixes,
		SharedTokens: routingShared,
		OwnTokens:    routingOwn,
		MaxTokens:    routingTokens,
		FirstWithin:  2 * time.Second,
		Within:       20 * time.Second,
	}
}

// routingCapacity is the calls a second that the engines which answer can
// batch with warm prefixes.
func routingCapacity() float64 {
	slots := float64(routingSlots * (routingReplicas - silentEndpoints))
	return slots / (routingTokens * routingStep.Seconds() * batchCost)
}

func (b *bench) routing(ctx context.Context, r *report) error {
	r.note("One region, %d VMs, %d engines of %d slots, %v a step (1.5 times in a full batch), %d prompt tokens a second, caches for about a quarter of the %d prefixes.", routingVMs, routingReplicas, routingSlots, routingStep, routingPrefill, routingPrefixes)
	r.note("One engine adds 20 ms to each chunk, one takes calls and never answers, one reports no load. 100%% is %.0f calls a second: all batches but the silent one's full, every prefix warm.", routingCapacity())
	t := r.table("Routing", "load", "policy", "first p50, ms", "first p95, ms", "first p99, ms", "in time", "cold prefills", "prompt tokens computed", "not run", "unknown")
	for _, percent := range []int{70, 90, 110} {
		if b.skips(fmt.Sprintf("%d%%", percent)) {
			continue
		}
		for seed := range b.seeds {
			for _, policy := range settings.RoutingPolicies {
				if err := b.routingOnce(ctx, r, policy, percent, uint64(seed+1)); err != nil {
					return err
				}
			}
		}
		for _, policy := range settings.RoutingPolicies {
			routingRow(r, t, policy, percent)
		}
	}
	return nil
}

func variant(policy string, percent int) string {
	return fmt.Sprintf("%s %d%%", policy, percent)
}

func (b *bench) routingOnce(ctx context.Context, r *report, policy string, percent int, seed uint64) error {
	w, err := b.start(plan{
		regions:    []rig.Region{oneRegion("home", routingVMs, routingReplicas, routingSlots, engine(routingStep, routingPrefill, routingBlocks)...)},
		workspaces: manyWorkspaces("home", 30),
		policies:   func(p *settings.Policies) { p.Routing = policy },
	})
	if err != nil {
		return err
	}
	defer w.close()
	if err := w.faultyThree(); err != nil {
		return err
	}
	rec, err := w.send(ctx, load.Options{
		Seed:     seed,
		Rate:     routingCapacity() * float64(percent) / 100,
		Duration: routingFor,
		WarmUp:   routingWarmUp,
		Mix: load.Mix{
			Name:  "chat",
			Kinds: []load.Kind{routingKind()},
		},
	})
	if err != nil {
		return err
	}
	r.record(variant(policy, percent), rec)
	return nil
}

// faultyThree makes one engine slow, one silent and one lie about its load.
func (w *world) faultyThree() error {
	engines := w.EndpointsServing(model)
	faults := []fault.Faults{
		{
			Slow: jsonc.Duration{
				Duration: 20 * time.Millisecond,
			},
		},
		{
			Silent: true,
		},
		{
			ReportIdle: true,
		},
	}
	for i, f := range faults {
		if err := w.fault(engines[i], f); err != nil {
			return err
		}
	}
	return nil
}

func routingRow(r *report, t *table, policy string, percent int) {
	name := variant(policy, percent)
	t.row(fmt.Sprintf("%d%%", percent), policy,
		r.over(name, firstOf(0.50)).format("%.0f"),
		r.over(name, firstOf(0.95)).format("%.0f"),
		r.over(name, firstOf(0.99)).format("%.0f"),
		r.over(name, inTimeShare).format("%.3f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.ColdPrefills()) }).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.ComputedTokens()) }).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.NotRun) }).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.Unknown) }).format("%.0f"))
}

// firstOf returns a quantile of the first token over all calls, in milliseconds.
func firstOf(q float64) func(*load.Record) float64 {
	return func(rec *load.Record) float64 { return millis(quantile(rec.Origins[0].First, q)) }
}

// quantile picks one of the quantiles that a record holds.
func quantile(q load.Quantiles, at float64) time.Duration {
	switch {
	case at <= 0.50:
		return q.P50.Duration
	case at <= 0.95:
		return q.P95.Duration
	default:
		return q.P99.Duration
	}
}

func inTimeShare(rec *load.Record) float64 {
	return float64(rec.InTime) / float64(max(rec.Calls, 1))
}
