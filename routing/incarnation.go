package routing

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// newIncarnation returns the state of an endpoint that restarted under the same ID.
func newIncarnation(listed fleet.Endpoint, now time.Time) *endpoint {
	e := newEndpoint(listed)
	e.restartedAt = now
	return e
}

// restartEndpoint replaces an endpoint whose new incarnation is not listed yet. Calls in
// flight end at the old one, and its queue, cached prefixes, rates and backoff do not
// carry over to the new process.
func (p *Pool) restartEndpoint(old *endpoint, incarnation int64, now time.Time) *endpoint {
	listed := old.Endpoint
	listed.Incarnation = incarnation
	if old.Incarnation != 0 {
		// It may have started with other software, which its entry will tell.
		listed.SoftwareVersion = ""
	}
	e := p.replace(old, newIncarnation(listed, now), now)
	p.updateEligibility(e, now)
	return e
}

// isCurrentFor reports whether a load report is of the endpoint's current incarnation.
// Reports without an incarnation are judged by their time.
func (l Load) isCurrentFor(e *endpoint) bool {
	if l.Incarnation != 0 {
		return l.Incarnation == e.Incarnation
	}
	return e.startedBy(l.At)
}

// startedBy reports whether the current incarnation was running at the given time.
func (e *endpoint) startedBy(at time.Time) bool {
	return !at.Before(e.restartedAt)
}

// sentSince returns the queue without prompts that were sent to an earlier incarnation.
func (o peerQueue) sentSince(restartedAt time.Time) peerQueue {
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

// dropHoldings drops the holdings of restarted engines.
func (f *remoteEngines) dropHoldings(restarted map[string]bool) {
	if len(restarted) == 0 {
		return
	}
	for hash, h := range f.holders {
		if restarted[h.Endpoint] {
			delete(f.holders, hash)
		}
	}
}

// suspicionTimeout bounds how long a suspected endpoint gets no calls without a report.
const suspicionTimeout = 3 * time.Second

// suspect ejects an endpoint with a known incarnation after a broken connection, until a
// report shows whether it restarted. A restarted endpoint is cold and takes only a few
// calls per second, and the list may not show the restart yet.
func (p *Pool) suspect(e *endpoint, o Outcome, now time.Time) {
	broke := o.Sent && (o.Code == result.EndpointCut || o.Code == result.EndpointFailed)
	if !broke || o.EndpointError || e.Incarnation == 0 || e.reportedAt.IsZero() || e.eligibleIndex < 0 {
		return
	}
	if p.ejectionLimitReached() {
		return
	}
	p.removeEligible(e)
	p.ejected = append(p.ejected, e)
	e.suspectedAt = now
	e.retryAt = now.Add(suspicionTimeout)
}

// clearSuspicion reinstates a suspected endpoint after a newer report.
func (p *Pool) clearSuspicion(e *endpoint, reportedAt time.Time) {
	if e.suspectedAt.IsZero() || !reportedAt.After(e.suspectedAt) {
		return
	}
	p.reinstate(e)
}
