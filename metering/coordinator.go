package metering

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/route"
)

const (
	// evenPart is the part of a limit that regions share evenly, so that each can
	// begin to serve a workspace at once; the rest follows what callers ask for.
	evenPart = 0.3
	// scarceBelow is how full the buckets are at least of a limit that is not scarce.
	scarceBelow = 0.25
	// enoughPart is the part of its buckets from which a call of any size is admitted. A
	// larger one leaves a debt: else a few large calls in a row are refused though the
	// workspace is far below its limit.
	enoughPart = 0.2
	// demandGoodFor is how long another region's word counts while it is in reach.
	demandGoodFor = 10 * time.Second
)

// kept is a limit that this VM keeps for its region.
type kept struct {
	workspace *route.Workspace
	// asked is what callers of the region ask for.
	asked rate
	// told is what other regions were last told of that, at toldAt.
	told   float64
	toldAt time.Time
	// far is what other regions said, and heard what each of them last answered to have
	// been told. The own part counts no more than all others have heard, so that the
	// parts follow from the same numbers everywhere, also while regions are parted.
	far   map[string]demand
	heard map[string]float64
}

// demand is what another region said that its callers ask for.
type demand struct {
	perSecond float64
	at        time.Time
}

func (m *Meter) keep(w *route.Workspace) *kept {
	k := m.kept[w.Name]
	if k == nil {
		k = &kept{
			far:   make(map[string]demand),
			heard: make(map[string]float64),
		}
		m.kept[w.Name] = k
	}
	k.workspace = w
	return k
}

// takeKept admits or refuses a call of a workspace that this VM keeps.
func (m *Meter) takeKept(w *route.Workspace, cost float64, f Fleet, now time.Time) Verdict {
	k := m.keep(w)
	k.asked.add(cost, now)
	return m.takeFrom(w, m.share(k, f, now), cost, now)
}

// charge takes a cost that was admitted already, and reports whether the limit is scarce.
func (m *Meter) charge(w *route.Workspace, cost float64, f Fleet, now time.Time) (scarce bool) {
	k := m.keep(w)
	if cost > 0 {
		k.asked.add(cost, now)
	}
	return m.ledger.Charge(m.request(w, m.share(k, f, now), cost, now), now) < scarceBelow
}

// share is the part of a limit that this VM keeps: the region's, by as many of the
// region's VMs as it reaches. The rest is kept by the others, in as many parts as the
// region may have fallen into.
func (m *Meter) share(k *kept, f Fleet, now time.Time) float64 {
	return m.census.Part(now) * m.part(k, f, now)
}

// part is the region's part of a limit. Those of all regions add up to 1 wherever
// they hold the same numbers.
func (m *Meter) part(k *kept, f Fleet, now time.Time) float64 {
	regions := float64(max(len(m.options.Regions), 1))
	least := m.leastDemand()
	own := k.counted() + least
	sum := own
	for _, region := range m.options.Regions {
		if region != m.options.Region {
			sum += least + k.demandOf(region, own-least, len(f.Far[region]) > 0, now)
		}
	}
	if sum <= 0 {
		return 1 / regions
	}
	return evenPart/regions + (1-evenPart)*own/sum
}

// leastDemand is what each region counts as asking for at least. What a few calls
// of a small workspace ask for says little of the next ones, so that a limit which is
// small against the tolerated amount is shared almost evenly.
func (m *Meter) leastDemand() float64 {
	t := m.options.Tolerance
	if t.Window <= 0 {
		return 0
	}
	return t.Amount / t.Window.Seconds()
}

// counted is what the region asks for, as far as all others know.
func (k *kept) counted() float64 {
	least := k.told
	for _, heard := range k.heard {
		least = min(least, heard)
	}
	return least
}

// demandOf is what another region asks for. One out of reach keeps what it asked for
// last, and one that was not heard yet counts as one that asks for as much as this one.
func (k *kept) demandOf(region string, own float64, reached bool, now time.Time) float64 {
	d, heard := k.far[region]
	switch {
	case !heard:
		return own
	case reached && now.Sub(d.at) > demandGoodFor:
		return 0
	default:
		return d.perSecond
	}
}
