package main

import (
	"context"
	"fmt"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/standin/load"
)

const (
	regionVMs      = 2
	regionReplicas = 4
	// regionLoad is the usual load, highLoad one at which no region has room to lend.
	regionLoad   = 0.6
	highLoad     = 0.8
	regionFor    = 18 * time.Second
	regionWarmUp = 6 * time.Second
	// loseAt is when endpoints end; the list follows after listLag.
	loseAt  = 3 * time.Second
	listLag = time.Second
	// hurt is the region that loses endpoints.
	hurt = "east"
)

var regionNames = []string{hurt, "west", "mid"}

// loss is how much of the hurt region ends, at which load of all regions.
type loss struct {
	name  string
	count int
	load  float64
}

var losses = []loss{
	{
		name:  "half",
		count: regionReplicas / 2,
		load:  regionLoad,
	},
	{
		name:  "all",
		count: regionReplicas,
		load:  regionLoad,
	},
	{
		name:  "half",
		count: regionReplicas / 2,
		load:  highLoad,
	},
	{
		name:  "all",
		count: regionReplicas,
		load:  highLoad,
	},
}

func (l loss) percent() string { return fmt.Sprintf("%.0f%%", 100*l.load) }

// String names the loss with its load.
func (l loss) String() string { return l.name + " " + l.percent() }

// rate is the calls a second of all regions that fill so much of their slots.
func (l loss) rate() float64 {
	slots := float64(regionReplicas * admissionSlots * len(regionNames))
	return l.load * slots / (float64(routingKind().MaxTokens) * admissionStep.Seconds() * batchCost)
}

func regionsPlan(policy string) plan {
	p := plan{
		policies: func(s *settings.Policies) { s.Borrowing = policy },
	}
	for i, name := range regionNames {
		p.regions = append(p.regions, oneRegion(name, regionVMs, regionReplicas, admissionSlots, engine(admissionStep, routingPrefill, 4096)...))
		others := append(append([]string{}, regionNames[:i]...), regionNames[i+1:]...)
		for _, w := range manyWorkspaces(name, 10, others...) {
			w.borrowShare = 1
			p.workspaces = append(p.workspaces, w)
		}
	}
	return p
}

// regions measures what becomes of all regions when one loses endpoints.
func (b *bench) regions(ctx context.Context, r *report) error {
	r.note("Three regions of %d VMs and %d engines of %d slots; each region's own load is the given part of its slots. At %v the region %q loses half or all of its engines by a kill, which the list tells %v later. Counted from %v on.", regionVMs, regionReplicas, admissionSlots, loseAt, hurt, listLag, regionWarmUp)
	r.note("Links add no delay on loopback; the published 30 ms one way only enters the decision. Every contract lets all its work go to all regions.")
	t := r.table("Loss of a region's endpoints", "lost", "load", "policy", "sent away", "in time, hurt region", "first p99, hurt, ms", "in time, worse of the others", "first p99, worse of the others, ms", "cold prefills", "prompt tokens computed", "not run", "unknown")
	for _, l := range losses {
		if b.skips(l.String()) {
			continue
		}
		for seed := range b.seeds {
			for _, policy := range settings.BorrowingPolicies {
				rec, err := b.regionsOnce(ctx, policy, l, uint64(seed+1))
				if err != nil {
					return err
				}
				r.record(policy+" "+l.String(), rec)
			}
		}
		for _, policy := range settings.BorrowingPolicies {
			regionsRow(r, t, l, policy)
		}
	}
	return nil
}

func (b *bench) regionsOnce(ctx context.Context, policy string, l loss, seed uint64) (*load.Record, error) {
	w, err := b.start(regionsPlan(policy))
	if err != nil {
		return nil, err
	}
	defer w.close()
	lose := time.AfterFunc(loseAt, func() { w.loseEndpoints(hurt, l.count) })
	defer lose.Stop()
	return w.send(ctx, load.Options{
		Seed:     seed,
		Rate:     l.rate(),
		Duration: regionFor,
		WarmUp:   regionWarmUp,
		Mix: load.Mix{
			Name:  "chat",
			Kinds: []load.Kind{routingKind()},
		},
	})
}

// loseEndpoints ends engines of a region and lets the list follow. The list
// keeps them as leaving, as a platform would until they are replaced.
func (w *world) loseEndpoints(region string, count int) {
	for _, e := range w.EndpointsServing(model) {
		if e.Fleet.Region != region || count == 0 {
			continue
		}
		count--
		e.Kill()
		e.Fleet.State = fleet.StateLeaving
	}
	time.Sleep(listLag)
	_ = w.PublishFleetList()
}

func regionsRow(r *report, t *table, l loss, policy string) {
	name := policy + " " + l.String()
	own := func(pick func(load.Latency) float64) spread {
		return r.over(name, func(rec *load.Record) float64 { return pick(load.FindLatency(rec.Origins, hurt)) })
	}
	others := func(pick func(load.Latency) float64, worse func(a, b float64) float64) spread {
		return r.over(name, func(rec *load.Record) float64 {
			return worse(pick(load.FindLatency(rec.Origins, regionNames[1])), pick(load.FindLatency(rec.Origins, regionNames[2])))
		})
	}
	first := func(l load.Latency) float64 { return millis(l.First.P99.Duration) }
	t.row(l.name, l.percent(), policy,
		r.over(name, func(rec *load.Record) float64 { return rec.SentAwayShare }).format("%.3f"),
		own(shareInTime).format("%.3f"),
		own(first).format("%.0f"),
		others(shareInTime, lower).format("%.3f"),
		others(first, higher).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.ColdPrefills()) }).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.ComputedTokens()) }).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.NotRun) }).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.Unknown) }).format("%.0f"))
}

func lower(a, b float64) float64  { return min(a, b) }
func higher(a, b float64) float64 { return max(a, b) }
