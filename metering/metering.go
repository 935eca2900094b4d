// Package metering enforces workspace limits across all VMs without shared state.
//
// In each region a coordinator, chosen by rendezvous hashing, holds the region's share of
// a workspace's limit in token buckets. The other VMs admit calls immediately, report the
// usage to the coordinator shortly afterwards, and learn from its answers whether the
// limit is scarce. While it is, they ask the coordinator before admitting each call.
// Regions adjust their shares to the demand of their callers, and keep them while they
// cannot reach each other.
//
// The package has no network or clock dependencies. A Meter is safe for concurrent use.
package metering

import (
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/route"
)

const (
	// unreportedFraction is the fraction of a limit's bucket capacity that all VMs
	// together may have admitted without reporting it.
	unreportedFraction = 0.5
	// maxReportDelay is the maximum time until usage is reported.
	maxReportDelay = 3 * time.Second
	// scarceTTL is how long a limit is treated as scarce after the coordinator said so.
	scarceTTL = 3 * time.Second
	// coordinatorRetryDelay is how long a coordinator that did not answer is not
	// contacted.
	coordinatorRetryDelay = 500 * time.Millisecond
	// noShareRetryDelay is when a call is tried again that came before a VM had heard of a
	// seed: a VM that starts asks the seeds several times a second.
	noShareRetryDelay = 500 * time.Millisecond
)

// Options configures a Meter. All fields except Tolerance are required.
type Options struct {
	VM     string
	Region string
	// Regions lists all regions of the deployment.
	Regions   []string
	Tolerance Tolerance
	// StartedAt is the start time of the process. Usage admitted by an earlier process is
	// unknown.
	StartedAt time.Time
}

// Tolerance is how far usage may exceed a limit, since no VM knows the current usage of
// all others. In each window the excess may be Fraction of what the limit allows, plus Amount
// in the limit's unit.
type Tolerance struct {
	Window   time.Duration
	Fraction float64
	Amount   float64
}

// of returns how far a limit may be exceeded in one window.
func (t Tolerance) of(l route.Limit) float64 {
	return t.Fraction*(l.PerSecond*t.Window.Seconds()+l.Burst) + t.Amount
}

// Fleet is this VM's view of the other VMs.
type Fleet struct {
	// Local lists the reachable VMs of this region, including this one.
	Local []fleet.VM
	// Known is the number of VMs of this region that are not known to be gone.
	Known int
	// Past is how many VMs of this region others knew before this one started.
	Past fleet.PastSize
	// UnheardSeeds is the fraction of the seeds of the whole fleet of which nothing has been
	// heard since the start; zero once the size of the fleet is known.
	UnheardSeeds float64
	// Remote lists the reachable VMs of each other region.
	Remote map[string][]fleet.VM
}

// Verdict is the decision on a call.
type Verdict struct {
	// Refusal is nil if the call is admitted.
	Refusal *result.Refusal
	// Coordinator is the coordinator that must be asked to decide; nil if the decision is
	// final.
	Coordinator *fleet.VM
}

// Meter enforces workspace limits on one VM.
type Meter struct {
	options Options
	ledger  *limit.Ledger
	// Due receives a value when notes should be sent immediately.
	Due chan struct{}

	mu     sync.Mutex
	census fleet.SizeEstimate
	usage  map[string]*unreportedUsage
	limits map[string]*limitState
	// unreachable maps coordinators that did not answer to the time of the next attempt.
	unreachable map[string]time.Time
	// sweptAt is when idle accounts were last removed from the ledger.
	sweptAt time.Time
}

// unreportedUsage is what this VM admitted for a workspace that another VM coordinates.
type unreportedUsage struct {
	workspace *route.Workspace
	// lastCallAt is when this VM last received a call of the workspace.
	lastCallAt time.Time
	// amount is the unreported usage, accumulated since amountSince.
	amount      float64
	amountSince time.Time
	scarceUntil time.Time
	// unasked is what this VM admitted by its own share since it last had a coordinator.
	unasked float64
	// refusedCost is the cost of the last refused call, and retryAt when it would be
	// admitted.
	refusedCost float64
	retryAt     time.Time
}

// New returns a Meter without recorded usage.
func New(o Options) *Meter {
	return &Meter{
		options: o,
		ledger:  limit.New(limit.Options{}),
		Due:     make(chan struct{}, 1),
		census: fleet.SizeEstimate{
			StartedAt: o.StartedAt,
		},
		usage:       make(map[string]*unreportedUsage),
		limits:      make(map[string]*limitState),
		unreachable: make(map[string]time.Time),
	}
}

// Take admits or refuses a call, or names the coordinator that must decide.
func (m *Meter) Take(w *route.Workspace, cost float64, f Fleet, now time.Time) Verdict {
	if w.Limit.IsUnlimited() || cost <= 0 {
		return Verdict{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateCensus(f, now)
	coordinator := m.coordinator(w.Name, f)
	if coordinator.ID == m.options.VM {
		verdict := m.takeAsCoordinator(w, cost, f, now)
		if m.knowsNoVM(f, now) {
			m.countUnasked(w, cost, verdict)
		}
		return verdict
	}
	if now.Before(m.unreachable[coordinator.ID]) {
		return m.takeFallback(w, cost, f, now)
	}
	u := m.usageOf(w)
	u.lastCallAt = now
	m.reportUnasked(u, f, now)
	if now.Before(u.retryAt) && cost >= u.refusedCost {
		return Verdict{
			Refusal: refusal(w).WithRetryAt(u.retryAt),
		}
	}
	maxAmount := m.maxUnreported(w, f, now)
	if now.Before(u.scarceUntil) || u.amount+cost > maxAmount {
		return Verdict{
			Coordinator: &coordinator,
		}
	}
	u.add(cost, now)
	if 2*u.amount >= maxAmount {
		m.signalDue()
	}
	return Verdict{}
}

// maxUnreported returns how much of a limit this VM may admit before reporting it. Calls
// that would exceed it are sent to the coordinator. VMs in other partitions have their part
// of it.
func (m *Meter) maxUnreported(w *route.Workspace, f Fleet, now time.Time) float64 {
	regions := float64(max(len(m.options.Regions), 1))
	inFleet := m.knownFraction(f, float64(1+len(f.Remote))/regions, now) / float64(max(len(f.Local), 1))
	return unreportedFraction * m.capacity(w.Limit) * inFleet / regions
}

// capacity returns the total bucket capacity of all regions for a limit.
func (m *Meter) capacity(l route.Limit) float64 {
	return l.Burst + savedToleranceFraction*m.options.Tolerance.of(l)
}

// signalDue requests that notes are sent immediately.
func (m *Meter) signalDue() {
	select {
	case m.Due <- struct{}{}:
	default:
	}
}

// fallbackFraction is the fraction of an even share that a VM uses while its coordinator
// does not answer. The coordinator may still be serving other VMs.
const fallbackFraction = 0.5

// TakeFallback decides on a call whose coordinator did not answer, from this VM's fallback
// share.
func (m *Meter) TakeFallback(w *route.Workspace, coordinator fleet.VM, cost float64, f Fleet, now time.Time) Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable[coordinator.ID] = now.Add(coordinatorRetryDelay)
	return m.takeFallback(w, cost, f, now)
}

func (m *Meter) takeFallback(w *route.Workspace, cost float64, f Fleet, now time.Time) Verdict {
	share := (1 - f.UnheardSeeds) * fallbackFraction / float64(max(len(m.options.Regions), 1)*m.census.VMs(now))
	verdict := m.takeShare(w, share, minInitialFill, cost, now)
	m.countUnasked(w, cost, verdict)
	return verdict
}

// countUnasked counts a call that was admitted without the coordinator.
func (m *Meter) countUnasked(w *route.Workspace, cost float64, v Verdict) {
	if v.Refusal == nil {
		m.usageOf(w).unasked += cost
	}
}

// reportUnasked makes the usage admitted without the coordinator due to be reported while the
// fleet may be partitioned: a call of any size fits, and the VMs of all partitions that start
// together would exceed the limit by one call each. Otherwise the tolerance covers it.
func (m *Meter) reportUnasked(u *unreportedUsage, f Fleet, now time.Time) {
	if u.unasked > 0 && f.UnheardSeeds > 0 {
		u.add(u.unasked, now)
		m.signalDue()
	}
	u.unasked = 0
}

// takeShare admits or refuses a call from this VM's buckets, with the given share of the
// limit. New buckets are filled to initialFill.
func (m *Meter) takeShare(w *route.Workspace, share, initialFill, cost float64, now time.Time) Verdict {
	if share <= 0 {
		return Verdict{
			Refusal: result.Refuse(result.LimitNoShare, "this VM has not heard of a seed since its start").WithRetryAt(now.Add(noShareRetryDelay)),
		}
	}
	upfront := min(cost, minAdmitFraction*share*m.capacity(w.Limit))
	r := m.request(w, share, upfront, now)
	r.InitialFill = initialFill
	if _, refusal := m.ledger.Take(r, now); refusal != nil {
		return Verdict{
			Refusal: refusal,
		}
	}
	if cost > upfront {
		m.ledger.Charge(m.request(w, share, cost-upfront, now), now)
	}
	return Verdict{}
}

// ApplyAnswer applies the coordinator's decision on a call.
func (m *Meter) ApplyAnswer(w *route.Workspace, cost float64, a Answer) Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.usageOf(w)
	u.applyAnswer(a)
	if a.Admitted {
		return Verdict{}
	}
	u.refusedCost = cost
	u.retryAt = a.RetryAt
	return Verdict{
		Refusal: refusal(w).WithRetryAt(a.RetryAt),
	}
}

func (u *unreportedUsage) applyAnswer(a Answer) {
	u.scarceUntil = time.Time{}
	if a.Scarce {
		u.scarceUntil = a.At.Add(scarceTTL)
	}
}

// Refund refunds the cost of an admitted call that is known not to have run.
func (m *Meter) Refund(w *route.Workspace, cost float64, f Fleet, now time.Time) {
	if w.Limit.IsUnlimited() || cost <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.coordinator(w.Name, f).ID == m.options.VM {
		m.charge(w, -cost, f, now)
		if u := m.usage[w.Name]; u != nil {
			u.unasked = max(u.unasked-cost, 0)
		}
		return
	}
	m.usageOf(w).add(-cost, now)
}

// add records usage to report; a negative amount is a refund.
func (u *unreportedUsage) add(amount float64, now time.Time) {
	if u.amount == 0 {
		u.amountSince = now
	}
	u.amount += amount
}

// updateCensus records the number of VMs in the region.
func (m *Meter) updateCensus(f Fleet, now time.Time) {
	m.census.Observe(len(f.Local), f.Known, now)
	m.census.Learn(f.Past, now)
}

// coordinator returns the VM of the region that coordinates a workspace's limit. VMs with
// the same view of the region agree on it.
func (m *Meter) coordinator(workspace string, f Fleet) fleet.VM {
	if vm, ok := coordinatorOf(workspace, f.Local); ok {
		return vm
	}
	return fleet.VM{
		ID: m.options.VM,
	}
}

// coordinatorGroups is the number of groups of workspaces that share a coordinator.
// Grouping lets the coordinators of two regions exchange few notes.
const coordinatorGroups = 32

// coordinatorOf returns the coordinator of a workspace among the VMs of a region, and
// false if there are none.
func coordinatorOf(workspace string, vms []fleet.VM) (fleet.VM, bool) {
	return entry.HighestRanked(entry.Hash(workspace)%coordinatorGroups, vms)
}

func (m *Meter) usageOf(w *route.Workspace) *unreportedUsage {
	u := m.usage[w.Name]
	if u == nil {
		u = &unreportedUsage{}
		m.usage[w.Name] = u
	}
	u.workspace = w
	return u
}

// request returns the ledger request for a share of a workspace's limit.
func (m *Meter) request(w *route.Workspace, share, cost float64, now time.Time) limit.Request {
	r := limit.Request{
		Workspace:   w.Name,
		Share:       share,
		Owner:       true,
		InitialFill: m.initialFill(now),
	}
	burst := m.capacity(w.Limit)
	if w.Limit.Unit == route.UnitTokens {
		r.Terms = contract.RegionLimits{TokensPerSecond: w.Limit.PerSecond}
		r.Burst.Tokens = burst
		r.Cost.Tokens = cost
		return r
	}
	r.Terms = contract.RegionLimits{RequestsPerSecond: w.Limit.PerSecond}
	r.Burst.Requests = burst
	r.Cost.Requests = cost
	return r
}

const (
	// savedToleranceFraction is the fraction of the tolerance added to the bucket
	// capacity, so that splitting a limit into shares does not cause refusals. The rest
	// covers times when VMs lack information about each other.
	savedToleranceFraction = 0.5
	// minInitialFill is the fill level of the buckets when a VM takes over as coordinator,
	// since the previous one may have spent its share already, and of the buckets of a VM
	// whose coordinator does not answer, which may spend its own meanwhile.
	minInitialFill = 0.25
)

// initialFill returns the fill level of new buckets. They start full once this VM's view
// of the region has been stable for a whole window.
func (m *Meter) initialFill(now time.Time) float64 {
	window := max(m.options.Tolerance.Window, fleet.StartupPeriod)
	return min(1, max(minInitialFill, m.census.StableFor(now).Seconds()/window.Seconds()))
}

func refusal(w *route.Workspace) *result.Refusal {
	if w.Limit.Unit == route.UnitTokens {
		return result.Refuse(result.LimitTokens, "the workspace's tokens per second are used up")
	}
	return result.Refuse(result.LimitRequests, "the workspace's requests per second are used up")
}
