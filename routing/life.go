package routing

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// newLife is an endpoint that started again under its id.
func newLife(listed fleet.Endpoint, now time.Time) *endpoint {
	e := newEndpoint(listed)
	e.restartedAt = now
	return e
}

// restart begins a new life of an endpoint of which the list does not tell yet.
// Calls in flight still end at the former one, whose queue, prefixes, pace and
// back-off end with it: one that started empty would else be sent calls for
// prefixes that it does not hold, or none for as long as the back-off lasts.
func (p *Pool) restart(old *endpoint, incarnation int64, now time.Time) *endpoint {
	listed := old.Endpoint
	listed.Incarnation = incarnation
	e := newLife(listed, now)
	old.unlist()
	p.byID[e.ID] = e
	for i := range p.endpoints {
		if p.endpoints[i] == old {
			p.endpoints[i] = e
		}
	}
	p.ring.bind(p.endpoints)
	p.rebuild(now)
	return e
}

// describes reports whether a load is of this life: by the incarnation where it is
// told, and by its time where another VM passed it on.
func (l Load) describes(e *endpoint) bool {
	if l.Incarnation != 0 {
		return l.Incarnation == e.Incarnation
	}
	return e.livedAt(l.At)
}

// livedAt reports whether what happened at a moment happened to this life of the endpoint.
func (e *endpoint) livedAt(at time.Time) bool {
	return !at.Before(e.restartedAt)
}

// since returns what a VM told of the prompts that wait at an endpoint without those
// that were sent to an earlier life of it.
func (o otherReading) since(restartedAt time.Time) otherReading {
	if restartedAt.IsZero() {
		return o
	}
	kept := o.prompts[:0]
	for _, q := range o.prompts {
		if !q.sentAt.Before(restartedAt) {
			kept = append(kept, q)
		}
	}
	o.prompts = kept
	return o
}

// forgetHoldings drops what engines of other regions held in an earlier life.
func (f *far) forgetHoldings(restarted map[string]bool) {
	if len(restarted) == 0 {
		return
	}
	for hash, h := range f.holders {
		if restarted[h.Endpoint] {
			delete(f.holders, hash)
		}
	}
}

// doubtFor bounds how long an endpoint whose connection broke gets no calls while no
// report says which life it is in: the store tells of a new one sooner.
const doubtFor = 3 * time.Second

// doubt keeps calls off an endpoint that tells of its lives and that broke a
// connection, until a report says whether it started again. One that did is cold and
// bears a few calls a second from all VMs together, and the store tells of it late.
func (p *Pool) doubt(e *endpoint, o Outcome, now time.Time) {
	broke := o.Sent && (o.Code == result.EndpointCut || o.Code == result.EndpointFailed)
	if !broke || o.Answered || e.Incarnation == 0 || e.loadAt.IsZero() || e.place < 0 {
		return
	}
	if p.mostEjected() {
		return
	}
	p.remove(e)
	p.ejected = append(p.ejected, e)
	e.doubtedAt = now
	e.retryAt = now.Add(doubtFor)
}

// confirm ends the doubt about an endpoint whose report is newer.
func (p *Pool) confirm(e *endpoint, reportedAt time.Time) {
	if e.doubtedAt.IsZero() || !reportedAt.After(e.doubtedAt) {
		return
	}
	p.recovered(e)
}
