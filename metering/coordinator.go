package metering

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/route"
)

const (
	// evenFraction is the fraction of a limit that is split evenly between regions, so
	// that each can serve a workspace immediately; the rest follows demand.
	evenFraction = 0.3
	// scarceFillRatio is the fill level below which a limit counts as scarce.
	scarceFillRatio = 0.25
	// minAdmitFraction is the fill level at which a call of any size is admitted. A larger
	// call leaves a debt; otherwise a few large calls in a row would be refused although
	// the workspace is well below its limit.
	minAdmitFraction = 0.2
	// demandTTL is how long the demand reported by a reachable region stays valid.
	demandTTL = 10 * time.Second
)

// limitState is the state of a limit that this VM coordinates for its region.
type limitState struct {
	workspace *route.Workspace
	// localDemand is the demand of callers in this region.
	localDemand rateEstimate
	// reportedDemand is the local demand last reported to other regions, at reportedAt.
	reportedDemand float64
	reportedAt     time.Time
	// remoteDemand holds the demand reported by each other region, and acknowledgedDemand
	// the local demand that each of them last acknowledged. Local demand counts only up to
	// the lowest acknowledged value, so that all regions compute shares from the same
	// numbers, also during a partition.
	remoteDemand       map[string]regionDemand
	acknowledgedDemand map[string]float64
}

// regionDemand is the demand reported by another region.
type regionDemand struct {
	perSecond float64
	at        time.Time
}

func (m *Meter) limitState(w *route.Workspace) *limitState {
	s := m.limits[w.Name]
	if s == nil {
		s = &limitState{
			remoteDemand:       make(map[string]regionDemand),
			acknowledgedDemand: make(map[string]float64),
		}
		m.limits[w.Name] = s
	}
	s.workspace = w
	return s
}

// takeAsCoordinator admits or refuses a call of a workspace that this VM coordinates.
func (m *Meter) takeAsCoordinator(w *route.Workspace, cost float64, f Fleet, now time.Time) Verdict {
	s := m.limitState(w)
	s.localDemand.add(cost, now)
	return m.takeShare(w, m.vmShare(s, f, now), m.initialFill(now), cost, now)
}

// charge records a cost that was already admitted, and reports whether the limit is
// scarce.
func (m *Meter) charge(w *route.Workspace, cost float64, f Fleet, now time.Time) (scarce bool) {
	s := m.limitState(w)
	if cost > 0 {
		s.localDemand.add(cost, now)
	}
	return m.ledger.Charge(m.request(w, m.vmShare(s, f, now), cost, now), now) < scarceFillRatio
}

// vmShare returns this VM's share of a limit: the region's share, scaled by the fraction
// of the region's VMs that it reaches. Coordinators in other partitions of the region hold
// the rest.
//
// A VM that started while it was cut off may not know of the rest. Each seed is in one
// partition only, so the regions that it reaches share at most the fraction of the limit
// that the seeds are which it has heard of. Until it has heard of any VM, or the startup
// period has passed, the number of VMs that it then assumes bounds its share.
func (m *Meter) vmShare(s *limitState, f Fleet, now time.Time) float64 {
	own, reached := m.regionShares(s, f, now)
	return own * m.knownFraction(f, reached, now)
}

// knownFraction returns the fraction of the region's share that this partition may use, given
// the sum of the shares of all regions that this VM reaches.
func (m *Meter) knownFraction(f Fleet, reached float64, now time.Time) float64 {
	fraction := m.census.ReachableShare(now)
	if m.knowsNoVM(f, now) {
		return fraction
	}
	return fraction * min(1, (1-f.UnheardSeeds)/reached)
}

// knowsNoVM reports whether this VM has just started and has not heard of any other one.
func (m *Meter) knowsNoVM(f Fleet, now time.Time) bool {
	return len(f.Local) <= 1 && len(f.Remote) == 0 && now.Sub(m.options.StartedAt) < fleet.StartupPeriod
}

// regionShares returns the region's share of a limit, and that of all regions that this VM
// reaches. The shares of all regions sum to 1 if they know the same demand values.
func (m *Meter) regionShares(s *limitState, f Fleet, now time.Time) (own, reached float64) {
	regions := float64(max(len(m.options.Regions), 1))
	minimum := m.minDemand()
	local := s.agreedDemand() + minimum
	sum, demandReached, countReached := local, local, 1.0
	for _, region := range m.options.Regions {
		if region == m.options.Region {
			continue
		}
		isReached := len(f.Remote[region]) > 0
		demand := minimum + s.demandOf(region, local-minimum, isReached, now)
		sum += demand
		if isReached {
			demandReached += demand
			countReached++
		}
	}
	if sum <= 0 {
		return 1 / regions, countReached / regions
	}
	share := func(count, demand float64) float64 {
		return evenFraction*count/regions + (1-evenFraction)*demand/sum
	}
	return share(1, local), share(countReached, demandReached)
}

// minDemand returns the minimum demand assumed for each region. A few calls of a small
// workspace predict little, so a limit that is small compared with the tolerated amount is
// shared almost evenly.
func (m *Meter) minDemand() float64 {
	t := m.options.Tolerance
	if t.Window <= 0 {
		return 0
	}
	return t.Amount / t.Window.Seconds()
}

// agreedDemand returns the local demand that all other regions have acknowledged.
func (s *limitState) agreedDemand() float64 {
	agreed := s.reportedDemand
	for _, acknowledged := range s.acknowledgedDemand {
		agreed = min(agreed, acknowledged)
	}
	return agreed
}

// demandOf returns the demand of another region. An unreachable region keeps its last
// reported demand; one that has not reported yet is assumed to have the same demand as
// this region.
func (s *limitState) demandOf(region string, local float64, reached bool, now time.Time) float64 {
	d, reported := s.remoteDemand[region]
	switch {
	case !reported:
		return local
	case reached && now.Sub(d.at) > demandTTL:
		return 0
	default:
		return d.perSecond
	}
}
