package roster

import "time"

// Receive processes a message from a member. from is the member's own rumor.
func (r *Roster) Receive(from Rumor, rumors []Rumor, now time.Time) {
	r.applyRumor(from, now)
	for _, rumor := range rumors {
		r.applyRumor(rumor, now)
	}
	if m, ok := r.members[from.VM.ID]; ok && m.Incarnation == from.Incarnation {
		r.memberIndexStale = r.memberIndexStale || m.misses > 0
		m.misses = 0
	}
}

func (r *Roster) applyRumor(rumor Rumor, now time.Time) {
	if rumor.VM.ID == r.self.VM.ID {
		r.refute(rumor)
		return
	}
	m, ok := r.members[rumor.VM.ID]
	if ok && !rumor.supersedes(m.Rumor) {
		return
	}
	if !ok {
		m = r.addMember(rumor)
	}
	if rumor.Incarnation != m.Incarnation || rumor.State == StateAlive {
		m.misses = 0
	}
	switch rumor.State {
	case StateSuspect:
		m.suspectAt = now
	case StateDead, StateLeft:
		m.deadAt = now
	}
	r.updateMember(m, rumor, now)
	r.maxKnown = max(r.maxKnown, len(r.members)+1)
}

// refute overrides a rumor about this VM that it didn't issue: one of an earlier
// incarnation, or one that reports it suspected or dead.
func (r *Roster) refute(rumor Rumor) {
	if rumor.Incarnation > r.self.Incarnation {
		// The clock has been set back since the earlier incarnation started.
		r.updateSelf(func(self *Rumor) { self.Incarnation = rumor.Incarnation + 1 })
		return
	}
	if rumor.Incarnation == r.self.Incarnation && rumor.supersedes(r.self) {
		r.updateSelf(func(self *Rumor) { self.Version = rumor.Version + 1 })
	}
}

// RecordMiss records that a member didn't answer an exchange or a call.
func (r *Roster) RecordMiss(id string, now time.Time) {
	m, ok := r.members[id]
	if !ok || m.State >= StateDead {
		return
	}
	m.misses++
	r.memberIndexStale = true
	m.nextExchangeAt = now.Add(r.gossipInterval / doubtfulIntervalDivisor)
	if m.State == StateAlive && m.misses >= missesToSuspect {
		m.suspectAt = now
		r.setState(m, StateSuspect, now)
	}
}

// RecordRefused records a refused connection. The process is gone, so the member is marked
// dead at once; a process started there later has another incarnation.
func (r *Roster) RecordRefused(id string, now time.Time) {
	m, ok := r.members[id]
	if !ok || m.State >= StateDead {
		return
	}
	m.deadAt = now
	r.setState(m, StateDead, now)
}
