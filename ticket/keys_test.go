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

// Alternative rules for a call with an Idempotency-Key and no ticket.
const (
	// ruleTimestamp: an owner runs keys whose timestamp is later than its takeover; the
	// outcome of earlier keys is unknown.
	ruleTimestamp = "stamp_after_takeover"
	// ruleMajority: as ruleTimestamp, with the takeover at the time since which the owner
	// has continuously held leases from a majority of the VMs.
	ruleMajority = "majority_of_loans"
	// ruleTicket: the call is refused with TicketRequired and a ticket, which the caller
	// uses for the retry.
	ruleTicket = "ticket_required"
)

const leaseTerm = 3 * time.Second

// keyOwner is a VM that may believe that it owns the workspace.
type keyOwner struct {
	owner     bool
	takenOver time.Time
	// leases holds the expiry of the leases granted by other VMs; grantedUntil is the
	// expiry of the lease that this VM granted.
	leases       map[int]time.Time
	grantedUntil time.Time
	used         map[int]bool
	registry     *Registry
}

// keySend is a call that was admitted but not sent.
type keySend struct {
	key   int
	vm    int
	entry *Entry
}

// keySimulation simulates three VMs with independent views, and callers that retry a
// key at any of them. Clocks agree, except for callers in "key_ahead" steps.
type keySimulation struct {
	rule     string
	now      time.Time
	vms      [3]*keyOwner
	keys     []time.Time
	tickets  map[int]string
	sends    []*keySend
	runs     map[int]int
	ranTwice bool
	sent     int
}

func newKeySimulation(rule string) *keySimulation {
	sim := &keySimulation{
		rule:    rule,
		now:     epoch,
		tickets: map[int]string{},
		runs:    map[int]int{},
	}
	for i := range sim.vms {
		sim.start(i)
		sim.vms[i].grantedUntil = time.Time{}
	}
	return sim
}

func (sim *keySimulation) start(vm int) {
	sim.vms[vm] = &keyOwner{
		leases:       map[int]time.Time{},
		grantedUntil: sim.now.Add(leaseTerm), // a restarted process does not know which lease it granted
		used:         map[int]bool{},
		registry: New(Options{
			VM:          fmt.Sprint(vm),
			Incarnation: uint64(sim.now.UnixMilli()),
		}),
	}
}

// applyStep runs one step. Ticket is the key's index; Arg is seconds or the VM that gets
// a lease.
func (sim *keySimulation) applyStep(s step) {
	vm := s.VM % len(sim.vms)
	v := sim.vms[vm]
	switch s.Op {
	case "key":
		sim.keys = append(sim.keys, sim.now)
	case "key_ahead":
		sim.keys = append(sim.keys, sim.now.Add(2*leaseTerm))
	case "take_over":
		if sim.rule == ruleTimestamp {
			v.owner = true
			v.takenOver = sim.now
		}
	case "lend":
		sim.grantLease(sim.vms[s.Arg%len(sim.vms)], vm, s.Arg%len(sim.vms))
	case "ask":
		if len(sim.keys) > 0 {
			sim.request(vm, s.Ticket%len(sim.keys))
		}
	case "send":
		if len(sim.sends) > 0 {
			sim.transmit(sim.sends[s.Ask%len(sim.sends)])
		}
	case "kill":
		sim.start(vm)
	case "tick":
		sim.now = sim.now.Add(time.Duration(s.Arg) * time.Second)
	}
	sim.updateOwners()
}

// updateOwners determines the owners under ruleMajority.
func (sim *keySimulation) updateOwners() {
	if sim.rule != ruleMajority {
		return
	}
	for _, v := range sim.vms {
		holds := sim.holdsMajority(v)
		if holds && !v.owner {
			v.takenOver = sim.now
		}
		v.owner = holds
	}
}

// grantLease renews the current lease, or grants one to another VM after it expired.
func (sim *keySimulation) grantLease(from *keyOwner, to, lender int) {
	held := sim.vms[to].leases[lender]
	if sim.now.Before(from.grantedUntil) && !held.Equal(from.grantedUntil) {
		return
	}
	from.grantedUntil = sim.now.Add(leaseTerm)
	sim.vms[to].leases[lender] = from.grantedUntil
}

func (sim *keySimulation) request(vm, key int) {
	if sim.rule == ruleTicket {
		sim.requestWithTicket(vm, key)
		return
	}
	v := sim.vms[vm]
	if !v.owner || v.used[key] || !sim.keys[key].After(v.takenOver) {
		return
	}
	v.used[key] = true
	sim.sends = append(sim.sends, &keySend{
		key: key,
		vm:  vm,
	})
}

func (sim *keySimulation) holdsMajority(v *keyOwner) bool {
	n := 0
	for _, until := range v.leases {
		if sim.now.Before(until) {
			n++
		}
	}
	return 2*n > len(sim.vms)
}

// requestWithTicket takes the ticket from the first refusal and uses it in later requests.
func (sim *keySimulation) requestWithTicket(vm, key int) {
	registry := sim.vms[vm].registry
	if sim.tickets[key] == "" {
		sim.tickets[key] = registry.Issue("w", sim.now.Add(ticketLifetime))
		return
	}
	s := registry.Begin(sim.tickets[key], "w", uint64(key), sim.now)
	if s.Kind == Run {
		sim.sends = append(sim.sends, &keySend{
			key:   key,
			vm:    vm,
			entry: s.Entry,
		})
	}
}

// transmit makes the last check and sends the call. A process may pause before this
// step; rules without tickets have no check here.
func (sim *keySimulation) transmit(s *keySend) {
	if s.entry != nil && s.entry.MarkSent(sim.now) != nil {
		return
	}
	sim.sent++
	sim.runs[s.key]++
	sim.ranTwice = sim.ranTwice || sim.runs[s.key] > 1
	if s.entry != nil {
		s.entry.Finish(Record{
			Code: result.EndpointCut,
		})
	}
	sim.sends = removeSend(sim.sends, s)
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

func runKeySchedule(rule string, steps []step) *keySimulation {
	sim := newKeySimulation(rule)
	for _, s := range steps {
		sim.applyStep(s)
	}
	return sim
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

// TestKeyRules checks that recorded schedules run a call twice under the rules without
// tickets but not under ruleTicket, and that random schedules do not under ruleTicket.
// ruleMajority fails only if a caller's clock runs ahead.
func TestKeyRules(t *testing.T) {
	files, err := filepath.Glob("testdata/keys/*.json")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			s := readCase[schedule](t, file)
			if *find {
				s.Steps = searchSteps(t, keyStepGenerator("key", "key_ahead"), s.Steps, func(steps []step) bool { return runKeySchedule(s.Variant, steps).ranTwice })
				writeCase(t, file, s)
			}
			assert.Assert(t, runKeySchedule(s.Variant, s.Steps).ranTwice)
			assert.Assert(t, !runKeySchedule(ruleTicket, s.Steps).ranTwice)
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
				sim := runKeySchedule(rule, rapid.SliceOfN(one, 40, 80).Draw(t, "steps"))
				assert.Assert(t, !sim.ranTwice)
				sent += sim.sent
			})
			t.Log("sent:", sent)
		})
	}
}
