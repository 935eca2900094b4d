// Package metering holds the limits of workspaces over all VMs without shared state.
//
// In each region one VM by rank keeps the region's part of a workspace's limit in
// token buckets. The other VMs admit calls at once, tell the keeper soon after what
// they admitted, and are told in return whether the limit is scarce. While it is, each
// call is asked for before it is admitted. Regions move their parts by what their
// callers ask for, and keep them while they cannot reach each other.
//
// The package imports no network and no clock. The methods of a Meter may be called
// from any goroutine.
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
	// unsentPart is the part of what a limit's buckets hold that all VMs together may
	// have admitted without having told.
	unsentPart = 0.5
	// noteWithin is when a use is told at the latest.
	noteWithin = 3 * time.Second
	// scarceFor is how long a keeper's word that a limit is scarce counts.
	scarceFor = 3 * time.Second
	// keeperLostFor is how long a keeper that did not answer is not asked again.
	keeperLostFor = 500 * time.Millisecond
)

// Options set up a Meter. Every field is required but Tolerance.
type Options struct {
	VM     string
	Region string
	// Regions are all regions of the deployment.
	Regions   []string
	Tolerance Tolerance
	// StartedAt is when the process started: what its earlier life admitted is not known.
	StartedAt time.Time
}

// Tolerance is by how much the operators let limits be exceeded, as no VM knows all
// others' use: in each window by a part of what the limit allows in it, and by an
// amount besides, in the limit's unit.
type Tolerance struct {
	Window time.Duration
	Part   float64
	Amount float64
}

// of returns by how much a limit may be exceeded in a window.
func (t Tolerance) of(l route.Limit) float64 {
	return t.Part*(l.PerSecond*t.Window.Seconds()+l.Burst) + t.Amount
}

// Fleet is what this VM knows of the others.
type Fleet struct {
	// Near are the VMs of the own region in reach, this one included.
	Near []fleet.VM
	// Known is how many VMs of the own region are not known to be gone.
	Known int
	// Far are those in reach of the other regions.
	Far map[string][]fleet.VM
}

// Verdict says what becomes of a call.
type Verdict struct {
	// Refusal is nil for a call that is admitted.
	Refusal *result.Refusal
	// Keeper is set where that VM decides.
	Keeper *fleet.VM
}

// Meter is that of one VM.
type Meter struct {
	options Options
	ledger  *limit.Ledger
	// Due is sent to when a note should not wait.
	Due chan struct{}

	mu     sync.Mutex
	census fleet.Census
	uses   map[string]*use
	kept   map[string]*kept
	// lost are the keepers that did not answer, with the time until which they are not asked.
	lost map[string]time.Time
	// sweptAt is when the ledger last forgot workspaces without calls.
	sweptAt time.Time
}

// use is what this VM admitted of a workspace that another one keeps.
type use struct {
	workspace *route.Workspace
	// usedAt is when the workspace last had a call here.
	usedAt time.Time
	// unsent was not told yet, since unsentSince.
	unsent      float64
	unsentSince time.Time
	scarceUntil time.Time
	// comeBackAt is when a call of refused or more would be admitted.
	refused    float64
	comeBackAt time.Time
}

// New makes a Meter that knows of no use.
func New(o Options) *Meter {
	return &Meter{
		options: o,
		ledger:  limit.New(limit.Options{}),
		Due:     make(chan struct{}, 1),
		census: fleet.Census{
			StartedAt: o.StartedAt,
		},
		uses: make(map[string]*use),
		kept: make(map[string]*kept),
		lost: make(map[string]time.Time),
	}
}

// Take admits a call of a cost, refuses it, or names the VM that decides.
func (m *Meter) Take(w *route.Workspace, cost float64, f Fleet, now time.Time) Verdict {
	if w.Limit.IsZero() || cost <= 0 {
		return Verdict{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learn(f, now)
	keeper := m.keeper(w.Name, f)
	if keeper.ID == m.options.VM {
		return m.takeKept(w, cost, f, now)
	}
	if now.Before(m.lost[keeper.ID]) {
		return m.takeAlone(w, cost, now)
	}
	u := m.use(w)
	u.usedAt = now
	if now.Before(u.comeBackAt) && cost >= u.refused {
		return Verdict{
			Refusal: refusal(w).Until(u.comeBackAt),
		}
	}
	most := m.mostUnsent(w, f)
	if now.Before(u.scarceUntil) || u.unsent+cost > most {
		return Verdict{
			Keeper: &keeper,
		}
	}
	u.admit(cost, now)
	if 2*u.unsent >= most {
		m.hurry()
	}
	return Verdict{}
}

// mostUnsent is what this VM may have admitted of a limit without having told its
// keeper. Single calls may be more, and are asked for.
func (m *Meter) mostUnsent(w *route.Workspace, f Fleet) float64 {
	return unsentPart * m.capacity(w.Limit) / float64(max(len(f.Near)*len(m.options.Regions), 1))
}

// capacity is what the buckets of all regions together hold of a limit.
func (m *Meter) capacity(l route.Limit) float64 {
	return l.Burst + savedPart*m.options.Tolerance.of(l)
}

// hurry has notes sent at once.
func (m *Meter) hurry() {
	select {
	case m.Due <- struct{}{}:
	default:
	}
}

// alonePart is the part of an even share by which a VM admits whose keeper does not
// answer: the keeper may serve on, out of this VM's reach.
const alonePart = 0.5

// TakeAlone decides on a call whose keeper did not answer, by this VM's own part.
func (m *Meter) TakeAlone(w *route.Workspace, keeper fleet.VM, cost float64, now time.Time) Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost[keeper.ID] = now.Add(keeperLostFor)
	return m.takeAlone(w, cost, now)
}

func (m *Meter) takeAlone(w *route.Workspace, cost float64, now time.Time) Verdict {
	share := alonePart / float64(max(len(m.options.Regions), 1)*m.census.VMs(now))
	return m.takeFrom(w, share, cost, now)
}

// takeFrom admits or refuses a call from this VM's buckets with a share of the limit.
func (m *Meter) takeFrom(w *route.Workspace, share, cost float64, now time.Time) Verdict {
	enough := min(cost, enoughPart*share*m.capacity(w.Limit))
	if _, refused := m.ledger.Take(m.request(w, share, enough, now), now); refused != nil {
		return Verdict{
			Refusal: refused,
		}
	}
	if cost > enough {
		m.ledger.Charge(m.request(w, share, cost-enough, now), now)
	}
	return Verdict{}
}

// Answered takes the keeper's verdict on a call that it was asked for.
func (m *Meter) Answered(w *route.Workspace, cost float64, a Answer) Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.use(w)
	u.take(a)
	if a.Admitted {
		return Verdict{}
	}
	u.refused = cost
	u.comeBackAt = a.ComeBackAt
	return Verdict{
		Refusal: refusal(w).Until(a.ComeBackAt),
	}
}

func (u *use) take(a Answer) {
	u.scarceUntil = time.Time{}
	if a.Scarce {
		u.scarceUntil = a.At.Add(scarceFor)
	}
}

// GiveBack returns the cost of a call that was admitted and certainly did not run.
func (m *Meter) GiveBack(w *route.Workspace, cost float64, f Fleet, now time.Time) {
	if w.Limit.IsZero() || cost <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.keeper(w.Name, f).ID == m.options.VM {
		m.charge(w, -cost, f, now)
		return
	}
	m.use(w).admit(-cost, now)
}

// admit notes what is yet to be told; a negative amount was given back.
func (u *use) admit(amount float64, now time.Time) {
	if u.unsent == 0 {
		u.unsentSince = now
	}
	u.unsent += amount
}

// learn takes how many VMs the region has.
func (m *Meter) learn(f Fleet, now time.Time) {
	m.census.Learn(len(f.Near), f.Known, now)
}

// keeper is the VM of the region that keeps a workspace's limit. All VMs that reach
// each other agree on it.
func (m *Meter) keeper(workspace string, f Fleet) fleet.VM {
	if keeper, ok := keeperOf(workspace, f.Near); ok {
		return keeper
	}
	return fleet.VM{
		ID: m.options.VM,
	}
}

// keeperGroups is in how many groups workspaces have the same keeper, so that what
// keepers of two regions tell each other goes into few notes.
const keeperGroups = 32

// keeperOf returns the keeper of a workspace among the VMs of a region, if there are any.
func keeperOf(workspace string, vms []fleet.VM) (fleet.VM, bool) {
	return entry.First(entry.Hash(workspace)%keeperGroups, vms)
}

func (m *Meter) use(w *route.Workspace) *use {
	u := m.uses[w.Name]
	if u == nil {
		u = &use{}
		m.uses[w.Name] = u
	}
	u.workspace = w
	return u
}

// request asks the ledger for a share of a workspace's limit.
func (m *Meter) request(w *route.Workspace, share, cost float64, now time.Time) limit.Request {
	r := limit.Request{
		Workspace: w.Name,
		Share:     share,
		Owner:     true,
		Opening:   m.opening(now),
	}
	burst := m.capacity(w.Limit)
	if w.Limit.Unit == route.UnitTokens {
		r.Terms = contract.RegionTerms{TokensPerSecond: w.Limit.PerSecond}
		r.Burst.Tokens = burst
		r.Cost.Tokens = cost
		return r
	}
	r.Terms = contract.RegionTerms{RequestsPerSecond: w.Limit.PerSecond}
	r.Burst.Requests = burst
	r.Cost.Requests = cost
	return r
}

const (
	// savedPart is the part of the tolerance that is saved up beyond the burst, so that
	// calls are not refused because a limit is kept in parts. The rest is for times in
	// which VMs know too little of each other.
	savedPart = 0.5
	// opening is the part of its buckets that a keeper begins with that took over: the
	// one before may have given out all, and has the rest.
	opening = 0.25
)

// opening returns how full buckets begin that this VM keeps from now on. They are full
// where it would have kept them for a whole window and nobody asked.
func (m *Meter) opening(now time.Time) float64 {
	whole := max(m.options.Tolerance.Window, fleet.StartsFor)
	return min(1, max(opening, m.census.SteadyFor(now).Seconds()/whole.Seconds()))
}

func refusal(w *route.Workspace) *result.Refusal {
	if w.Limit.Unit == route.UnitTokens {
		return result.Refuse(result.LimitTokens, "the workspace's tokens per second are used up")
	}
	return result.Refuse(result.LimitRequests, "the workspace's requests per second are used up")
}
