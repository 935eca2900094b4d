package ticket

import (
	"container/heap"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/moment"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Record is the fate of one ticket's call. Header and Body are kept as given
// and must not be changed afterwards.
type Record struct {
	Code   result.Code
	Status int
	Header http.Header
	Body   []byte
}

func (r Record) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// state is how far a ticket's call has come.
type state int

const (
	// admitted: may still be sent or abandoned.
	admitted state = iota
	// sent: the first byte may have gone out.
	sent
	// finished: the record holds what became of it.
	finished
	// released: the ticket is free again; this entry is void.
	released
)

// Entry is the one run of a ticket's call.
type Entry struct {
	desk      *Desk
	claim     *claim
	text      string
	sequence  uint64
	callHash  uint64
	goodUntil time.Time
	// keepUntil is when a finished entry may be dropped.
	keepUntil time.Time
	state     state
	// done is closed and set to nil when the run ends.
	done   chan struct{}
	record Record
	size   int
	// index is the place in the desk's heap, -1 when not there.
	index int
}

// Sending must be called directly before the first byte goes out, with a
// fresh now. A nil return spends the ticket: the call counts as run. On a
// refusal (TicketExpired or Stopping, both not run; RecordLost on a second
// call) nothing may be sent, and the entry is over.
func (e *Entry) Sending(now time.Time) *result.Refusal {
	e.desk.mu.Lock()
	defer e.desk.mu.Unlock()
	if e.state != admitted {
		return result.Refuse(result.RecordLost, "the ticket's call was already sent")
	}
	if refusal := e.unsendable(now); refusal != nil {
		e.release()
		return refusal
	}
	e.state = sent
	return nil
}

func (e *Entry) unsendable(now time.Time) *result.Refusal {
	if !e.claim.held {
		return result.Refuse(result.Stopping, "this VM gave up the ticket's rights")
	}
	return e.claim.expired(e.goodUntil, now)
}

// Finish records what became of the call. A code of class not run frees the
// ticket, because the endpoint certainly ran nothing. Any other code is kept
// until the ticket's time and the retention are over; an answer over the
// bounds is kept without its body and is then answered RecordLost.
func (e *Entry) Finish(r Record) {
	e.desk.mu.Lock()
	defer e.desk.mu.Unlock()
	if e.state == finished || e.state == released {
		return
	}
	if r.Code.Class() == result.ClassNotRun {
		e.release()
		return
	}
	e.keep(r)
}

// Abandon frees the ticket when nothing was sent. After Sending it records the
// call as EndpointFailed (unknown) instead; after Finish it does nothing, so
// it can be deferred.
func (e *Entry) Abandon() {
	e.desk.mu.Lock()
	defer e.desk.mu.Unlock()
	switch e.state {
	case admitted:
		e.release()
	case sent:
		e.keep(Record{
			Code: result.EndpointFailed,
		})
	}
}

// release frees the ticket.
func (e *Entry) release() {
	e.state = released
	e.desk.drop(e)
	e.wake()
}

func (e *Entry) keep(r Record) {
	e.state = finished
	e.record = e.desk.bounded(r)
	size := e.record.size()
	e.size += size
	e.desk.used += size
	e.keepUntil = moment.Later(e.goodUntil, e.desk.retain(e.goodUntil))
	heap.Push(&e.desk.ended, e)
	e.wake()
}

// bounded returns the record, or RecordLost in its place when it is too large.
// Of a call that did not end as done only the code is kept.
func (d *Desk) bounded(r Record) Record {
	if r.Code.Class() != result.ClassDone {
		return Record{
			Code: r.Code,
		}
	}
	size := r.size()
	if size <= d.answer && d.used+size <= d.bytes {
		return r
	}
	return Record{
		Code: result.RecordLost,
	}
}

// wake ends the run for those who wait.
func (e *Entry) wake() {
	e.desk.running--
	close(e.done)
	e.done = nil
}

// repeat answers another ask with the entry's ticket. The whole text is
// compared, because a claim without a key cannot check the MAC.
func (e *Entry) repeat(text string, callHash uint64) Step {
	if subtle.ConstantTimeCompare([]byte(text), []byte(e.text)) == 0 {
		return refuse(invalid("the ticket is not genuine"))
	}
	if callHash != e.callHash {
		return refuse(result.Refuse(result.TicketMismatch, "the ticket was used for another call"))
	}
	if e.state != finished {
		return Step{
			Kind: Wait,
			Done: e.done,
		}
	}
	if e.record.Code.Class() != result.ClassDone {
		return refuse(result.Refuse(e.record.Code, "the ticket's call may have run; this is its recorded outcome"))
	}
	return Step{
		Kind:   Replay,
		Record: &e.record,
	}
}
