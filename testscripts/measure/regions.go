package main

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/settings"
	"github.com/fuchsianotch/fuchsianotch/standin/load"
)

const (
	regionVMs      = 2
	regionReplicas = 4
	regionLoad     = 0.6
	regionFor      = 18 * time.Second
	regionWarmUp   = 6 * time.Second
	// loseAt is when endpoints end; the list follows after listLag.
	loseAt  = 3 * time.Second
	listLag = time.Second
	// hurt is the region that loses endpoints.
	hurt = "east"
)

var regionNames = []string{hurt, "west", "mid"}

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
	k := routingKind()
	rate := regionLoad * regionReplicas * admissionSlots / (float64(k.MaxTokens) * admissionStep.Seconds() * batchCost) * float64(len(regionNames))
	r.note("Three regions of %d VMs and %d engines of %d slots; each region's own load is %.0f%% of its slots, %.0f calls a second over all. At %v the region %q loses half or all of its engines by a kill, which the list tells %v later. Counted from %v on.", regionVMs, regionReplicas, admissionSlots, 100*regionLoad, rate, loseAt, hurt, listLag, regionWarmUp)
	r.note("Links add no delay on loopback; the published 30 ms one way only enters the decision. Every contract lets all its work go to all regions.")
	t := r.table("Loss of a region's endpoints", "lost", "policy", "sent away", "in time, hurt region", "first p99, hurt, ms", "in time, worse of the others", "first p99, worse of the others, ms", "cold prefills", "prompt tokens computed", "not run", "unknown")
	for _, lost := range []struct {
		name  string
		count int
	}{
		{
			name:  "half",
			count: regionReplicas / 2,
		},
		{
			name:  "all",
			count: regionReplicas,
		},
	} {
		if b.skips(lost.name) {
			continue
		}
		for seed := range b.seeds {
			for _, policy := range settings.BorrowingPolicies {
				rec, err := b.regionsOnce(ctx, policy, lost.count, uint64(seed+1), rate)
				if err != nil {
					return err
				}
				r.record(policy+" "+lost.name, rec)
			}
		}
		for _, policy := range settings.BorrowingPolicies {
			regionsRow(r, t, lost.name, policy)
		}
	}
	return nil
}

func (b *bench) regionsOnce(ctx context.Context, policy string, lost int, seed uint64, rate float64) (*load.Record, error) {
	w, err := b.start(regionsPlan(policy))
	if err != nil {
		return nil, err
	}
	defer w.close()
	lose := time.AfterFunc(loseAt, func() { w.loseEndpoints(hurt, lost) })
	defer lose.Stop()
	return w.send(ctx, load.Options{
		Seed:     seed,
		Rate:     rate,
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
	for _, e := range w.EndpointsOf(model) {
		if e.Fleet.Region != region || count == 0 {
			continue
		}
		count--
		e.Kill()
		e.Fleet.State = fleet.StateLeaving
	}
	time.Sleep(listLag)
	_ = w.PublishList()
}

func regionsRow(r *report, t *table, lost, policy string) {
	name := policy + " " + lost
	own := func(pick func(load.Latency) float64) spread {
		return r.over(name, func(rec *load.Record) float64 { return pick(load.Find(rec.Origins, hurt)) })
	}
	others := func(pick func(load.Latency) float64, worse func(a, b float64) float64) spread {
		return r.over(name, func(rec *load.Record) float64 {
			return worse(pick(load.Find(rec.Origins, regionNames[1])), pick(load.Find(rec.Origins, regionNames[2])))
		})
	}
	first := func(l load.Latency) float64 { return millis(l.First.P99.Duration) }
	t.row(lost, policy,
		r.over(name, func(rec *load.Record) float64 { return rec.SentAwayShare }).format("%.3f"),
		own(shareInTime).format("%.3f"),
		own(first).format("%.0f"),
		others(shareInTime, lower).format("%.3f"),
		others(first, higher).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.Cold()) }).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.ComputedTokens()) }).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.NotRun) }).format("%.0f"),
		r.over(name, func(rec *load.Record) float64 { return float64(rec.Unknown) }).format("%.0f"))
}

func lower(a, b float64) float64  { return min(a, b) }
func higher(a, b float64) float64 { return max(a, b) }
