package ticket

import (
	"container/heap"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/moment"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Record is the recorded outcome of a ticket's call. Header and Body are not copied
// and must not be modified afterwards.
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

// state is the progress of a ticket's call.
type state int

const (
	// admitted: not sent yet.
	admitted state = iota
	// sent: the first byte may have been sent.
	sent
	// finished: record holds the outcome.
	finished
	// released: the ticket can be used again and this entry is void.
	released
)

// Entry tracks the run of one ticket's call.
type Entry struct {
	registry  *Registry
	set       *ticketSet
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
	// index is the position in the registry's heap, -1 if not there.
	index int
}

// MarkSent must be called right before the first byte is sent, with the current time.
// Nil means that the ticket is used and the call counts as run. On a refusal nothing
// may be sent and the entry has ended: TicketExpired and Stopping are of class not
// run, RecordLost is returned if the call was already sent.
func (e *Entry) MarkSent(now time.Time) *result.Refusal {
	e.registry.mu.Lock()
	defer e.registry.mu.Unlock()
	if e.state != admitted {
		return result.Refuse(result.RecordLost, "the ticket's call was already sent")
	}
	if refusal := e.checkSendable(now); refusal != nil {
		e.release()
		return refusal
	}
	e.state = sent
	return nil
}

func (e *Entry) checkSendable(now time.Time) *result.Refusal {
	if !e.set.executable {
		return result.Refuse(result.Stopping, "this VM gave up the ticket's rights")
	}
	return e.set.checkExpired(e.goodUntil, now)
}

// Finish records the outcome. A code of class not run makes the ticket usable again.
// Any other outcome is kept until the ticket's expiry plus retention. A response over
// the size limits is not kept; later requests get RecordLost.
func (e *Entry) Finish(r Record) {
	e.registry.mu.Lock()
	defer e.registry.mu.Unlock()
	if e.state == finished || e.state == released {
		return
	}
	if r.Code.Class() == result.ClassNotRun {
		e.release()
		return
	}
	e.storeRecord(r)
}

// Abandon ends the entry if Finish was not called, so it can be deferred. The ticket
// becomes usable again if nothing was sent; otherwise the outcome is EndpointFailed
// (unknown).
func (e *Entry) Abandon() {
	e.registry.mu.Lock()
	defer e.registry.mu.Unlock()
	switch e.state {
	case admitted:
		e.release()
	case sent:
		e.storeRecord(Record{
			Code: result.EndpointFailed,
		})
	}
}

// release makes the ticket usable again.
func (e *Entry) release() {
	e.state = released
	e.registry.dropEntry(e)
	e.signalDone()
}

func (e *Entry) storeRecord(r Record) {
	e.state = finished
	e.record = e.registry.boundRecord(r)
	size := e.record.size()
	e.size += size
	e.registry.usedBytes += size
	e.keepUntil = moment.Later(e.goodUntil, e.registry.retain(e.goodUntil))
	heap.Push(&e.registry.finished, e)
	e.signalDone()
}

// boundRecord returns the record, or RecordLost if it exceeds the size limits. Only the
// code is kept unless the call is done.
func (d *Registry) boundRecord(r Record) Record {
	if r.Code.Class() != result.ClassDone {
		return Record{
			Code: r.Code,
		}
	}
	size := r.size()
	if size <= d.maxAnswerBytes && d.usedBytes+size <= d.maxBytes {
		return r
	}
	return Record{
		Code: result.RecordLost,
	}
}

// signalDone wakes the requests that wait for the run.
func (e *Entry) signalDone() {
	e.registry.runningCount--
	close(e.done)
	e.done = nil
}

// repeatStep handles another request with the entry's ticket. It compares the whole
// text, because the MAC cannot be verified without the key.
func (e *Entry) repeatStep(text string, callHash uint64) Step {
	if subtle.ConstantTimeCompare([]byte(text), []byte(e.text)) == 0 {
		return refusedStep(invalid("the ticket is not genuine"))
	}
	if callHash != e.callHash {
		return refusedStep(result.Refuse(result.TicketMismatch, "the ticket was used for another call"))
	}
	if e.state != finished {
		return Step{
			Kind: Wait,
			Done: e.done,
		}
	}
	if e.record.Code.Class() != result.ClassDone {
		return refusedStep(result.Refuse(e.record.Code, "the ticket's call may have run; this is its recorded outcome"))
	}
	return Step{
		Kind:   Replay,
		Record: &e.record,
	}
}
