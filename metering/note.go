package metering

import (
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/route"
)

const (
	// minDemandInterval is the minimum time between demand reports to other regions, and
	// demandRefreshInterval how often an unchanged demand is repeated.
	minDemandInterval     = 250 * time.Millisecond
	demandRefreshInterval = 4 * time.Second
	// minReportedDemand is the fraction of an even share below which demand is not
	// reported: the evenly split part of the limit suffices, and most workspaces need
	// less.
	minReportedDemand = 0.25
	// demandChangeThreshold is the change, as a fraction of an even share, that triggers a
	// report before demandRefreshInterval.
	demandChangeThreshold = 0.15
	// idleTimeout is how long a workspace without calls is remembered.
	idleTimeout = 2 * time.Minute
)

// Note is a message from one VM to another.
type Note struct {
	Usage   []Usage
	Demands []Demand
}

// Usage is usage of a workspace's limit, in the limit's unit.
type Usage struct {
	Workspace string
	// Used is the amount admitted since the last note; negative if refunds exceed it.
	Used float64
	// Requested is the cost of a call to admit now; zero if only usage is reported.
	Requested float64
}

// Demand is the demand of a region's callers.
type Demand struct {
	Region    string
	Workspace string
	PerSecond float64
}

// Answer is the coordinator's answer to a Usage.
type Answer struct {
	// IsCoordinator is false if the receiver does not coordinate the limit.
	IsCoordinator bool
	Admitted      bool
	// RetryAt is when the wanted amount would be admitted.
	RetryAt time.Time
	Scarce  bool
	// At is when the answer was received.
	At time.Time
}

// Reply is the response to a Note.
type Reply struct {
	// Answers are the answers to the uses of the note, in the same order.
	Answers []Answer
	// Demands are the receiver's demand for the workspaces in the note's demands, in the
	// same order.
	Demands []float64
}

// Outgoing is a note with its destination.
type Outgoing struct {
	To   fleet.VM
	Note Note
}

// DueNotes returns the notes that are due. Their usage counts as reported; HandleFailure
// restores it if a note could not be delivered.
func (m *Meter) DueNotes(table *route.Table, f Fleet, now time.Time) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateCensus(f, now)
	var out outbox
	for name, u := range m.usage {
		w, ok := table.Workspace(name)
		m.settleUnasked(name, u, f, now)
		if !ok || (u.amount == 0 && u.unasked == 0 && now.Sub(u.lastCallAt) > idleTimeout) {
			delete(m.usage, name)
			continue
		}
		u.workspace = w
		if u.amount != 0 {
			m.reportUsage(&out, name, u, f, now)
		}
	}
	for name, s := range m.limits {
		if w, ok := table.Workspace(name); ok {
			s.workspace = w
			m.reportDemand(&out, name, s, f, now)
			continue
		}
		delete(m.limits, name)
	}
	if now.Sub(m.sweptAt) > idleTimeout {
		m.sweptAt = now
		m.ledger.Sweep(now)
	}
	return out.notes
}

// settleUnasked reports the usage admitted without the coordinator, unless this VM has become the
// coordinator, whose buckets include it.
func (m *Meter) settleUnasked(name string, u *unreportedUsage, f Fleet, now time.Time) {
	coordinator := m.coordinator(name, f)
	switch {
	case m.knowsNoVM(f, now) || now.Before(m.unreachable[coordinator.ID]):
	case coordinator.ID == m.options.VM:
		u.unasked = 0
	default:
		m.reportUnasked(u, f, now)
	}
}

// reportUsage adds usage to the note for the workspace's coordinator, or charges it
// directly if this VM has become the coordinator.
func (m *Meter) reportUsage(out *outbox, name string, u *unreportedUsage, f Fleet, now time.Time) {
	coordinator := m.coordinator(name, f)
	if now.Before(m.unreachable[coordinator.ID]) {
		return
	}
	used := u.amount
	u.amount = 0
	if coordinator.ID == m.options.VM {
		m.charge(u.workspace, used, f, now)
		return
	}
	note := out.to(coordinator)
	note.Usage = append(note.Usage, Usage{
		Workspace: name,
		Used:      used,
	})
}

// reportDemand adds the local demand to the notes for the coordinators in other regions.
func (m *Meter) reportDemand(out *outbox, name string, s *limitState, f Fleet, now time.Time) {
	if m.coordinator(name, f).ID != m.options.VM || now.Sub(s.reportedAt) < minDemandInterval {
		return
	}
	evenShare := s.workspace.Limit.PerSecond / float64(max(len(m.options.Regions), 1))
	demand := min(s.localDemand.perSecond(now), s.workspace.Limit.PerSecond)
	if demand < max(minReportedDemand*evenShare, m.minDemand()) {
		demand = 0
	}
	changed := math.Abs(demand-s.reportedDemand) > demandChangeThreshold*evenShare || (demand == 0) != (s.reportedDemand == 0)
	if !changed && (demand == 0 || now.Sub(s.reportedAt) < demandRefreshInterval) {
		return
	}
	s.reportedAt = now
	s.reportedDemand = demand
	for _, vms := range f.Remote {
		coordinator, ok := coordinatorOf(name, vms)
		if !ok {
			continue
		}
		note := out.to(coordinator)
		note.Demands = append(note.Demands, Demand{
			Region:    m.options.Region,
			Workspace: name,
			PerSecond: demand,
		})
	}
}

// outbox collects one note per destination.
type outbox struct {
	notes []Outgoing
	index map[string]int
}

func (o *outbox) to(vm fleet.VM) *Note {
	i, ok := o.index[vm.ID]
	if !ok {
		if o.index == nil {
			o.index = make(map[string]int)
		}
		i = len(o.notes)
		o.index[vm.ID] = i
		o.notes = append(o.notes, Outgoing{
			To: vm,
		})
	}
	return &o.notes[i].Note
}

// HandleReply processes the reply to a note.
func (m *Meter) HandleReply(o Outgoing, r Reply, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.unreachable, o.To.ID)
	for i, d := range o.Note.Demands {
		if s := m.limits[d.Workspace]; s != nil && i < len(r.Demands) {
			s.acknowledgedDemand[o.To.Region] = d.PerSecond
			s.setRemoteDemand(o.To.Region, r.Demands[i], now)
		}
	}
	for i, used := range o.Note.Usage {
		if i >= len(r.Answers) || !r.Answers[i].IsCoordinator {
			m.restoreUsage(used, now)
			continue
		}
		if u := m.usage[used.Workspace]; u != nil {
			u.applyAnswer(r.Answers[i])
		}
	}
}

// HandleFailure handles a note that was not answered; its usage will be reported again.
func (m *Meter) HandleFailure(o Outgoing, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable[o.To.ID] = now.Add(coordinatorRetryDelay)
	for _, used := range o.Note.Usage {
		m.restoreUsage(used, now)
	}
}

func (m *Meter) restoreUsage(used Usage, now time.Time) {
	if u := m.usage[used.Workspace]; u != nil {
		u.add(used.Used, now)
	}
}

// NextNote returns the latest time at which notes are due.
func (m *Meter) NextNote(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := now.Add(maxReportDelay)
	for _, u := range m.usage {
		if by := u.amountSince.Add(maxReportDelay); u.amount != 0 && by.Before(next) {
			next = by
		}
		if soon := now.Add(minDemandInterval); u.unasked != 0 && soon.Before(next) {
			next = soon
		}
	}
	if len(m.limits) > 0 && now.Add(minDemandInterval).Before(next) {
		next = now.Add(minDemandInterval)
	}
	return next
}

// Receive processes a note from another VM.
func (m *Meter) Receive(n Note, table *route.Table, f Fleet, now time.Time) Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateCensus(f, now)
	var r Reply
	for _, d := range n.Demands {
		local := 0.0
		if w, ok := table.Workspace(d.Workspace); ok {
			s := m.limitState(w)
			s.setRemoteDemand(d.Region, d.PerSecond, now)
			local = s.reportedDemand
		}
		r.Demands = append(r.Demands, local)
	}
	for _, used := range n.Usage {
		r.Answers = append(r.Answers, m.answer(used, table, f, now))
	}
	return r
}

func (s *limitState) setRemoteDemand(region string, perSecond float64, now time.Time) {
	s.remoteDemand[region] = regionDemand{
		perSecond: perSecond,
		at:        now,
	}
}

func (m *Meter) answer(used Usage, table *route.Table, f Fleet, now time.Time) Answer {
	w, ok := table.Workspace(used.Workspace)
	if !ok || w.Limit.IsUnlimited() || m.coordinator(used.Workspace, f).ID != m.options.VM {
		return Answer{}
	}
	a := Answer{
		IsCoordinator: true,
		Scarce:        m.charge(w, used.Used, f, now),
	}
	if used.Requested <= 0 {
		return a
	}
	verdict := m.takeAsCoordinator(w, used.Requested, f, now)
	a.Admitted = verdict.Refusal == nil
	if !a.Admitted {
		a.Scarce = true
		a.RetryAt = verdict.Refusal.RetryAt
	}
	return a
}
