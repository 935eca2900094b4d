package ticket

import (
	"fmt"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// step is one event of a schedule. Indices wrap around, and a step that does
// not apply does nothing, so that every list of steps is a schedule.
type step struct {
	Op     string `json:"op"`
	VM     int    `json:"vm,omitempty"`
	Ticket int    `json:"ticket,omitempty"`
	Ask    int    `json:"ask,omitempty"`
	Arg    int    `json:"arg,omitempty"`
}

// Arguments of "advance" when the endpoint answers, and of "offer".
const (
	answerDone = iota
	answerRefused
	answerCut
	answers
)

const (
	offerAnswered = iota
	offerReplyLost
	offerDelayed
	offerNotSent
	offers
)

const goodFor = 3 * time.Second

// process is one incarnation of a VM.
type process struct {
	holder   Holder
	desk     *Desk
	dead     bool
	handOver *HandOver
	plan     HandOverPlan
}

// ask is one attempt of a caller with a ticket, at one process.
type ask struct {
	ticket  int
	process *process
	entry   *Entry
	done    <-chan struct{}
	checked bool
	record  *Record
	ran     bool
	over    bool
}

type delayed struct {
	vm       int
	handOver HandOver
}

// world is three VMs, one service that counts its runs, and callers. Freezes
// need no step: an ask that is not advanced stands still while others go on.
type world struct {
	variant  string
	now      time.Time
	skew     []time.Duration
	vms      []*process
	tickets  []string
	asks     []*ask
	messages []delayed
	runs     map[int]int
	answers  map[int]string
	expired  map[int]bool
	// violation names the first invariant that broke.
	violation string
	seen      map[string]int
}

func newWorld(variant string) *world {
	w := &world{
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

func (w *world) start(vm int) {
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
			Retain:      func(goodUntil time.Time) time.Time { return goodUntil.Add(goodFor) },
		}),
	}
}

func (w *world) clock(p *process) time.Time {
	return w.now.Add(w.skew[int(p.holder.VM[0]-'a')])
}

func (w *world) broken(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

func (w *world) apply(s step) {
	vm := s.VM % len(w.vms)
	p := w.vms[vm]
	switch s.Op {
	case "issue":
		w.tickets = append(w.tickets, p.desk.Issue("w", w.clock(p).Add(goodFor)))
	case "ask":
		if len(w.tickets) > 0 {
			ticket := s.Ticket % len(w.tickets)
			w.ask(w.route(p, ticket, s.Arg), ticket)
		}
	case "advance", "abandon":
		if len(w.asks) > 0 {
			w.advance(w.asks[s.Ask%len(w.asks)], s)
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
		w.offer(p, s.Arg%offers)
	case "deliver":
		if len(w.messages) > 0 {
			m := w.messages[s.Arg%len(w.messages)]
			w.adopt(w.vms[m.vm], m.handOver)
		}
	case "beat":
		p.desk.Adopted(w.clock(p))
	default:
		w.broken("no such step: %s", s.Op)
	}
	w.checkBounds()
}

// route gives where a caller's ask arrives: with an argument at a process that
// holds the ticket's rights, else anywhere.
func (w *world) route(p *process, ticket, arg int) *process {
	t, _ := Parse(w.tickets[ticket])
	for i := range w.vms {
		other := w.vms[(i+arg)%len(w.vms)]
		if c := other.desk.claims[t.Holder()]; c != nil && arg > 0 {
			return other
		}
	}
	return p
}

func (w *world) ask(p *process, ticket int) {
	a := &ask{
		ticket:  ticket,
		process: p,
	}
	w.asks = append(w.asks, a)
	w.begin(a)
}

func (w *world) begin(a *ask) {
	desk := a.process.desk
	now := w.clock(a.process)
	w.spoilBegin(desk, now)
	s := desk.Begin(w.tickets[a.ticket], "w", uint64(a.ticket), now)
	a.entry = s.Entry
	a.done = s.Done
	w.seen[fmt.Sprint("step ", s.Kind)]++
	switch s.Kind {
	case Replay:
		a.over = true
		if string(s.Record.Body) != w.answers[a.ticket] {
			w.broken("replay_differs")
		}
	case Refused:
		w.tell(a, s.Refusal.Code)
		if s.Refusal.Code.Class() == result.ClassNotRun && w.runs[a.ticket] > 0 {
			w.broken("told_not_run")
		}
	}
}

// tell ends an ask with a code.
func (w *world) tell(a *ask, code result.Code) {
	a.over = true
	w.seen[code.String()]++
	if code.Class() == result.ClassNotRun && a.ran {
		w.broken("told_not_run")
	}
	if code == result.TicketExpired {
		w.expired[a.ticket] = true
	}
}

func (w *world) advance(a *ask, s step) {
	switch {
	case a.over || a.process.dead:
	case a.entry == nil:
		w.awake(a)
	case s.Op == "abandon":
		a.entry.Abandon()
		a.over = true
	case !a.checked:
		w.check(a)
	case a.record == nil:
		w.transmit(a, s.Arg%answers)
	default:
		w.finish(a)
	}
}

func (w *world) awake(a *ask) {
	select {
	case <-a.done:
		w.begin(a)
	default:
	}
}

func (w *world) check(a *ask) {
	a.checked = true
	if w.variant == "skip_check" {
		a.entry.state = sent
		return
	}
	if refusal := a.entry.Sending(w.clock(a.process)); refusal != nil {
		w.tell(a, refusal.Code)
	}
}

func (w *world) transmit(a *ask, answer int) {
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
		w.broken("doubled")
	}
	if w.expired[a.ticket] {
		w.broken("expired_ran")
	}
}

func (w *world) finish(a *ask) {
	if w.variant == "free_unknown" && a.record.Code == result.EndpointCut {
		a.entry.release()
		a.over = true
		return
	}
	a.entry.Finish(*a.record)
	w.tell(a, a.record.Code)
}

func (w *world) giveUp(p *process) {
	early := w.variant == "adopt_before_give_up" && p.handOver == nil
	h := p.desk.GiveUp(w.clock(p))
	p.handOver = &h
	for i := range h.Rights {
		if w.variant == "forget_in_flight" {
			h.Rights[i].Records = nil
		}
		if early {
			p.desk.claims[h.Rights[i].Of].held = true
		}
	}
}

func (w *world) offer(p *process, how int) {
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

func (w *world) send(p *process, o Offer, how int) Outcome {
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
		w.messages = append(w.messages, delayed{
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

func (w *world) adopt(p *process, h HandOver) bool {
	if w.variant == "address_by_vm" {
		h.To = p.holder
	}
	ok := p.desk.Adopt(h, w.clock(p))
	w.seen[fmt.Sprint("adopt ", ok)]++
	return ok
}

// spoilBegin breaks a desk as the variant says.
func (w *world) spoilBegin(d *Desk, now time.Time) {
	switch w.variant {
	case "evict_at_bound":
		if d.entries == d.count && len(d.ended) > 0 {
			d.drop(d.ended[0])
		}
	case "sweep_unmarked":
		for len(d.ended) > 0 && now.After(d.ended[0].keepUntil) {
			d.drop(d.ended[0])
		}
	case "expire_unmarked":
		for _, c := range d.claims {
			c.closed = time.Time{}
		}
	}
}

// checkBounds compares each desk's counters with its entries.
func (w *world) checkBounds() {
	for _, p := range w.vms {
		entries, used, running := 0, 0, 0
		for _, c := range p.desk.claims {
			for _, e := range c.entries {
				entries++
				used += e.size
				if e.state != finished {
					running++
				}
			}
		}
		d := p.desk
		if entries != d.entries || used != d.used || running != d.running || len(d.ended) != entries-running {
			w.broken("miscounted")
		}
		if entries > d.count || used > d.bytes {
			w.broken("over_bound")
		}
	}
}
