package ticket

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// The rules weighed for a call that brings an Idempotency-Key and no ticket.
const (
	// ruleStamp: an owner runs a key whose own time stamp is younger than the
	// owner's takeover; an older one is unknown.
	ruleStamp = "stamp_after_takeover"
	// ruleMajority: the same, with the takeover the moment from which the owner
	// holds the loans of most VMs without a gap.
	ruleMajority = "majority_of_loans"
	// ruleTicket: the call is refused TicketRequired with a ticket enclosed, and
	// the caller sends again with it.
	ruleTicket = "ticket_required"
)

const loanTerm = 3 * time.Second

// keyOwner is one VM that may think that it owns the workspace.
type keyOwner struct {
	owner     bool
	takenOver time.Time
	// loans are the ends of the loans that others gave it; lent is when the
	// loan it gave itself ends.
	loans map[int]time.Time
	lent  time.Time
	used  map[int]bool
	desk  *Desk
}

// keySend is a call that passed the checks and is not sent yet.
type keySend struct {
	key   int
	vm    int
	entry *Entry
}

// keyWorld is three VMs with views of their own, and callers that repeat the
// same key at any of them. All clocks agree, but for callers that "key_ahead".
type keyWorld struct {
	rule    string
	now     time.Time
	vms     [3]*keyOwner
	keys    []time.Time
	tickets map[int]string
	sends   []*keySend
	runs    map[int]int
	doubled bool
	sent    int
}

func newKeyWorld(rule string) *keyWorld {
	w := &keyWorld{
		rule:    rule,
		now:     epoch,
		tickets: map[int]string{},
		runs:    map[int]int{},
	}
	for i := range w.vms {
		w.start(i)
		w.vms[i].lent = time.Time{}
	}
	return w
}

func (w *keyWorld) start(vm int) {
	w.vms[vm] = &keyOwner{
		loans: map[int]time.Time{},
		lent:  w.now.Add(loanTerm), // a new process has forgotten its loans
		used:  map[int]bool{},
		desk: New(Options{
			VM:          fmt.Sprint(vm),
			Incarnation: uint64(w.now.UnixMilli()),
		}),
	}
}

// apply does one step. Ticket is the key; Arg is seconds or the VM lent by.
func (w *keyWorld) apply(s step) {
	vm := s.VM % len(w.vms)
	v := w.vms[vm]
	switch s.Op {
	case "key":
		w.keys = append(w.keys, w.now)
	case "key_ahead":
		w.keys = append(w.keys, w.now.Add(2*loanTerm))
	case "take_over":
		if w.rule == ruleStamp {
			v.owner = true
			v.takenOver = w.now
		}
	case "lend":
		w.lend(w.vms[s.Arg%len(w.vms)], vm, s.Arg%len(w.vms))
	case "ask":
		if len(w.keys) > 0 {
			w.ask(vm, s.Ticket%len(w.keys))
		}
	case "send":
		if len(w.sends) > 0 {
			w.send(w.sends[s.Ask%len(w.sends)])
		}
	case "kill":
		w.start(vm)
	case "tick":
		w.now = w.now.Add(time.Duration(s.Arg) * time.Second)
	}
	w.watchMajorities()
}

// watchMajorities sets who owns under ruleMajority and since when.
func (w *keyWorld) watchMajorities() {
	if w.rule != ruleMajority {
		return
	}
	for _, v := range w.vms {
		holds := w.majority(v)
		if holds && !v.owner {
			v.takenOver = w.now
		}
		v.owner = holds
	}
}

// lend lends to one owner at a time: to another only when the last loan ended.
func (w *keyWorld) lend(from *keyOwner, to, lender int) {
	held := w.vms[to].loans[lender]
	if w.now.Before(from.lent) && !held.Equal(from.lent) {
		return
	}
	from.lent = w.now.Add(loanTerm)
	w.vms[to].loans[lender] = from.lent
}

func (w *keyWorld) ask(vm, key int) {
	if w.rule == ruleTicket {
		w.askWithTicket(vm, key)
		return
	}
	v := w.vms[vm]
	if !v.owner || v.used[key] || !w.keys[key].After(v.takenOver) {
		return
	}
	v.used[key] = true
	w.sends = append(w.sends, &keySend{
		key: key,
		vm:  vm,
	})
}

func (w *keyWorld) majority(v *keyOwner) bool {
	n := 0
	for _, until := range v.loans {
		if w.now.Before(until) {
			n++
		}
	}
	return 2*n > len(w.vms)
}

// askWithTicket takes the first refusal's ticket; every later ask carries it.
func (w *keyWorld) askWithTicket(vm, key int) {
	desk := w.vms[vm].desk
	if w.tickets[key] == "" {
		w.tickets[key] = desk.Issue("w", w.now.Add(goodFor))
		return
	}
	s := desk.Begin(w.tickets[key], "w", uint64(key), w.now)
	if s.Kind == Run {
		w.sends = append(w.sends, &keySend{
			key:   key,
			vm:    vm,
			entry: s.Entry,
		})
	}
}

// send passes the last check and transmits. A freeze lies before this step;
// the rules without tickets have nothing to check here but the owner's belief.
func (w *keyWorld) send(s *keySend) {
	if s.entry != nil && s.entry.Sending(w.now) != nil {
		return
	}
	w.sent++
	w.runs[s.key]++
	w.doubled = w.doubled || w.runs[s.key] > 1
	if s.entry != nil {
		s.entry.Finish(Record{
			Code: result.EndpointCut,
		})
	}
	w.sends = removeSend(w.sends, s)
}

func removeSend(sends []*keySend, gone *keySend) []*keySend {
	var out []*keySend
	for _, s := range sends {
		if s != gone {
			out = append(out, s)
		}
	}
	return out
}

func playKeys(rule string, steps []step) *keyWorld {
	w := newKeyWorld(rule)
	for _, s := range steps {
		w.apply(s)
	}
	return w
}

func keyStepGenerator(keyOps ...string) *rapid.Generator[step] {
	ops := append([]string{"take_over", "lend", "lend", "lend", "lend", "lend", "lend", "ask", "ask", "ask", "ask", "send", "send", "kill", "tick"}, keyOps...)
	small := rapid.IntRange(0, 2)
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			Op:     rapid.SampledFrom(ops).Draw(t, "op"),
			VM:     small.Draw(t, "vm"),
			Ticket: small.Draw(t, "ticket"),
			Ask:    small.Draw(t, "ask"),
			Arg:    small.Draw(t, "arg"),
		}
	})
}

// TestKeyRules plays the schedules that rule out the two rules without
// tickets, and random ones against the rule chosen. ruleMajority holds as long
// as the stamps are true, so only a clock that runs ahead rules it out here.
func TestKeyRules(t *testing.T) {
	files, err := filepath.Glob("testdata/keys/*.json")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			s := readCase[schedule](t, file)
			if *find {
				s.Steps = searchSteps(t, keyStepGenerator("key", "key_ahead"), s.Steps, func(steps []step) bool { return playKeys(s.Variant, steps).doubled })
				writeCase(t, file, s)
			}
			assert.Assert(t, playKeys(s.Variant, s.Steps).doubled)
			assert.Assert(t, !playKeys(ruleTicket, s.Steps).doubled)
		})
	}
	random := map[string]*rapid.Generator[step]{
		ruleTicket:   keyStepGenerator("key", "key_ahead"),
		ruleMajority: keyStepGenerator("key", "key"),
	}
	for rule, one := range random {
		t.Run(rule, func(t *testing.T) {
			sent := 0
			rapid.Check(t, func(t *rapid.T) {
				w := playKeys(rule, rapid.SliceOfN(one, 40, 80).Draw(t, "steps"))
				assert.Assert(t, !w.doubled)
				sent += w.sent
			})
			t.Log("sent:", sent)
		})
	}
}
