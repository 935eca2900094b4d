package metering

import (
	"time"
)

// sendDueNotes sends notes if the Meter has signalled that they are due.
func (sim *simulation) sendDueNotes(v *vm) {
	select {
	case <-v.meter.Due:
		sim.sendNotes(v)
	default:
	}
}

// scheduleNotes sends a VM's notes whenever they are due.
func (sim *simulation) scheduleNotes(v *vm) {
	if !v.down {
		sim.sendNotes(v)
	}
	next := v.meter.NextNote(sim.clock()).Sub(sim.clock())
	sim.after(max(next, 20*time.Millisecond), func() { sim.scheduleNotes(v) })
}

func (sim *simulation) sendNotes(v *vm) {
	if sim.strategy == strategyEvenSplit || sim.strategy == strategyFullLimit {
		return
	}
	meter := v.meter
	for _, note := range meter.DueNotes(sim.table(), sim.fleet(v), sim.clock()) {
		sim.send(v, sim.byID(note.To.ID), note.Note, time.Second, func(r *Reply) {
			if r == nil {
				meter.HandleFailure(note, sim.clock())
				return
			}
			meter.HandleReply(note, *r, sim.clock())
		})
	}
}

// send delivers a note and its reply; done receives nil if no reply arrives in time.
func (sim *simulation) send(from, to *vm, n Note, timeout time.Duration, done func(*Reply)) {
	sim.notes++
	sim.entries += len(n.Usage) + len(n.Demands)
	for i, count := range [...]int{len(n.Usage), len(n.Demands)} {
		if count > 0 {
			sim.notesByKind[i]++
		}
	}
	sim.after(sim.networkDelay(from, to), func() {
		if to.down || !sim.reaches(from, to, sim.now) {
			wait := timeout
			if to.down {
				wait = sim.networkDelay(from, to)
			}
			sim.after(wait, func() { done(nil) })
			return
		}
		var r Reply
		if sim.now >= to.tableLoadedAt {
			r = to.meter.Receive(n, sim.table(), sim.fleet(to), sim.clock())
		}
		sim.after(sim.networkDelay(from, to), func() {
			for i := range r.Answers {
				r.Answers[i].At = sim.clock()
			}
			done(&r)
		})
	})
}
