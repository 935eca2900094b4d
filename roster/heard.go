package roster

import "time"

// Heard takes a message of a member, whose own rumor is from.
func (r *Roster) Heard(from Rumor, rumors []Rumor, now time.Time) {
	r.take(from, now)
	for _, rumor := range rumors {
		r.take(rumor, now)
	}
	if m, ok := r.members[from.VM.ID]; ok && m.Incarnation == from.Incarnation {
		r.shownStale = r.shownStale || m.misses > 0
		m.misses = 0
	}
}

func (r *Roster) take(rumor Rumor, now time.Time) {
	if rumor.VM.ID == r.self.VM.ID {
		r.refute(rumor)
		return
	}
	m, ok := r.members[rumor.VM.ID]
	if ok && !rumor.newer(m.Rumor) {
		return
	}
	if !ok {
		m = &member{
			Rumor: rumor,
		}
		r.members[rumor.VM.ID] = m
		r.sums.add(rumor)
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
	r.replace(m, rumor, now)
	r.most = max(r.most, len(r.members)+1)
}

// refute answers a rumor about this VM that is not its own word: an earlier
// life's, or that it is dead.
func (r *Roster) refute(rumor Rumor) {
	if rumor.Incarnation > r.self.Incarnation {
		// The clock has stepped back since the earlier life began.
		r.changeSelf(func(self *Rumor) { self.Incarnation = rumor.Incarnation + 1 })
		return
	}
	if rumor.Incarnation == r.self.Incarnation && rumor.newer(r.self) {
		r.changeSelf(func(self *Rumor) { self.Version = rumor.Version + 1 })
	}
}

// Missed records that a member did not answer an exchange or a call.
func (r *Roster) Missed(id string, now time.Time) {
	m, ok := r.members[id]
	if !ok || m.State >= StateDead {
		return
	}
	m.misses++
	r.shownStale = true
	m.askAt = now.Add(r.every / hurry)
	if m.State == StateAlive && m.misses >= missesToSuspect {
		m.suspectAt = now
		r.judge(m, StateSuspect, now)
	}
}

// Refused records that a member's address refused a connection: its process is
// gone, and one that is started there again has another incarnation.
func (r *Roster) Refused(id string, now time.Time) {
	m, ok := r.members[id]
	if !ok || m.State >= StateDead {
		return
	}
	m.deadAt = now
	r.judge(m, StateDead, now)
}
