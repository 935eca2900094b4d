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

// DefaultRetention is how long a record is kept after its ticket expires.
const DefaultRetention = 2 * time.Minute

// RecordOverhead is the size in bytes that a record counts in addition to its response.
const RecordOverhead = 640

// Options configures a Registry. A zero limit means its default.
type Options struct {
	VM          string
	Incarnation uint64
	// MaxRecords limits the number of records, MaxBytes their total size, MaxAnswerBytes the size of
	// one response.
	MaxRecords     int
	MaxBytes       int
	MaxAnswerBytes int
	// Retain returns until when the record of a ticket that expires at goodUntil is kept;
	// nil means DefaultRetention after it. It must not decrease as goodUntil increases.
	Retain func(goodUntil time.Time) time.Time
}

// Registry issues the tickets of one incarnation. It keeps the records and signing keys of
// its own tickets and of those it adopted. It is safe for concurrent use.
type Registry struct {
	self           IncarnationID
	maxRecords     int
	maxBytes       int
	maxAnswerBytes int
	retain         func(time.Time) time.Time

	mu       sync.Mutex
	sequence uint64
	// latestGoodUntil is the latest expiry of any ticket issued.
	latestGoodUntil time.Time
	ownTickets      *ticketSet
	ticketSets      map[IncarnationID]*ticketSet
	// finished holds finished entries, ordered by when they may be dropped.
	finished       entryHeap
	recordCount    int
	usedBytes      int
	runningCount   int
	stopping       bool
	gaveUp         bool
	forgottenUntil time.Time
}

// ticketSet is the state of all tickets that one incarnation issued.
type ticketSet struct {
	issuer IncarnationID
	key    []byte
	// executable is set if this registry may run the tickets; otherwise it only replays records.
	executable bool
	// expiredUntil is the latest expiry of a ticket that was reported expired or whose
	// record was dropped. Tickets that expire by then cannot be used, even if the clock is
	// set back.
	expiredUntil time.Time
	// droppedUntil is the latest expiry of a ticket whose record was dropped. Of a ticket
	// that expires by then and has no record, it is unknown whether it ran.
	droppedUntil time.Time
	// expiresAt is when an adopted set can be forgotten.
	expiresAt time.Time
	entries   map[uint64]*Entry
}

// New creates a registry with a random key.
func New(o Options) *Registry {
	self := IncarnationID{
		VM:          o.VM,
		Incarnation: o.Incarnation,
	}
	key := make([]byte, keyLength)
	_, _ = rand.Read(key) // documented to never return an error
	own := &ticketSet{
		issuer:     self,
		key:        key,
		executable: true,
		entries:    map[uint64]*Entry{},
	}
	d := &Registry{
		self:           self,
		maxRecords:     orDefault(o.MaxRecords, DefaultCount),
		maxBytes:       orDefault(o.MaxBytes, DefaultBytes),
		maxAnswerBytes: orDefault(o.MaxAnswerBytes, DefaultAnswerBytes),
		retain:         o.Retain,
		ownTickets:     own,
		ticketSets:     map[IncarnationID]*ticketSet{self: own},
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

// Issue returns the text of a new ticket. Nothing is stored until the ticket is used.
// The text is empty if the VM's or the workspace's name is too long.
func (d *Registry) Issue(workspace string, goodUntil time.Time) string {
	if len(workspace) > MaxWorkspace || len(d.self.VM) > MaxVM {
		return ""
	}
	t := Ticket{
		VM:          d.self.VM,
		Incarnation: d.self.Incarnation,
		Sequence:    d.nextSequence(goodUntil),
		Workspace:   workspace,
		ExpiresAt:   goodUntil.Truncate(time.Millisecond),
	}
	t.MAC = t.sign(d.ownTickets.key)
	return t.Text()
}

func (d *Registry) nextSequence(goodUntil time.Time) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latestGoodUntil = moment.Later(d.latestGoodUntil, goodUntil)
	d.sequence++
	return d.sequence
}

// Kind is the action that a Step requires.
type Kind int

// The kinds of steps.
const (
	// Run: run the call through Entry.
	Run Kind = iota + 1
	// Wait: another request is running the call; call Begin again once Done is closed.
	Wait
	// Replay: the call ran before; return Record.
	Replay
	// Refused: return Refusal.
	Refused
)

// Step is the decision of Begin.
type Step struct {
	Kind Kind
	// Entry is set on Run.
	Entry *Entry
	// Done is set on Wait.
	Done <-chan struct{}
	// Record is set on Replay. It is shared and must not be modified.
	Record *Record
	// Refusal is set on Refused. Its class is not run if this request ran nothing, and
	// unknown if the ticket's call may have run.
	Refusal *result.Refusal
}

// Begin decides how to handle a request with a ticket. callHash identifies the call: a
// ticket is valid for one call only. After Run, the entry must be ended by Finish or
// Abandon.
func (d *Registry) Begin(text, workspace string, callHash uint64, now time.Time) Step {
	t, refusal := Parse(text)
	if refusal != nil {
		return refusedStep(refusal)
	}
	if t.Workspace != workspace {
		return refusedStep(result.Refuse(result.TicketMismatch, "the ticket is of another workspace"))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropExpired(now)
	set := d.ticketSets[t.Holder()]
	if set == nil {
		return refusedStep(executorGone())
	}
	if set.key != nil && !t.hasValidMAC(set.key) {
		return refusedStep(invalid("the ticket is not genuine"))
	}
	if e := set.entries[t.Sequence]; e != nil {
		return e.repeatStep(text, callHash)
	}
	if refusal := d.checkUsable(set, t, now); refusal != nil {
		return refusedStep(refusal)
	}
	return Step{
		Kind:  Run,
		Entry: d.newEntry(set, t, text, callHash),
	}
}

func refusedStep(r *result.Refusal) Step {
	return Step{
		Kind:    Refused,
		Refusal: r,
	}
}

func executorGone() *result.Refusal {
	return result.Refuse(result.ExecutorGone, "no holder of the ticket's rights is known here")
}

// checkUsable refuses a ticket without a record that cannot be run now.
func (d *Registry) checkUsable(set *ticketSet, t Ticket, now time.Time) *result.Refusal {
	if !t.ExpiresAt.After(set.droppedUntil) {
		return result.Refuse(result.RecordLost, "records of tickets that old were dropped")
	}
	if !set.executable {
		return executorGone()
	}
	if refusal := set.checkExpired(t.ExpiresAt, now); refusal != nil {
		return refusal
	}
	if d.stopping {
		return result.Refuse(result.Stopping, "this VM is stopping")
	}
	return d.checkCapacity(now)
}

// checkExpired refuses expired tickets. It also raises expiredUntil, so that a clock
// that is set back cannot revive a ticket that was reported expired.
func (set *ticketSet) checkExpired(goodUntil, now time.Time) *result.Refusal {
	if goodUntil.After(set.expiredUntil) && !now.After(goodUntil) {
		return nil
	}
	set.expiredUntil = moment.Later(set.expiredUntil, goodUntil)
	return result.Refuse(result.TicketExpired, "the ticket was good until %s and was never used", goodUntil.UTC().Format(time.RFC3339Nano))
}

// checkCapacity returns RecordsFull if there is no room for another record. Records
// other than copies are never evicted before their retention ends.
func (d *Registry) checkCapacity(now time.Time) *result.Refusal {
	if d.hasRoom(1, RecordOverhead) {
		return nil
	}
	d.dropCopies()
	if d.hasRoom(1, RecordOverhead) {
		return nil
	}
	refusal := result.Refuse(result.RecordsFull, "all records are in use")
	if len(d.finished) > 0 {
		return refusal.WithRetryAt(moment.Later(now, d.finished[0].keepUntil))
	}
	return refusal
}

func (d *Registry) hasRoom(records, bytes int) bool {
	return d.recordCount+records <= d.maxRecords && d.usedBytes+bytes <= d.maxBytes
}

// dropCopies frees memory by dropping copies, which carry no right to run a ticket.
func (d *Registry) dropCopies() {
	for issuer, set := range d.ticketSets {
		if set.executable || set.key != nil {
			continue
		}
		for _, e := range set.entries {
			d.dropEntry(e)
		}
		delete(d.ticketSets, issuer)
	}
}

func (d *Registry) newEntry(set *ticketSet, t Ticket, text string, callHash uint64) *Entry {
	e := &Entry{
		registry:  d,
		set:       set,
		text:      strings.Clone(text),
		sequence:  t.Sequence,
		callHash:  callHash,
		goodUntil: t.ExpiresAt,
		state:     admitted,
		done:      make(chan struct{}),
		size:      RecordOverhead,
		index:     -1,
	}
	d.addEntry(e)
	d.runningCount++
	return e
}

func (d *Registry) addEntry(e *Entry) {
	e.set.entries[e.sequence] = e
	d.recordCount++
	d.usedBytes += e.size
}

func (d *Registry) dropEntry(e *Entry) {
	delete(e.set.entries, e.sequence)
	d.recordCount--
	d.usedBytes -= e.size
	if e.index >= 0 {
		heap.Remove(&d.finished, e.index)
	}
}

// dropExpired drops the records whose retention has ended.
func (d *Registry) dropExpired(now time.Time) {
	for len(d.finished) > 0 && now.After(d.finished[0].keepUntil) {
		e := d.finished[0]
		e.set.droppedUntil = moment.Later(e.set.droppedUntil, e.goodUntil)
		e.set.expiredUntil = moment.Later(e.set.expiredUntil, e.goodUntil)
		d.dropEntry(e)
	}
}

// entryHeap is a heap of entries ordered by keepUntil.
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
