package metering

import (
	"math"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/route"
)

const (
	// demandEvery is the least time between two words to other regions on what this one
	// asks for, and demandAgain when an unchanged word is told again.
	demandEvery = 250 * time.Millisecond
	demandAgain = 4 * time.Second
	// demandLeast is the part of an even share below which nothing is told: the even
	// part that each region has is enough, and most of many workspaces ask for less.
	demandLeast = 0.25
	// demandChange is the part of an even share by which a word must change to be told
	// before its time.
	demandChange = 0.15
	// idleFor is how long a workspace without calls is kept in mind.
	idleFor = 2 * time.Minute
)

// Note is what one VM tells another. Its times are those of the receiver's clock.
type Note struct {
	Uses    []Use
	Demands []Demand
}

// Use is an amount of a workspace's limit, in the limit's unit.
type Use struct {
	Workspace string
	// Used was admitted since the last note; it is negative where more was given back.
	Used float64
	// Wanted is to be admitted now, or not at all.
	Wanted float64
}

// Demand is what the callers of a region ask for.
type Demand struct {
	Region    string
	Workspace string
	PerSecond float64
}

// Answer is what a keeper says of a use.
type Answer struct {
	// Kept is false where the VM does not keep the limit.
	Kept     bool
	Admitted bool
	// ComeBackAt is when what was wanted will be admitted.
	ComeBackAt time.Time
	Scarce     bool
	// At is when the answer came.
	At time.Time
}

// Reply answers a note.
type Reply struct {
	// Answers are to the uses of the note, in their order.
	Answers []Answer
	// Demands are what the receiver's region asks for of the workspaces of the note's
	// demands, in their order.
	Demands []float64
}

// Outgoing is a note with its receiver.
type Outgoing struct {
	To   fleet.VM
	Note Note
}

// Notes returns the notes that are due. Their uses count as told; one that was not
// is put back by Failed.
func (m *Meter) Notes(table *route.Table, f Fleet, now time.Time) []Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learn(f, now)
	var out outbox
	for name, u := range m.uses {
		w, ok := table.Workspace(name)
		if !ok || (u.unsent == 0 && now.Sub(u.usedAt) > idleFor) {
			delete(m.uses, name)
			continue
		}
		u.workspace = w
		if u.unsent != 0 {
			m.tellUse(&out, name, u, f, now)
		}
	}
	for name, k := range m.kept {
		if w, ok := table.Workspace(name); ok {
			k.workspace = w
			m.tellDemand(&out, name, k, f, now)
			continue
		}
		delete(m.kept, name)
	}
	if now.Sub(m.sweptAt) > idleFor {
		m.sweptAt = now
		m.ledger.Sweep(now)
	}
	return out.notes
}

// tellUse tells a workspace's keeper of a use, which may have become this VM.
func (m *Meter) tellUse(out *outbox, name string, u *use, f Fleet, now time.Time) {
	keeper := m.keeper(name, f)
	if now.Before(m.lost[keeper.ID]) {
		return
	}
	used := u.unsent
	u.unsent = 0
	if keeper.ID == m.options.VM {
		m.charge(u.workspace, used, f, now)
		return
	}
	note := out.to(keeper)
	note.Uses = append(note.Uses, Use{
		Workspace: name,
		Used:      used,
	})
}

// tellDemand tells the keepers of other regions what this one asks for.
func (m *Meter) tellDemand(out *outbox, name string, k *kept, f Fleet, now time.Time) {
	if m.keeper(name, f).ID != m.options.VM || now.Sub(k.toldAt) < demandEvery {
		return
	}
	even := k.workspace.Limit.PerSecond / float64(max(len(m.options.Regions), 1))
	asked := min(k.asked.perSecond(now), k.workspace.Limit.PerSecond)
	if asked < max(demandLeast*even, m.leastDemand()) {
		asked = 0
	}
	isNews := math.Abs(asked-k.told) > demandChange*even || (asked == 0) != (k.told == 0)
	if !isNews && (asked == 0 || now.Sub(k.toldAt) < demandAgain) {
		return
	}
	k.toldAt = now
	k.told = asked
	for _, vms := range f.Far {
		keeper, ok := keeperOf(name, vms)
		if !ok {
			continue
		}
		note := out.to(keeper)
		note.Demands = append(note.Demands, Demand{
			Region:    m.options.Region,
			Workspace: name,
			PerSecond: asked,
		})
	}
}

// outbox gathers what goes to the same VM.
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

// Sent takes the reply to a note.
func (m *Meter) Sent(o Outgoing, r Reply, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.lost, o.To.ID)
	for i, d := range o.Note.Demands {
		if k := m.kept[d.Workspace]; k != nil && i < len(r.Demands) {
			k.heard[o.To.Region] = d.PerSecond
			k.hear(o.To.Region, r.Demands[i], now)
		}
	}
	for i, used := range o.Note.Uses {
		if i >= len(r.Answers) || !r.Answers[i].Kept {
			m.putBack(used, now)
			continue
		}
		if u := m.uses[used.Workspace]; u != nil {
			u.take(r.Answers[i])
		}
	}
}

// Failed takes that a note was not answered: its uses are told again.
func (m *Meter) Failed(o Outgoing, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost[o.To.ID] = now.Add(keeperLostFor)
	for _, used := range o.Note.Uses {
		m.putBack(used, now)
	}
}

func (m *Meter) putBack(used Use, now time.Time) {
	if u := m.uses[used.Workspace]; u != nil {
		u.admit(used.Used, now)
	}
}

// NextNote returns when notes are due at the latest.
func (m *Meter) NextNote(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := now.Add(noteWithin)
	for _, u := range m.uses {
		if by := u.unsentSince.Add(noteWithin); u.unsent != 0 && by.Before(next) {
			next = by
		}
	}
	if len(m.kept) > 0 && now.Add(demandEvery).Before(next) {
		next = now.Add(demandEvery)
	}
	return next
}

// Receive takes another VM's note.
func (m *Meter) Receive(n Note, table *route.Table, f Fleet, now time.Time) Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learn(f, now)
	var r Reply
	for _, d := range n.Demands {
		own := 0.0
		if w, ok := table.Workspace(d.Workspace); ok {
			k := m.keep(w)
			k.hear(d.Region, d.PerSecond, now)
			own = k.told
		}
		r.Demands = append(r.Demands, own)
	}
	for _, used := range n.Uses {
		r.Answers = append(r.Answers, m.answer(used, table, f, now))
	}
	return r
}

func (k *kept) hear(region string, perSecond float64, now time.Time) {
	k.far[region] = demand{
		perSecond: perSecond,
		at:        now,
	}
}

func (m *Meter) answer(used Use, table *route.Table, f Fleet, now time.Time) Answer {
	w, ok := table.Workspace(used.Workspace)
	if !ok || w.Limit.IsZero() || m.keeper(used.Workspace, f).ID != m.options.VM {
		return Answer{}
	}
	a := Answer{
		Kept:   true,
		Scarce: m.charge(w, used.Used, f, now),
	}
	if used.Wanted <= 0 {
		return a
	}
	verdict := m.takeKept(w, used.Wanted, f, now)
	a.Admitted = verdict.Refusal == nil
	if !a.Admitted {
		a.Scarce = true
		a.ComeBackAt = verdict.Refusal.ComeBackAt
	}
	return a
}
