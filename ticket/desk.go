package ticket

import (
	"container/heap"
	"crypto/rand"
	"strings"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/moment"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Defaults of Options, in records and bytes.
const (
	DefaultCount       = 100_000
	DefaultBytes       = 256 << 20
	DefaultAnswerBytes = 1 << 20
)

// DefaultRetention is how long a record outlives its ticket's good-until.
const DefaultRetention = 2 * time.Minute

// RecordOverhead is what a record counts besides its answer, in bytes.
const RecordOverhead = 640

// Options set up a Desk. A zero bound takes its default.
type Options struct {
	VM          string
	Incarnation uint64
	// Count bounds the records, Bytes their sum, AnswerBytes one answer.
	Count       int
	Bytes       int
	AnswerBytes int
	// Retain returns the moment until which the record of a ticket is kept, from
	// the ticket's good-until; nil means DefaultRetention after it. It must
	// never go down when its argument goes up.
	Retain func(goodUntil time.Time) time.Time
}

// Desk issues the tickets of one incarnation, and holds the records and rights
// of its own tickets and of those it adopted. Its methods may be called from
// any goroutine.
type Desk struct {
	self   Holder
	count  int
	bytes  int
	answer int
	retain func(time.Time) time.Time

	mu       sync.Mutex
	sequence uint64
	// latest is the highest good-until issued.
	latest time.Time
	own    *claim
	claims map[Holder]*claim
	// ended holds finished entries, the first to drop on top.
	ended     entryHeap
	entries   int
	used      int
	running   int
	stopping  bool
	gaveUp    bool
	forgotten time.Time
}

// claim is what a desk knows of the tickets of one incarnation.
type claim struct {
	of  Holder
	key []byte
	// held says that this desk may send; without it the records are only replayed.
	held bool
	// closed is the highest good-until that was declared expired or dropped:
	// no ticket good until then or less can be used, whatever the clock says.
	closed time.Time
	// swept is the highest good-until of a dropped record: of a ticket good
	// until then or less, and without a record, nobody knows whether it ran.
	swept time.Time
	// until is when an adopted claim can be forgotten.
	until   time.Time
	entries map[uint64]*Entry
}

// New makes a desk with a fresh key from crypto/rand.
func New(o Options) *Desk {
	self := Holder{
		VM:          o.VM,
		Incarnation: o.Incarnation,
	}
	key := make([]byte, keyLength)
	_, _ = rand.Read(key) // never fails, as its documentation says
	own := &claim{
		of:      self,
		key:     key,
		held:    true,
		entries: map[uint64]*Entry{},
	}
	d := &Desk{
		self:   self,
		count:  orDefault(o.Count, DefaultCount),
		bytes:  orDefault(o.Bytes, DefaultBytes),
		answer: orDefault(o.AnswerBytes, DefaultAnswerBytes),
		retain: o.Retain,
		own:    own,
		claims: map[Holder]*claim{self: own},
	}
	if d.retain == nil {
		d.retain = func(goodUntil time.Time) time.Time { return goodUntil.Add(DefaultRetention) }
	}
	return d
}

func orDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

// Issue returns the text of a new ticket. It costs no memory. It is empty when
// the VM's or the workspace's name is over its bound.
func (d *Desk) Issue(workspace string, goodUntil time.Time) string {
	if len(workspace) > MaxWorkspace || len(d.self.VM) > MaxVM {
		return ""
	}
	t := Ticket{
		VM:          d.self.VM,
		Incarnation: d.self.Incarnation,
		Sequence:    d.nextSequence(goodUntil),
		Workspace:   workspace,
		GoodUntil:   goodUntil.Truncate(time.Millisecond),
	}
	t.MAC = t.sign(d.own.key)
	return t.Text()
}

func (d *Desk) nextSequence(goodUntil time.Time) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latest = moment.Later(d.latest, goodUntil)
	d.sequence++
	return d.sequence
}

// Kind says what to do with a call that came with a ticket.
type Kind int

// The kinds of steps.
const (
	// Run: the call is the caller's to run, by Entry.
	Run Kind = iota + 1
	// Wait: the same call is running; call Begin again once Done is closed.
	Wait
	// Replay: the call ran before and Record is its whole answer.
	Replay
	// Refused: Refusal says why.
	Refused
)

// Step is what Begin decided.
type Step struct {
	Kind Kind
	// Entry is set on Run.
	Entry *Entry
	// Done is set on Wait.
	Done <-chan struct{}
	// Record is set on Replay; it is shared and must not be changed.
	Record *Record
	// Refusal is set on Refused. Its code is of class not run when this ask ran
	// nothing, and of class unknown when the ticket's call may have run.
	Refusal *result.Refusal
}

// Begin decides about one ask with a ticket. callHash stands for the whole
// call: a ticket serves one call only. A Run must end by Entry's Finish or Abandon.
func (d *Desk) Begin(text, workspace string, callHash uint64, now time.Time) Step {
	t, refusal := Parse(text)
	if refusal != nil {
		return refuse(refusal)
	}
	if t.Workspace != workspace {
		return refuse(result.Refuse(result.TicketMismatch, "the ticket is of another workspace"))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	c := d.claims[t.Holder()]
	if c == nil {
		return refuse(executorGone())
	}
	if c.key != nil && !t.genuine(c.key) {
		return refuse(invalid("the ticket is not genuine"))
	}
	if e := c.entries[t.Sequence]; e != nil {
		return e.repeat(text, callHash)
	}
	if refusal := d.unusable(c, t, now); refusal != nil {
		return refuse(refusal)
	}
	return Step{
		Kind:  Run,
		Entry: d.open(c, t, text, callHash),
	}
}

func refuse(r *result.Refusal) Step {
	return Step{
		Kind:    Refused,
		Refusal: r,
	}
}

func executorGone() *result.Refusal {
	return result.Refuse(result.ExecutorGone, "no holder of the ticket's rights is known here")
}

// unusable gives why a ticket without a record cannot be run now.
func (d *Desk) unusable(c *claim, t Ticket, now time.Time) *result.Refusal {
	if !t.GoodUntil.After(c.swept) {
		return result.Refuse(result.RecordLost, "records of tickets that old were dropped")
	}
	if !c.held {
		return executorGone()
	}
	if refusal := c.expired(t.GoodUntil, now); refusal != nil {
		return refusal
	}
	if d.stopping {
		return result.Refuse(result.Stopping, "this VM is stopping")
	}
	return d.full(now)
}

// expired also closes the claim for all tickets as old, so that a clock that
// is set back cannot make a ticket good that was declared expired.
func (c *claim) expired(goodUntil, now time.Time) *result.Refusal {
	if goodUntil.After(c.closed) && !now.After(goodUntil) {
		return nil
	}
	c.closed = moment.Later(c.closed, goodUntil)
	return result.Refuse(result.TicketExpired, "the ticket was good until %s and was never used", goodUntil.UTC().Format(time.RFC3339Nano))
}

// full gives RecordsFull when there is no room for one more record. A record
// whose time is not over is never dropped for a new one.
func (d *Desk) full(now time.Time) *result.Refusal {
	if d.fits(1, RecordOverhead) {
		return nil
	}
	d.dropCopies()
	if d.fits(1, RecordOverhead) {
		return nil
	}
	refusal := result.Refuse(result.RecordsFull, "all records are in use")
	if len(d.ended) > 0 {
		return refusal.Until(moment.Later(now, d.ended[0].keepUntil))
	}
	return refusal
}

func (d *Desk) fits(records, bytes int) bool {
	return d.entries+records <= d.count && d.used+bytes <= d.bytes
}

// dropCopies makes room; copies carry no rights, so no run depends on them.
func (d *Desk) dropCopies() {
	for of, c := range d.claims {
		if c.held || c.key != nil {
			continue
		}
		for _, e := range c.entries {
			d.drop(e)
		}
		delete(d.claims, of)
	}
}

func (d *Desk) open(c *claim, t Ticket, text string, callHash uint64) *Entry {
	e := &Entry{
		desk:      d,
		claim:     c,
		text:      strings.Clone(text),
		sequence:  t.Sequence,
		callHash:  callHash,
		goodUntil: t.GoodUntil,
		state:     admitted,
		done:      make(chan struct{}),
		size:      RecordOverhead,
		index:     -1,
	}
	d.add(e)
	d.running++
	return e
}

func (d *Desk) add(e *Entry) {
	e.claim.entries[e.sequence] = e
	d.entries++
	d.used += e.size
}

// drop forgets an entry.
func (d *Desk) drop(e *Entry) {
	delete(e.claim.entries, e.sequence)
	d.entries--
	d.used -= e.size
	if e.index >= 0 {
		heap.Remove(&d.ended, e.index)
	}
}

// sweep drops the records whose time is over.
func (d *Desk) sweep(now time.Time) {
	for len(d.ended) > 0 && now.After(d.ended[0].keepUntil) {
		e := d.ended[0]
		e.claim.swept = moment.Later(e.claim.swept, e.goodUntil)
		e.claim.closed = moment.Later(e.claim.closed, e.goodUntil)
		d.drop(e)
	}
}

// entryHeap orders entries by keepUntil.
type entryHeap []*Entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool { return h[i].keepUntil.Before(h[j].keepUntil) }

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	if e, ok := x.(*Entry); ok {
		e.index = len(*h)
		*h = append(*h, e)
	}
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.index = -1
	return e
}
