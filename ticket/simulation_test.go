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
	holder   Holder
	desk     *Desk
	dead     bool
	handOver *HandOver
	plan     HandOverPlan
}

// attempt is one request with a ticket at one process.
type attempt struct {
	ticket  int
	process *process
	entry   *Entry
	done    <-chan struct{}
	checked bool
	record  *Record
	ran     bool
	over    bool
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
	violation string
	seen      map[string]int
}

func newSimulation(variant string) *simulation {
	w := &simulation{
		variant: variant,
		now:     time.UnixMilli(1_700_000_000_000),
		skew:    make([]time.Duration, 3),
		vms:     make([]*process, 3),
		runs:    map[int]int{},
		answers: map[int]string{},
		expired: map[int]bool{},
		seen:    map[string]int{},
	}
	for i := range w.vms {
		w.start(i)
	}
	return w
}

func (w *simulation) start(vm int) {
	h := Holder{
		VM:          string(rune('a' + vm)),
		Incarnation: 1,
	}
	if old := w.vms[vm]; old != nil {
		old.dead = true
		h.Incarnation = old.holder.Incarnation + 1
	}
	w.vms[vm] = &process{
		holder: h,
		desk: New(Options{
			VM:          h.VM,
			Incarnation: h.Incarnation,
			Count:       2,
			Retain:      func(goodUntil time.Time) time.Time { return goodUntil.Add(ticketLifetime) },
		}),
	}
}

func (w *simulation) clock(p *process) time.Time {
	return w.now.Add(w.skew[int(p.holder.VM[0]-'a')])
}

func (w *simulation) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

func (w *simulation) applyStep(s step) {
	vm := s.VM % len(w.vms)
	p := w.vms[vm]
	switch s.Op {
	case "issue":
		w.tickets = append(w.tickets, p.desk.Issue("w", w.clock(p).Add(ticketLifetime)))
	case "ask":
		if len(w.tickets) > 0 {
			ticket := s.Ticket % len(w.tickets)
			w.ask(w.route(p, ticket, s.Arg), ticket)
		}
	case "advance", "abandon":
		if len(w.attempts) > 0 {
			w.advance(w.attempts[s.Ask%len(w.attempts)], s)
		}
	case "kill":
		w.start(vm)
	case "tick":
		w.now = w.now.Add(time.Duration(s.Arg) * time.Second)
	case "skew":
		w.skew[vm] = time.Duration(s.Arg) * time.Second
	case "stop":
		p.desk.Stop()
	case "give_up":
		w.giveUp(p)
	case "offer":
		w.offer(p, s.Arg%offerCount)
	case "deliver":
		if len(w.messages) > 0 {
			m := w.messages[s.Arg%len(w.messages)]
			w.adopt(w.vms[m.vm], m.handOver)
		}
	case "beat":
		p.desk.Adopted(w.clock(p))
	default:
		w.violate("no such step: %s", s.Op)
	}
	w.checkCounters()
}

// route returns the process that gets a request: with a nonzero arg one that knows the
// ticket's issuer, otherwise p.
func (w *simulation) route(p *process, ticket, arg int) *process {
	t, _ := Parse(w.tickets[ticket])
	for i := range w.vms {
		other := w.vms[(i+arg)%len(w.vms)]
		if c := other.desk.ticketSets[t.Holder()]; c != nil && arg > 0 {
			return other
		}
	}
	return p
}

func (w *simulation) ask(p *process, ticket int) {
	a := &attempt{
		ticket:  ticket,
		process: p,
	}
	w.attempts = append(w.attempts, a)
	w.begin(a)
}

func (w *simulation) begin(a *attempt) {
	desk := a.process.desk
	now := w.clock(a.process)
	w.injectFault(desk, now)
	s := desk.Begin(w.tickets[a.ticket], "w", uint64(a.ticket), now)
	a.entry = s.Entry
	a.done = s.Done
	w.seen[fmt.Sprint("step ", s.Kind)]++
	switch s.Kind {
	case Replay:
		a.over = true
		if string(s.Record.Body) != w.answers[a.ticket] {
			w.violate("replay_differs")
		}
	case Refused:
		w.endAttempt(a, s.Refusal.Code)
		if s.Refusal.Code.Class() == result.ClassNotRun && w.runs[a.ticket] > 0 {
			w.violate("told_not_run")
		}
	}
}

// endAttempt ends an attempt with a result code.
func (w *simulation) endAttempt(a *attempt, code result.Code) {
	a.over = true
	w.seen[code.String()]++
	if code.Class() == result.ClassNotRun && a.ran {
		w.violate("told_not_run")
	}
	if code == result.TicketExpired {
		w.expired[a.ticket] = true
	}
}

func (w *simulation) advance(a *attempt, s step) {
	switch {
	case a.over || a.process.dead:
	case a.entry == nil:
		w.beginAgainIfDone(a)
	case s.Op == "abandon":
		a.entry.Abandon()
		a.over = true
	case !a.checked:
		w.checkSending(a)
	case a.record == nil:
		w.transmit(a, s.Arg%answerCount)
	default:
		w.finish(a)
	}
}

func (w *simulation) beginAgainIfDone(a *attempt) {
	select {
	case <-a.done:
		w.begin(a)
	default:
	}
}

func (w *simulation) checkSending(a *attempt) {
	a.checked = true
	if w.variant == "skip_check" {
		a.entry.state = sent
		return
	}
	if refusal := a.entry.Sending(w.clock(a.process)); refusal != nil {
		w.endAttempt(a, refusal.Code)
	}
}

func (w *simulation) transmit(a *attempt, answer int) {
	a.record = &Record{
		Code: []result.Code{result.Done, result.EndpointRefused, result.EndpointCut}[answer],
	}
	if answer == answerRefused {
		return
	}
	a.ran = true
	w.runs[a.ticket]++
	a.record.Body = fmt.Appendf(nil, "answer %d to %d", w.runs[a.ticket], a.ticket)
	w.answers[a.ticket] = string(a.record.Body)
	if w.runs[a.ticket] > 1 {
		w.violate("doubled")
	}
	if w.expired[a.ticket] {
		w.violate("expired_ran")
	}
}

func (w *simulation) finish(a *attempt) {
	if w.variant == "free_unknown" && a.record.Code == result.EndpointCut {
		a.entry.release()
		a.over = true
		return
	}
	a.entry.Finish(*a.record)
	w.endAttempt(a, a.record.Code)
}

func (w *simulation) giveUp(p *process) {
	early := w.variant == "adopt_before_give_up" && p.handOver == nil
	h := p.desk.GiveUp(w.clock(p))
	p.handOver = &h
	for i := range h.Rights {
		if w.variant == "forget_in_flight" {
			h.Rights[i].Records = nil
		}
		if early {
			p.desk.ticketSets[h.Rights[i].Of].executable = true
		}
	}
}

func (w *simulation) offer(p *process, how int) {
	if p.handOver == nil {
		return
	}
	var candidates []Holder
	for _, other := range w.vms {
		if other != p {
			candidates = append(candidates, other.holder)
		}
	}
	o, ok := p.plan.Next(candidates)
	if !ok {
		return
	}
	p.plan = p.plan.After(o, w.send(p, o, how))
}

func (w *simulation) send(p *process, o Offer, how int) Outcome {
	h := p.handOver.Addressed(o.To)
	if !o.Rights {
		h = h.Copy()
	}
	vm := int(o.To.VM[0] - 'a')
	lost := OfferLost
	if w.variant == "second_successor" {
		lost = OfferNotSent
	}
	switch how {
	case offerNotSent:
		return OfferNotSent
	case offerDelayed:
		w.messages = append(w.messages, delayedMessage{
			vm:       vm,
			handOver: h,
		})
		return lost
	}
	accepted := w.adopt(w.vms[vm], h)
	switch {
	case how == offerReplyLost:
		return lost
	case accepted:
		return OfferAccepted
	default:
		return OfferRefused
	}
}

func (w *simulation) adopt(p *process, h HandOver) bool {
	if w.variant == "address_by_vm" {
		h.To = p.holder
	}
	ok := p.desk.Adopt(h, w.clock(p))
	w.seen[fmt.Sprint("adopt ", ok)]++
	return ok
}

// injectFault applies the variant's fault to a desk.
func (w *simulation) injectFault(d *Desk, now time.Time) {
	switch w.variant {
	case "evict_at_bound":
		if d.recordCount == d.maxRecords && len(d.finished) > 0 {
			d.dropEntry(d.finished[0])
		}
	case "sweep_unmarked":
		for len(d.finished) > 0 && now.After(d.finished[0].keepUntil) {
			d.dropEntry(d.finished[0])
		}
	case "expire_unmarked":
		for _, c := range d.ticketSets {
			c.expiredUntil = time.Time{}
		}
	}
}

// checkCounters compares each desk's counters and limits with its entries.
func (w *simulation) checkCounters() {
	for _, p := range w.vms {
		entries, used, running := 0, 0, 0
		for _, c := range p.desk.ticketSets {
			for _, e := range c.entries {
				entries++
				used += e.size
				if e.state != finished {
					running++
				}
			}
		}
		d := p.desk
		if entries != d.recordCount || used != d.usedBytes || running != d.runningCount || len(d.finished) != entries-running {
			w.violate("miscounted")
		}
		if entries > d.maxRecords || used > d.maxBytes {
			w.violate("over_bound")
		}
	}
}
