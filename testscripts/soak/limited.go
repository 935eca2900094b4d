package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"
)

const (
	// limitKnown is how long after a replica named a limit all VMs must keep to it.
	limitKnown = 6 * time.Second
	// A replica may get so many times its limit in any limitIn, and so many requests
	// besides.
	limitIn    = 4 * time.Second
	limitTimes = 1.5
	limitMore  = 5
	// limitedShare is the part of all calls that is served while replicas which others
	// can stand in for name limits, and nothing else is wrong.
	limitedShare = 0.9
	// namedFor is how long a limit lasts with nothing else wrong.
	namedFor = limitKnown + 8*time.Second
	// firstLimit and lastLimit are the limits in requests a second.
	firstLimit = 1.0
	lastLimit  = 3.0
)

// limitSpan is a time in which a replica named a limit; perSecond is negative for none.
type limitSpan struct {
	span
	perSecond float64
}

// asked notes that a replica was asked for its load or health.
func (l *ledger) asked(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.questions[id] = append(l.questions[id], time.Now())
}

// limited notes that a replica names a limit from now on.
func (l *ledger) limited(id string, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	spans := l.limits[id]
	if len(spans) > 0 {
		spans[len(spans)-1].to = time.Now()
	}
	l.limits[id] = append(spans, limitSpan{
		span: span{
			from: time.Now(),
		},
		perSecond: perSecond,
	})
}

// setLimit lets a replica name a limit; a negative one ends it.
func (w *world) setLimit(r *servingReplica, perSecond float64) {
	w.tell("%s names a limit of %g", r.ID, perSecond)
	w.ledger.limited(r.ID, perSecond)
	if perSecond < 0 {
		r.SetLimit("")
		return
	}
	r.SetLimit(strconv.FormatFloat(perSecond, 'g', -1, 64))
}

// end ends a replica. Its next life names no limit until it is told to.
func (w *world) end(r *servingReplica) {
	r.Crash()
	w.ledger.mu.Lock()
	spans := w.ledger.limits[r.ID]
	w.ledger.mu.Unlock()
	if len(spans) > 0 {
		w.ledger.limited(r.ID, -1)
	}
}

// playLimited lets one engine of each region and the only plain service of one name limits,
// calmly at first and among faults then. In the end the limits of engines rise, and that
// of the plain service goes.
func playLimited(ctx context.Context, w *world, _ *load) (out []Violation) {
	sleepFor(ctx, calmFor)
	engines, plain := w.toLimit()
	for _, r := range append(slices.Clone(engines), plain) {
		w.setLimit(r, firstLimit)
	}
	named := time.Now()
	sleepFor(ctx, namedFor)
	if share, _ := w.ledger.served(named, time.Now().Add(-time.Second)); share < limitedShare {
		out = append(out, Violation{
			Check:  "endpoint_limit",
			Detail: fmt.Sprintf("%.2f of all calls were served while a part of the replicas named limits", share),
		})
	}
	w.inject(ctx)
	engines, plain = w.toLimit()
	for _, r := range engines {
		w.setLimit(r, lastLimit)
	}
	w.setLimit(plain, -1)
	sleepFor(ctx, namedFor)
	return out
}

// toLimit returns the first engine of each region that runs, and the plain replica of the
// last one, which is no home of any route.
func (w *world) toLimit() (engines []*servingReplica, plain *servingReplica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := make(map[string]bool)
	for _, r := range w.replicas {
		switch {
		case r.gone:
		case r.Service == servicePlain:
			plain = r
		case !seen[r.region]:
			seen[r.region] = true
			engines = append(engines, r)
		}
	}
	return engines, plain
}

// checkEndpointLimits holds what reached replicas from all VMs, questions included, against
// the limits that they named.
func (l *ledger) checkEndpointLimits() (out []string) {
	for id, spans := range l.limits {
		times := slices.Clone(l.questions[id])
		for _, r := range l.runs {
			if r.Replica == id {
				times = append(times, r.At)
			}
		}
		for _, s := range spans {
			if s.perSecond < 0 {
				continue
			}
			bound := limitTimes*s.perSecond*limitIn.Seconds() + limitMore
			if most := mostWithin(s.known(times), limitIn); float64(most) > bound {
				out = append(out, fmt.Sprintf("%s got %d requests in %v after it had named a limit of %g a second, %g at the most", id, most, limitIn, s.perSecond, bound))
			}
		}
	}
	return out
}

// known returns the times at which all VMs must have kept to the limit.
func (s limitSpan) known(times []time.Time) []time.Time {
	kept := span{
		from: s.from.Add(limitKnown),
		to:   s.to,
	}
	return slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return !kept.covers(at) })
}
