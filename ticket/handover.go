package ticket

import (
	"bytes"
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/moment"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// HandOver passes rights and records from a stopping incarnation to one other.
type HandOver struct {
	From Holder
	// To is the only incarnation that may take the rights. It names the
	// incarnation and not only the VM, because a VM that was replaced under the
	// same name does not know what the one before it did with the rights.
	To     Holder
	Rights []Rights
}

// Rights are those of one incarnation with its records. Each can be handed
// over by itself.
type Rights struct {
	Of Holder
	// Key is the incarnation's MAC key; nil marks a copy, which carries no rights.
	Key []byte
	// Until is when no ticket of the incarnation is good or recorded any more.
	Until time.Time
	// Closed and Swept are good-untils: tickets up to Closed can no longer be
	// used; of those up to Swept records were dropped.
	Closed  time.Time
	Swept   time.Time
	Records []HandedRecord
}

// HandedRecord is one ticket's record on its way.
type HandedRecord struct {
	Ticket    string
	CallHash  uint64
	KeepUntil time.Time
	Record    Record
}

// Addressed returns the hand-over with its receiver set.
func (h HandOver) Addressed(to Holder) HandOver {
	h.To = to
	return h
}

// Copy returns the hand-over without rights, for others than the successor.
func (h HandOver) Copy() HandOver {
	rights := slices.Clone(h.Rights)
	for i := range rights {
		rights[i].Key = nil
	}
	h.Rights = rights
	return h
}

// Adoption says that the desk's incarnation holds another's rights.
type Adoption struct {
	Of    Holder
	Until time.Time
}

// Stop refuses unused tickets from now on. Runs that were admitted go on, and
// repeats wait for them or get their records.
func (d *Desk) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
}

// Idle says that no run is admitted or sent.
func (d *Desk) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running == 0
}

// GiveUp gives up all rights for good: afterwards every Sending is refused.
// A call that is sent and not finished is handed over as RecordLost. The
// receiver is not set. A second call gives up nothing more and returns the
// same rights.
func (d *Desk) GiveUp(now time.Time) HandOver {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	d.stopping = true
	d.gaveUp = true
	d.own.until = moment.Later(d.latest, d.retain(d.latest))
	h := HandOver{
		From: d.self,
	}
	for _, c := range d.claims {
		c.held = false
		if c.key != nil && c.until.After(now) {
			h.Rights = append(h.Rights, c.rights())
		}
	}
	slices.SortFunc(h.Rights, func(a, b Rights) int {
		return cmp.Or(cmp.Compare(a.Of.VM, b.Of.VM), cmp.Compare(a.Of.Incarnation, b.Of.Incarnation))
	})
	return h
}

func (c *claim) rights() Rights {
	r := Rights{
		Of:     c.of,
		Key:    c.key,
		Until:  c.until,
		Closed: c.closed,
		Swept:  c.swept,
	}
	for _, e := range c.entries {
		if e.state != admitted {
			r.Records = append(r.Records, e.handed())
		}
	}
	slices.SortFunc(r.Records, func(a, b HandedRecord) int { return cmp.Compare(a.Ticket, b.Ticket) })
	return r
}

func (e *Entry) handed() HandedRecord {
	h := HandedRecord{
		Ticket:    e.text,
		CallHash:  e.callHash,
		KeepUntil: e.keepUntil,
		Record:    e.record,
	}
	if e.state == sent {
		h.Record = Record{
			Code: result.RecordLost,
		}
		h.KeepUntil = moment.Later(e.goodUntil, e.desk.retain(e.goodUntil))
	}
	return h
}

// Adopt takes over what another incarnation gave up, or the copies of its
// records. It is all or nothing, and true again for a hand-over taken before.
// It is false when the rights are addressed to another incarnation, this desk
// is stopping or has no room, or a record is not genuine; then nothing was taken.
func (d *Desk) Adopt(h HandOver, now time.Time) bool {
	incoming, ok := d.incoming(h)
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	if d.stopping || !d.acceptable(h, incoming, now) {
		return false
	}
	for _, c := range incoming {
		d.take(c, now)
	}
	return true
}

// incoming builds the claims of a hand-over and checks every record.
func (d *Desk) incoming(h HandOver) ([]*claim, bool) {
	claims := make([]*claim, 0, len(h.Rights))
	for _, r := range h.Rights {
		c, ok := d.claimOf(r)
		if !ok {
			return nil, false
		}
		claims = append(claims, c)
	}
	return claims, true
}

func (d *Desk) claimOf(r Rights) (*claim, bool) {
	c := &claim{
		of:      r.Of,
		key:     bytes.Clone(r.Key),
		held:    len(r.Key) > 0,
		closed:  r.Closed,
		swept:   r.Swept,
		until:   r.Until,
		entries: make(map[uint64]*Entry, len(r.Records)),
	}
	for _, record := range r.Records {
		t, refusal := Parse(record.Ticket)
		if refusal != nil || t.Holder() != r.Of || c.held && !t.genuine(r.Key) {
			return nil, false
		}
		c.entries[t.Sequence] = &Entry{
			desk:      d,
			claim:     c,
			text:      strings.Clone(record.Ticket),
			sequence:  t.Sequence,
			callHash:  record.CallHash,
			goodUntil: t.GoodUntil,
			keepUntil: moment.Later(t.GoodUntil, record.KeepUntil),
			state:     finished,
			record:    record.Record,
			size:      RecordOverhead + record.Record.size(),
			index:     -1,
		}
	}
	return c, true
}

func (d *Desk) acceptable(h HandOver, incoming []*claim, now time.Time) bool {
	records := 0
	for _, c := range incoming {
		if c.of == d.self || c.held && !d.mayHold(h, c) {
			return false
		}
		if d.isNew(c, now) {
			records += len(c.entries)
		}
	}
	if d.entries+records > d.count {
		d.dropCopies()
	}
	return d.entries+records <= d.count
}

// mayHold checks one claim with rights.
func (d *Desk) mayHold(h HandOver, c *claim) bool {
	held := d.claims[c.of]
	same := held == nil || held.key == nil || bytes.Equal(held.key, c.key)
	return h.To == d.self && same
}

// isNew says that the claim brings rights or records which the desk lacks.
// Those whose time is over are not taken: they may have been held and forgotten.
func (d *Desk) isNew(c *claim, now time.Time) bool {
	if !c.until.After(now) || !c.until.After(d.forgotten) {
		return false
	}
	held := d.claims[c.of]
	return held == nil || c.held && !held.held
}

// take adds a claim; a body that does not fit is left behind.
func (d *Desk) take(c *claim, now time.Time) {
	if !d.isNew(c, now) {
		return
	}
	if before := d.claims[c.of]; before != nil {
		for _, e := range before.entries {
			d.drop(e)
		}
	}
	d.claims[c.of] = c
	for _, e := range c.entries {
		e.record = d.bounded(e.record)
		e.size = RecordOverhead + e.record.size()
		d.add(e)
		heap.Push(&d.ended, e)
	}
}

// Adopted lists the rights this incarnation holds from others, to be said on
// heartbeats, and forgets those whose time is over.
func (d *Desk) Adopted(now time.Time) []Adoption {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	var out []Adoption
	for of, c := range d.claims {
		if of == d.self {
			continue
		}
		if now.After(c.until) {
			d.forget(c)
			continue
		}
		if c.held {
			out = append(out, Adoption{
				Of:    of,
				Until: c.until,
			})
		}
	}
	return out
}

// forget drops an adopted claim whose tickets are all over.
func (d *Desk) forget(c *claim) {
	if c.running() {
		return
	}
	for _, e := range c.entries {
		d.drop(e)
	}
	delete(d.claims, c.of)
	if c.key != nil {
		d.forgotten = moment.Later(d.forgotten, c.until)
	}
}

func (c *claim) running() bool {
	for _, e := range c.entries {
		if e.state != finished {
			return true
		}
	}
	return false
}
