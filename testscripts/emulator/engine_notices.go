package emulator

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// noticesAt is when the engines' notices begin. storeOutage covers the time in which the
	// leaving ones cannot tell the store.
	noticesAt   = warmup + time.Second
	storeOutage = 12 * time.Second
	// restNoticeDelay is the time until a VM must respect the rest that an engine names, in
	// which it may get maxRestRequests requests.
	restNoticeDelay = 500 * time.Millisecond
	maxRestRequests = 2
	// refusalDuration is how long resting engines refuse requests.
	refusalDuration = 10 * time.Second
)

// EngineNotices configures engines that say in their answers that they leave or rest.
type EngineNotices struct {
	Conditions

	// LeavingEngines of each region leave while the store answers nobody.
	LeavingEngines int `json:"leaving"`
	// RestingEngines of each region refuse all requests for a time, and name RestSeconds in
	// each refusal.
	RestingEngines int     `json:"resting"`
	RestSeconds    float64 `json:"rest_seconds"`
}

// engineNotices is what an engine says in its answers, and what reached it afterwards.
type engineNotices struct {
	leaving bool
	// restFor is the time named in refusals; zero for none.
	restFor time.Duration
	// leavingHeardAt is when each incarnation of a VM first got an answer, or read in the
	// store, that the engine leaves.
	leavingHeardAt map[uint64]time.Time
	// rests are the times named to each incarnation of a VM.
	rests map[uint64][]*restPeriod
}

// restPeriod is the time in which an engine wants no requests from a VM.
type restPeriod struct {
	namedAt, until time.Time
	arrivals       int
}

// scheduleNotices schedules the engines' notices.
func (w *world) scheduleNotices(n EngineNotices) {
	if n.LeavingEngines > 0 {
		w.after(noticesAt, func() { w.store.outage(storeOutage, true) })
	}
	number := make(map[string]int)
	for _, e := range slices.Clone(w.engines) {
		number[e.endpoint.Region]++
		switch {
		case number[e.endpoint.Region] <= n.LeavingEngines:
			w.after(noticesAt+time.Second, e.leaveUnpublished)
		case number[e.endpoint.Region] <= n.LeavingEngines+n.RestingEngines:
			w.after(noticesAt+time.Second, func() { e.refuseWithRest(n.RestSeconds) })
		}
	}
}

// leaveUnpublished makes an engine leave during an outage of the store, which it tells
// afterwards.
func (e *engine) leaveUnpublished() {
	if !e.up || e.endpoint.State != fleet.StateLive {
		return
	}
	e.endpoint.State = fleet.StateLeaving
	e.notices.leaving = true
	e.world.after(storeOutage, func() {
		e.world.store.put(e)
		e.world.after(drainTimeout+drainGrace, func() {
			e.up = false
			e.world.store.remove(e)
		})
	})
}

// refuseWithRest makes an engine refuse all requests for refusalDuration.
func (e *engine) refuseWithRest(seconds float64) {
	e.refusedFraction = 1
	e.notices.restFor = time.Duration(seconds * float64(time.Second))
	e.world.after(refusalDuration, func() {
		e.refusedFraction = 0
		e.notices.restFor = 0
	})
}

// notice returns what the engine says in an answer now.
func (e *engine) notice(refused bool) endpoint.Notice {
	notice := endpoint.Notice{
		Rate:    e.limit.rate,
		Leaving: e.notices.leaving,
	}
	if refused && e.notices.restFor > 0 {
		notice.RestUntil = e.world.clock.now.Add(e.notices.restFor)
	}
	return notice
}

// recordNotice records that an answer with a notice was sent to a VM.
func (n *engineNotices) recordNotice(to *vm, notice endpoint.Notice, now time.Time) {
	if notice.RestUntil.IsZero() {
		return
	}
	if n.rests == nil {
		n.rests = make(map[uint64][]*restPeriod)
	}
	n.rests[to.incarnation] = append(n.rests[to.incarnation], &restPeriod{
		namedAt: now,
		until:   notice.RestUntil,
	})
}

// applyNotice handles what an engine says in an answer.
func (v *vm) applyNotice(e fleet.Endpoint, n endpoint.Notice, sentAt time.Time) {
	v.applyRate(e, n.Rate, sentAt)
	v.applyStateNotice(e, n)
}

// applyStateNotice handles the notice in any answer, also to a health probe.
func (v *vm) applyStateNotice(e fleet.Endpoint, n endpoint.Notice) {
	now := v.now()
	if n.Leaving {
		v.recordLeavingHeard(e)
		v.learnLeaving([]discovery.LeavingEndpoint{{
			ID:          e.ID,
			Incarnation: e.Incarnation,
		}})
	}
	if v.world.defect != IgnoreRests && v.throttle.ObserveRest(e, n.RestUntil, now) {
		v.pool.PauseUntil(e.ID, n.RestUntil)
	}
}

// recordDeparture records that the store says that an engine leaves.
func (v *vm) recordDeparture(c discovery.Change) {
	if c.Endpoint == nil {
		return
	}
	e := v.world.engineByID(c.Endpoint.ID)
	published := c.Removed && !c.Restored || c.Endpoint.State != fleet.StateLive
	if published && e.notices.leaving {
		v.recordLeavingHeard(e.endpoint)
	}
}

func (v *vm) recordLeavingHeard(e fleet.Endpoint) {
	heard := &v.world.engineByID(e.ID).notices.leavingHeardAt
	if *heard == nil {
		*heard = make(map[uint64]time.Time)
	}
	if (*heard)[v.incarnation].IsZero() {
		(*heard)[v.incarnation] = v.world.clock.now
	}
}

// leavingFanout equals the gateway's.
const leavingFanout = 3

// learnLeaving records endpoints that leave, and passes on those that were not known.
func (v *vm) learnLeaving(list []discovery.LeavingEndpoint) {
	if v.world.defect == IgnoreDraining || v.world.defect == IgnoreLeavingNotices {
		return
	}
	changed := false
	for _, e := range list {
		changed = v.discovery.ReportLeaving(e, v.now()) || changed
	}
	if changed {
		v.endpointsChanged = true
		v.applyState()
		v.gossipTo(v.roster.RandomTargets(leavingFanout))
	}
}

// checkNotices checks a request, or a probe, against what the engine told the VM before. A
// restart or a freeze of the VM since then excuses it.
func (l *ledger) checkNotices(e *engine, from *vm, sentByCallerAt time.Time) {
	n, now := &e.notices, l.world.clock.now
	heardAt, heard := n.leavingHeardAt[from.incarnation]
	if heard && !from.disturbedAt.After(heardAt) && sentByCallerAt.Sub(heardAt) > drainTimeout {
		l.addViolation(CheckLeavingHeard, "%s sent a request to %s, of which it had heard %s earlier that it leaves", from.member.ID, e.endpoint.ID, sentByCallerAt.Sub(heardAt))
	}
	for _, r := range n.rests[from.incarnation] {
		if now.Sub(r.namedAt) < restNoticeDelay || !now.Before(r.until) || from.disturbedAt.After(r.namedAt) {
			continue
		}
		r.arrivals++
		if r.arrivals > maxRestRequests {
			l.addViolation(CheckRest, "%s sent %d requests to %s, which had asked it for %s of rest", from.member.ID, r.arrivals, e.endpoint.ID, r.until.Sub(r.namedAt))
		}
	}
}
