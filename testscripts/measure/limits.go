package main

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/standin/load"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

const (
	limitsVMs      = 4
	limitsRequests = 100
	limitsOffered  = 250
	limitsFor      = 12 * time.Second
	limitsWarmUp   = 4 * time.Second
)

// limitsEntry is how calls enter the region's VMs.
type limitsEntry struct {
	name   string
	target func(*world) load.Targets
}

func limitsEntries() []limitsEntry {
	return []limitsEntry{
		{
			name:   "as the system names",
			target: (*world).targets,
		},
		{
			name:   "all by one VM",
			target: (*world).byOneVM,
		},
		{
			name:   "evenly by all VMs",
			target: (*world).byAllVMs,
		},
	}
}

// byOneVM sends every call to the first VM, whoever serves the workspace.
func (w *world) byOneVM() load.Targets {
	t := w.targets()
	t.Regions[0].VMs = t.Regions[0].VMs[:1]
	t.Regions[0].FixedOrder = true
	return t
}

// byAllVMs sends a quarter of the calls to each VM.
func (w *world) byAllVMs() load.Targets {
	t := w.targets()
	all := t.Regions[0]
	t.Regions = nil
	for _, vm := range all.VMs {
		t.Regions = append(t.Regions, load.Region{
			Region:     all.Region,
			VMs:        []string{vm},
			Workspaces: all.Workspaces,
			FixedOrder: true,
		})
	}
	return t
}

// limits measures the calls admitted for one contract over its limit.
func (b *bench) limits(ctx context.Context, r *report) error {
	r.note("One region of %d VMs and one workspace of %d requests a second, offered %d lookups a second, one try each, for %v; counted after %v, when the first bucket is spent. 1 is the contract.", limitsVMs, limitsRequests, limitsOffered, limitsFor, limitsWarmUp)
	t := r.table("Admitted over contract", "entry", "policy", "admitted over contract", "refused by limit", "other refusals", "unknown")
	for _, e := range limitsEntries() {
		if b.skips(e.name) {
			continue
		}
		for seed := range b.seeds {
			for _, policy := range settings.LimitsPolicies {
				if err := b.limitsOnce(ctx, r, e, policy, uint64(seed+1)); err != nil {
					return err
				}
			}
		}
		for _, policy := range settings.LimitsPolicies {
			limitsRow(r, t, e.name, policy)
		}
	}
	return nil
}

func (b *bench) limitsOnce(ctx context.Context, r *report, e limitsEntry, policy string, seed uint64) error {
	ws := workspace{
		name:              "limited",
		home:              "home",
		regions:           []string{"home"},
		requestsPerSecond: limitsRequests,
	}
	w, err := b.start(plan{
		regions:    []rig.Region{oneRegion("home", limitsVMs, 1, admissionSlots)},
		workspaces: []workspace{ws},
		policies:   func(p *settings.Policies) { p.Limits = policy },
	})
	if err != nil {
		return err
	}
	defer w.close()
	rec, err := w.send(ctx, load.Options{
		Seed:     seed,
		Rate:     limitsOffered,
		Duration: limitsFor,
		WarmUp:   limitsWarmUp,
		Mix: load.Mix{
			Name:  "lookup",
			Kinds: []load.Kind{load.LookupKind("/slots", 1)},
		},
		Targets:  e.target(w),
		MaxTries: 1,
	})
	if err != nil {
		return err
	}
	r.record(e.name+" "+policy, rec)
	return nil
}

// limitCodes are the refusals of a limit.
const (
	firstLimitCode = 2010
	lastLimitCode  = 2019
)

func limitsRow(r *report, t *table, entry, policy string) {
	name := entry + " " + policy
	byLimit := func(rec *load.Record) float64 {
		n := 0
		for _, c := range rec.Codes {
			if c.Code >= firstLimitCode && c.Code <= lastLimitCode {
				n += c.Calls
			}
		}
		return float64(n)
	}
	t.row(entry, policy,
		r.over(name, func(rec *load.Record) float64 {
			return float64(rec.Done) / (limitsRequests * (limitsFor - limitsWarmUp).Seconds())
		}).format("%.3f"),
		r.over(name, byLimit).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.NotRun) - byLimit(rec) }).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.Unknown) }).format("%.0f"))
}
