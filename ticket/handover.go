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

// HandOver transfers rights and records from a stopping incarnation to its successor.
type HandOver struct {
	From IncarnationID
	// To is the only incarnation that may take the rights. The VM alone would not do: a
	// restarted process does not know what its predecessor did with the rights.
	To     IncarnationID
	Rights []IncarnationRights
}

// IncarnationRights are the signing key and records of one incarnation's tickets. Each can be
// transferred separately.
type IncarnationRights struct {
	Issuer IncarnationID
	// Key is the incarnation's MAC key; nil marks a copy, which carries no right to run
	// tickets.
	Key []byte
	// ExpiresAt is when all tickets of the incarnation have expired and their records may be
	// dropped.
	ExpiresAt time.Time
	// ExpiredUntil and DroppedUntil are ticket expiry times: tickets up to ExpiredUntil cannot be
	// used any more, and records of tickets up to DroppedUntil were dropped.
	ExpiredUntil time.Time
	DroppedUntil time.Time
	Records      []TransferredRecord
}

// TransferredRecord is the record of one ticket in a HandOver.
type TransferredRecord struct {
	Ticket    string
	CallHash  uint64
	KeepUntil time.Time
	Record    Record
}

// WithReceiver returns the hand-over addressed to a receiver.
func (h HandOver) WithReceiver(to IncarnationID) HandOver {
	h.To = to
	return h
}

// WithoutKeys returns the hand-over without keys, for VMs other than the successor.
func (h HandOver) WithoutKeys() HandOver {
	rights := slices.Clone(h.Rights)
	for i := range rights {
		rights[i].Key = nil
	}
	h.Rights = rights
	return h
}

// Takeover announces that this incarnation took over the rights of another one.
type Takeover struct {
	Issuer    IncarnationID
	ExpiresAt time.Time
}

// Stop refuses unused tickets from now on. Runs in progress continue, and repeated
// requests still get their records.
func (d *Registry) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
}

// Idle reports whether no run is in progress.
func (d *Registry) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runningCount == 0
}

// Relinquish permanently gives up all rights: every later MarkSent is refused. A call that
// was sent but has not finished is transferred as RecordLost. The receiver is left
// unset. Further calls return the same rights.
func (d *Registry) Relinquish(now time.Time) HandOver {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropExpired(now)
	d.stopping = true
	d.gaveUp = true
	d.ownTickets.expiresAt = moment.Later(d.latestGoodUntil, d.retain(d.latestGoodUntil))
	h := HandOver{
		From: d.self,
	}
	for _, set := range d.ticketSets {
		set.executable = false
		if set.key != nil && set.expiresAt.After(now) {
			h.Rights = append(h.Rights, set.exportRights())
		}
	}
	slices.SortFunc(h.Rights, func(a, b IncarnationRights) int {
		return cmp.Or(cmp.Compare(a.Issuer.VM, b.Issuer.VM), cmp.Compare(a.Issuer.Incarnation, b.Issuer.Incarnation))
	})
	return h
}

func (set *ticketSet) exportRights() IncarnationRights {
	r := IncarnationRights{
		Issuer:       set.issuer,
		Key:          set.key,
		ExpiresAt:    set.expiresAt,
		ExpiredUntil: set.expiredUntil,
		DroppedUntil: set.droppedUntil,
	}
	for _, e := range set.entries {
		if e.state != admitted {
			r.Records = append(r.Records, e.exportRecord())
		}
	}
	slices.SortFunc(r.Records, func(a, b TransferredRecord) int { return cmp.Compare(a.Ticket, b.Ticket) })
	return r
}

func (e *Entry) exportRecord() TransferredRecord {
	h := TransferredRecord{
		Ticket:    e.text,
		CallHash:  e.callHash,
		KeepUntil: e.keepUntil,
		Record:    e.record,
	}
	if e.state == sent {
		h.Record = Record{
			Code: result.RecordLost,
		}
		h.KeepUntil = moment.Later(e.goodUntil, e.registry.retain(e.goodUntil))
	}
	return h
}

// TakeOver takes over the rights, or copies of records, from another incarnation. It is
// atomic and idempotent. It returns false if the rights are addressed to another
// incarnation, this registry is stopping or full, or a record is not genuine.
func (d *Registry) TakeOver(h HandOver, now time.Time) bool {
	incoming, ok := d.parseTicketSets(h)
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropExpired(now)
	if d.stopping || !d.canAdopt(h, incoming, now) {
		return false
	}
	for _, set := range incoming {
		d.install(set, now)
	}
	return true
}

// parseTicketSets decodes a hand-over and verifies every record.
func (d *Registry) parseTicketSets(h HandOver) ([]*ticketSet, bool) {
	sets := make([]*ticketSet, 0, len(h.Rights))
	for _, r := range h.Rights {
		set, ok := d.parseTicketSet(r)
		if !ok {
			return nil, false
		}
		sets = append(sets, set)
	}
	return sets, true
}

func (d *Registry) parseTicketSet(r IncarnationRights) (*ticketSet, bool) {
	set := &ticketSet{
		issuer:       r.Issuer,
		key:          bytes.Clone(r.Key),
		executable:   len(r.Key) > 0,
		expiredUntil: r.ExpiredUntil,
		droppedUntil: r.DroppedUntil,
		expiresAt:    r.ExpiresAt,
		entries:      make(map[uint64]*Entry, len(r.Records)),
	}
	for _, record := range r.Records {
		t, refusal := Parse(record.Ticket)
		if refusal != nil || t.Holder() != r.Issuer || set.executable && !t.hasValidMAC(r.Key) {
			return nil, false
		}
		set.entries[t.Sequence] = &Entry{
			registry:  d,
			set:       set,
			text:      strings.Clone(record.Ticket),
			sequence:  t.Sequence,
			callHash:  record.CallHash,
			goodUntil: t.ExpiresAt,
			keepUntil: moment.Later(t.ExpiresAt, record.KeepUntil),
			state:     finished,
			record:    record.Record,
			size:      RecordOverhead + record.Record.size(),
			index:     -1,
		}
	}
	return set, true
}

func (d *Registry) canAdopt(h HandOver, incoming []*ticketSet, now time.Time) bool {
	records := 0
	for _, set := range incoming {
		if set.issuer == d.self || set.executable && !d.canTakeRights(h, set) {
			return false
		}
		if d.isNew(set, now) {
			records += len(set.entries)
		}
	}
	if d.recordCount+records > d.maxRecords {
		d.dropCopies()
	}
	return d.recordCount+records <= d.maxRecords
}

// canTakeRights checks the receiver and the key of a set with rights.
func (d *Registry) canTakeRights(h HandOver, set *ticketSet) bool {
	existing := d.ticketSets[set.issuer]
	same := existing == nil || existing.key == nil || bytes.Equal(existing.key, set.key)
	return h.To == d.self && same
}

// isNew reports whether the set adds rights or records. Expired sets are not taken, as
// this registry may have held and forgotten them.
func (d *Registry) isNew(set *ticketSet, now time.Time) bool {
	if !set.expiresAt.After(now) || !set.expiresAt.After(d.forgottenUntil) {
		return false
	}
	existing := d.ticketSets[set.issuer]
	return existing == nil || set.executable && !existing.executable
}

// install adds a set. Responses over the size limits are dropped.
func (d *Registry) install(set *ticketSet, now time.Time) {
	if !d.isNew(set, now) {
		return
	}
	if before := d.ticketSets[set.issuer]; before != nil {
		for _, e := range before.entries {
			d.dropEntry(e)
		}
	}
	d.ticketSets[set.issuer] = set
	for _, e := range set.entries {
		e.record = d.boundRecord(e.record)
		e.size = RecordOverhead + e.record.size()
		d.addEntry(e)
		heap.Push(&d.finished, e)
	}
}

// Takeovers lists the rights taken over from other incarnations, to be announced in
// heartbeats, and forgets expired ones.
func (d *Registry) Takeovers(now time.Time) []Takeover {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropExpired(now)
	var out []Takeover
	for issuer, set := range d.ticketSets {
		if issuer == d.self {
			continue
		}
		if now.After(set.expiresAt) {
			d.forget(set)
			continue
		}
		if set.executable {
			out = append(out, Takeover{
				Issuer:    issuer,
				ExpiresAt: set.expiresAt,
			})
		}
	}
	return out
}

// forget drops an adopted set whose tickets have all expired, unless one is running.
func (d *Registry) forget(set *ticketSet) {
	if set.hasRunningEntry() {
		return
	}
	for _, e := range set.entries {
		d.dropEntry(e)
	}
	delete(d.ticketSets, set.issuer)
	if set.key != nil {
		d.forgottenUntil = moment.Later(d.forgottenUntil, set.expiresAt)
	}
}

func (set *ticketSet) hasRunningEntry() bool {
	for _, e := range set.entries {
		if e.state != finished {
			return true
		}
	}
	return false
}
