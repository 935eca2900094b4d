package ticket

import (
	"fmt"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// step is one event of a schedule. Indices wrap around and inapplicable steps do
// nothing, so every list of steps is a valid schedule.
type step struct {
	Op     string `json:"op"`
	VM     int    `json:"vm,omitempty"`
	Ticket int    `json:"ticket,omitempty"`
	Ask    int    `json:"ask,omitempty"`
	Arg    int    `json:"arg,omitempty"`
}

// Arguments of "advance" when the endpoint responds, and of "offer".
const (
	answerDone = iota
	answerRefused
	answerCut
	answerCount
)

const (
	offerAnswered = iota
	offerReplyLost
	offerDelayed
	offerNotSent
	offerCount
)

const ticketLifetime = 3 * time.Second

// process is one incarnation of a VM.
type process struct {
	holder   IncarnationID
	registry *Registry
	killed   bool
	handOver *HandOver
	plan     HandOverPlan
}

// attempt is one request with a ticket at one process.
type attempt struct {
	ticket      int
	process     *process
	entry       *Entry
	done        <-chan struct{}
	sendChecked bool
	record      *Record
	ran         bool
	ended       bool
}

type delayedMessage struct {
	vm       int
	handOver HandOver
}

// simulation simulates three VMs, callers, and a service that counts its runs. A paused
// process needs no step: an attempt is paused while it is not advanced.
type simulation struct {
	variant  string
	now      time.Time
	skew     []time.Duration
	vms      []*process
	tickets  []string
	attempts []*attempt
	messages []delayedMessage
	runs     map[int]int
	answers  map[int]string
	expired  map[int]bool
	// violation names the first invariant that broke.
	violation   string
	eventCounts map[string]int
}

func newSimulation(variant string) *simulation {
	sim := &simulation{
		variant:     variant,
		now:         time.UnixMilli(1_700_000_000_000),
		skew:        make([]time.Duration, 3),
		vms:         make([]*process, 3),
		runs:        map[int]int{},
		answers:     map[int]string{},
		expired:     map[int]bool{},
		eventCounts: map[string]int{},
	}
	for i := range sim.vms {
		sim.start(i)
	}
	return sim
}

func (sim *simulation) start(vm int) {
	h := IncarnationID{
		VM:          string(rune('a' + vm)),
		Incarnation: 1,
	}
	if old := sim.vms[vm]; old != nil {
		old.killed = true
		h.Incarnation = old.holder.Incarnation + 1
	}
	sim.vms[vm] = &process{
		holder: h,
		registry: New(Options{
			VM:          h.VM,
			Incarnation: h.Incarnation,
			MaxRecords:  2,
			Retain:      func(goodUntil time.Time) time.Time { return goodUntil.Add(ticketLifetime) },
		}),
	}
}

func (sim *simulation) clock(p *process) time.Time {
	return sim.now.Add(sim.skew[int(p.holder.VM[0]-'a')])
}

func (sim *simulation) violate(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) applyStep(s step) {
	vm := s.VM % len(sim.vms)
	p := sim.vms[vm]
	switch s.Op {
	case "issue":
		sim.tickets = append(sim.tickets, p.registry.Issue("w", sim.clock(p).Add(ticketLifetime)))
	case "ask":
		if len(sim.tickets) > 0 {
			ticket := s.Ticket % len(sim.tickets)
			sim.startAttempt(sim.route(p, ticket, s.Arg), ticket)
		}
	case "advance", "abandon":
		if len(sim.attempts) > 0 {
			sim.advance(sim.attempts[s.Ask%len(sim.attempts)], s)
		}
	case "kill":
		sim.start(vm)
	case "tick":
		sim.now = sim.now.Add(time.Duration(s.Arg) * time.Second)
	case "skew":
		sim.skew[vm] = time.Duration(s.Arg) * time.Second
	case "stop":
		p.registry.Stop()
	case "give_up":
		sim.giveUp(p)
	case "offer":
		sim.offer(p, s.Arg%offerCount)
	case "deliver":
		if len(sim.messages) > 0 {
			m := sim.messages[s.Arg%len(sim.messages)]
			sim.adopt(sim.vms[m.vm], m.handOver)
		}
	case "beat":
		p.registry.Takeovers(sim.clock(p))
	default:
		sim.violate("no such step: %s", s.Op)
	}
	sim.checkCounters()
}

// route returns the process that gets a request: with a positive arg one that knows the
// ticket's issuer if there is one, otherwise p.
func (sim *simulation) route(p *process, ticket, arg int) *process {
	t, _ := Parse(sim.tickets[ticket])
	for i := range sim.vms {
		other := sim.vms[(i+arg)%len(sim.vms)]
		if set := other.registry.ticketSets[t.Holder()]; set != nil && arg > 0 {
			return other
		}
	}
	return p
}

func (sim *simulation) startAttempt(p *process, ticket int) {
	a := &attempt{
		ticket:  ticket,
		process: p,
	}
	sim.attempts = append(sim.attempts, a)
	sim.begin(a)
}

func (sim *simulation) begin(a *attempt) {
	registry := a.process.registry
	now := sim.clock(a.process)
	sim.injectFault(registry, now)
	s := registry.Begin(sim.tickets[a.ticket], "w", uint64(a.ticket), now)
	a.entry = s.Entry
	a.done = s.Done
	sim.eventCounts[fmt.Sprint("step ", s.Kind)]++
	switch s.Kind {
	case Replay:
		a.ended = true
		if string(s.Record.Body) != sim.answers[a.ticket] {
			sim.violate("replay_differs")
		}
	case Refused:
		sim.endAttempt(a, s.Refusal.Code)
		if s.Refusal.Code.Class() == result.ClassNotRun && sim.runs[a.ticket] > 0 {
			sim.violate("told_not_run")
		}
	}
}

// endAttempt ends an attempt with a result code.
func (sim *simulation) endAttempt(a *attempt, code result.Code) {
	a.ended = true
	sim.eventCounts[code.String()]++
	if code.Class() == result.ClassNotRun && a.ran {
		sim.violate("told_not_run")
	}
	if code == result.TicketExpired {
		sim.expired[a.ticket] = true
	}
}

func (sim *simulation) advance(a *attempt, s step) {
	switch {
	case a.ended || a.process.killed:
	case a.entry == nil:
		sim.beginAgainIfDone(a)
	case s.Op == "abandon":
		a.entry.Abandon()
		a.ended = true
	case !a.sendChecked:
		sim.checkSending(a)
	case a.record == nil:
		sim.transmit(a, s.Arg%answerCount)
	default:
		sim.finish(a)
	}
}

func (sim *simulation) beginAgainIfDone(a *attempt) {
	select {
	case <-a.done:
		sim.begin(a)
	default:
	}
}

func (sim *simulation) checkSending(a *attempt) {
	a.sendChecked = true
	if sim.variant == "skip_check" {
		a.entry.state = sent
		return
	}
	if refusal := a.entry.MarkSent(sim.clock(a.process)); refusal != nil {
		sim.endAttempt(a, refusal.Code)
	}
}

func (sim *simulation) transmit(a *attempt, answer int) {
	a.record = &Record{
		Code: []result.Code{result.Done, result.EndpointRefused, result.EndpointCut}[answer],
	}
	if answer == answerRefused {
		return
	}
	a.ran = true
	sim.runs[a.ticket]++
	a.record.Body = fmt.Appendf(nil, "answer %d to %d", sim.runs[a.ticket], a.ticket)
	sim.answers[a.ticket] = string(a.record.Body)
	if sim.runs[a.ticket] > 1 {
		sim.violate("doubled")
	}
	if sim.expired[a.ticket] {
		sim.violate("expired_ran")
	}
}

func (sim *simulation) finish(a *attempt) {
	if sim.variant == "free_unknown" && a.record.Code == result.EndpointCut {
		a.entry.release()
		a.ended = true
		return
	}
	a.entry.Finish(*a.record)
	sim.endAttempt(a, a.record.Code)
}

func (sim *simulation) giveUp(p *process) {
	early := sim.variant == "adopt_before_give_up" && p.handOver == nil
	h := p.registry.Relinquish(sim.clock(p))
	p.handOver = &h
	for i := range h.Rights {
		if sim.variant == "forget_in_flight" {
			h.Rights[i].Records = nil
		}
		if early {
			p.registry.ticketSets[h.Rights[i].Issuer].executable = true
		}
	}
}

func (sim *simulation) offer(p *process, delivery int) {
	if p.handOver == nil {
		return
	}
	var candidates []IncarnationID
	for _, other := range sim.vms {
		if other != p {
			candidates = append(candidates, other.holder)
		}
	}
	o, ok := p.plan.Next(candidates)
	if !ok {
		return
	}
	p.plan = p.plan.After(o, sim.sendOffer(p, o, delivery))
}

func (sim *simulation) sendOffer(p *process, o Offer, delivery int) OfferOutcome {
	h := p.handOver.WithReceiver(o.To)
	if !o.Rights {
		h = h.WithoutKeys()
	}
	vm := int(o.To.VM[0] - 'a')
	lost := OfferLost
	if sim.variant == "second_successor" {
		lost = OfferNotSent
	}
	switch delivery {
	case offerNotSent:
		return OfferNotSent
	case offerDelayed:
		sim.messages = append(sim.messages, delayedMessage{
			vm:       vm,
			handOver: h,
		})
		return lost
	}
	accepted := sim.adopt(sim.vms[vm], h)
	switch {
	case delivery == offerReplyLost:
		return lost
	case accepted:
		return OfferAccepted
	default:
		return OfferRefused
	}
}

func (sim *simulation) adopt(p *process, h HandOver) bool {
	if sim.variant == "address_by_vm" {
		h.To = p.holder
	}
	ok := p.registry.TakeOver(h, sim.clock(p))
	sim.eventCounts[fmt.Sprint("adopt ", ok)]++
	return ok
}

// injectFault applies the variant's fault to a registry.
func (sim *simulation) injectFault(d *Registry, now time.Time) {
	switch sim.variant {
	case "evict_at_bound":
		if d.recordCount == d.maxRecords && len(d.finished) > 0 {
			d.dropEntry(d.finished[0])
		}
	case "sweep_unmarked":
		for len(d.finished) > 0 && now.After(d.finished[0].keepUntil) {
			d.dropEntry(d.finished[0])
		}
	case "expire_unmarked":
		for _, set := range d.ticketSets {
			set.expiredUntil = time.Time{}
		}
	}
}

// checkCounters compares each registry's counters and limits with its entries.
func (sim *simulation) checkCounters() {
	for _, p := range sim.vms {
		entries, used, running := 0, 0, 0
		for _, set := range p.registry.ticketSets {
			for _, e := range set.entries {
				entries++
				used += e.size
				if e.state != finished {
					running++
				}
			}
		}
		d := p.registry
		if entries != d.recordCount || used != d.usedBytes || running != d.runningCount || len(d.finished) != entries-running {
			sim.violate("miscounted")
		}
		if entries > d.maxRecords || used > d.maxBytes {
			sim.violate("over_bound")
		}
	}
}
