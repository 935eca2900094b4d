package fairshare

import (
	"cmp"
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

// division is how the capacity of a service is divided between the workspaces of the region.
type division struct {
	// level is the max-min fair level for each unit of weight.
	level float64
	// defaultWeight is the weight of workspaces without a published rate.
	defaultWeight float64
	// competing is the number of workspaces with more than a negligible demand.
	competing int
	// remote is the demand of workspaces on the other VMs of the region.
	remote map[string]float64
	// bursts is the demand in the region of workspaces whose demand has just changed.
	bursts map[string]float64
}

// verdict decides on a call of a workspace with the given demand on this VM and published
// rate.
func (d *division) verdict(a Arrival, local, within, rate float64) call.FairShare {
	if d.competing < 2 {
		return call.NoShare
	}
	demand := Demand{
		Amount: local + d.remote[a.Workspace],
		Weight: d.weight(rate),
	}
	if burst, ok := d.bursts[a.Workspace]; ok {
		demand.Amount = burst
	}
	share := demand.Share(d.level)
	part := share / demand.Amount
	if allowed := part * local; within > allowed {
		// What was within before the burst was seen still waits at the engines.
		part *= allowed / within
	}
	if demand.Amount <= noiseRatio*share || a.Draw < part {
		return call.WithinShare
	}
	return call.AboveShare
}

func (d *division) weight(rate float64) float64 {
	if rate > 0 {
		return rate
	}
	return d.defaultWeight
}

// workspaceDemand is the demand of a workspace in the region, and its published rate or zero.
type workspaceDemand struct {
	amount float64
	rate   float64
	change change
}

// divide divides the capacity of the region, as far as this VM knows it.
func (s *service) divide(regionVMs int, now time.Time) division {
	s.expirePeers(now)
	out := division{
		remote: make(map[string]float64),
		bursts: make(map[string]float64),
	}
	byWorkspace := make(map[string]workspaceDemand, len(s.table.entries))
	total := s.table.decay.perSecond(s.table.total, now)
	served := s.table.decay.perSecond(s.table.served, now)
	recentServed := s.table.recent.perSecond(s.table.recentServed, now)
	listed := 0.0
	for i := range s.table.entries {
		e := &s.table.entries[i]
		amount := s.table.decay.perSecond(e.own(), now)
		listed += amount
		w := workspaceDemand{
			amount: amount,
			rate:   s.resolve(e.limit),
		}
		w.change.add(s.table.recent.perSecond(e.recent, now), amount, s.table.usualRate(e, now), 1, 0)
		byWorkspace[e.workspace] = w
	}
	weights := s.peerWeights(regionVMs, now)
	recentWeights := s.recentWeights(weights, now)
	for vm, scale := range weights {
		p := s.peers[vm]
		total += scale * p.total()
		served += scale * p.Served
		recentServed += scale * cmp.Or(p.RecentServed, p.Served)
		for _, r := range p.Demands {
			listed += scale * r.PerSecond
			out.remote[r.Workspace] += scale * r.PerSecond
			w := byWorkspace[r.Workspace]
			w.amount += scale * r.PerSecond
			w.rate = s.resolve(r.Limit)
			w.change.add(cmp.Or(r.Recent, r.PerSecond), r.PerSecond, r.PerSecond, recentWeights[vm], now.Sub(p.At))
			byWorkspace[r.Workspace] = w
		}
	}
	perCall := s.meanAmount() / recentWindow.Seconds()
	for name, w := range byWorkspace {
		if demand := w.change.demand(w.amount, perCall); demand != w.amount {
			out.bursts[name] = demand
			total += demand - w.amount
			listed += demand - w.amount
			w.amount = demand
			byWorkspace[name] = w
		}
	}
	// Engines that were not busy before a burst serve more than the mean says.
	served = max(served, recentServed)
	out.defaultWeight = meanRate(byWorkspace, leastPart*total)
	demands := make([]Demand, 0, len(byWorkspace)+1)
	for _, w := range byWorkspace {
		if w.amount <= 0 {
			continue
		}
		if w.amount >= leastPart*total {
			out.competing++
		}
		demands = append(demands, Demand{
			Amount: w.amount,
			Weight: out.weight(w.rate),
		})
	}
	if rest := total - listed; rest >= leastPart*total {
		demands = append(demands, restDemand(demands, rest, out.defaultWeight))
		out.competing++
	}
	out.level = Level(demands, usableRatio*served)
	if total <= minExcess*served {
		out.level = math.Inf(1)
	}
	return out
}

// meanRate returns the mean published rate of the workspaces with at least the given
// demand, or 1 if none has a rate.
func meanRate(byWorkspace map[string]workspaceDemand, least float64) float64 {
	sum, count := 0.0, 0.0
	for _, w := range byWorkspace {
		if w.rate > 0 && w.amount >= least {
			sum += w.rate
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / count
}

// restDemand returns the demand of the workspaces that are listed nowhere. None of them is
// heavier than the lightest listed one, so there are at least as many as that would make.
func restDemand(listed []Demand, rest, weight float64) Demand {
	lightest := rest
	for _, d := range listed {
		lightest = min(lightest, d.Amount)
	}
	return Demand{
		Amount: rest,
		Weight: weight * rest / lightest,
	}
}
