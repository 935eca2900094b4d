package metering

import (
	"time"
)

// hurry sends the notes that should not wait.
func (w *world) hurry(v *vm) {
	select {
	case <-v.meter.Due:
		w.sendNotes(v)
	default:
	}
}

// tell sends a VM's notes when they are due.
func (w *world) tell(v *vm) {
	if !v.down {
		w.sendNotes(v)
	}
	next := v.meter.NextNote(w.clock()).Sub(w.clock())
	w.after(max(next, 20*time.Millisecond), func() { w.tell(v) })
}

func (w *world) sendNotes(v *vm) {
	if w.way == wayEven || w.way == wayWhole {
		return
	}
	life := v.meter
	for _, note := range life.Notes(w.table(), w.fleet(v), w.clock()) {
		w.send(v, w.byID(note.To.ID), note.Note, time.Second, func(r *Reply) {
			if r == nil {
				life.Failed(note, w.clock())
				return
			}
			life.Sent(note, *r, w.clock())
		})
	}
}

// send carries a note there and its answers back; no reply means that none came in time.
func (w *world) send(from, to *vm, n Note, within time.Duration, done func(*Reply)) {
	w.notes++
	w.entries += len(n.Uses) + len(n.Demands)
	for i, count := range [...]int{len(n.Uses), len(n.Demands)} {
		if count > 0 {
			w.told[i]++
		}
	}
	w.after(w.travel(from, to), func() {
		if to.down || !w.reaches(from, to, w.now) {
			wait := within
			if to.down {
				wait = w.travel(from, to)
			}
			w.after(wait, func() { done(nil) })
			return
		}
		var r Reply
		if w.now >= to.tableAt {
			r = to.meter.Receive(n, w.table(), w.fleet(to), w.clock())
		}
		w.after(w.travel(from, to), func() {
			for i := range r.Answers {
				r.Answers[i].At = w.clock()
			}
			done(&r)
		})
	})
}
