package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// Check names something that must hold.
type Check string

// The checks.
const (
	CheckTwice       Check = "twice"
	CheckRefusedRan  Check = "refused_ran"
	CheckCold        Check = "cold"
	CheckBudget      Check = "budget"
	CheckVersionBack Check = "version_back"
	CheckVersionLate Check = "version_late"
	CheckDeadNamed   Check = "dead_named"
	CheckHomes       Check = "homes"
	CheckRuns        Check = "runs"
	CheckEvacuated   Check = "evacuated"
	CheckLeaving     Check = "leaving"
	CheckUnanswered  Check = "unanswered"
	CheckCrashing    Check = "crashing"
	CheckLimit       Check = "limit"
)

const (
	// inTouchAfter is how long a VM must have been unharmed for the bounds in time.
	inTouchAfter = 6 * time.Second
	// deadNamedFor is how long a dead VM may be named.
	deadNamedFor = inTouchAfter + 3*time.Second
	// coldBound is how many requests a cold endpoint may get in one second.
	coldBound = 5
	// overrunMost is how many runs on more endpoints than a route allows are borne: a
	// VM that was lost with a call is taken to have had one endpoint run it, and may
	// have had two.
	overrunMost = 3
	// newsTakes is how long nobody can know that an endpoint is cold: a read of the
	// store and the way there. What is sent until then is not counted, as bursts of
	// random requests alone exceed the bound in one of 10,000 runs.
	newsTakes = 200 * time.Millisecond
	// answerSlack is how long after its deadline a request is answered at the latest.
	answerSlack = 500 * time.Millisecond
)

// ledger keeps what callers and endpoints see, and what was wrong with it.
type ledger struct {
	world      *world
	requests   []*request
	answered   int
	runs       int
	violations []Violation
	versions   map[uint64]uint64
	repeats    []time.Time
	firsts     []time.Time
	// overrun counts runs on more endpoints than the route allows.
	overrun int
	// crashes are the endpoints that each content has crashed, sentAfter the requests
	// with it that still reached endpoints when all VMs could know.
	crashes   map[uint64][]time.Time
	sentAfter map[uint64]map[int]bool
	// repeated counts requests that were sent again as they broke off, heldWrongly those
	// that were held although they crash nothing.
	repeated    int
	heldWrongly int
	// limited counts what reached engines while they named limits.
	limited int
}

func newLedger(w *world) *ledger {
	return &ledger{
		world:    w,
		versions: make(map[uint64]uint64),

		crashes:   make(map[uint64][]time.Time),
		sentAfter: make(map[uint64]map[int]bool),
	}
}

func (l *ledger) violate(c Check, format string, args ...any) {
	l.violations = append(l.violations, Violation{
		Check: c,
		At:    l.world.clock.elapsed(),
		Text:  fmt.Sprintf(format, args...),
	})
}

// inTouch reports whether the bounds in time hold for a VM now.
func (l *ledger) inTouch(v *vm) bool {
	now := l.world.clock.now
	s := l.world.store
	calm := s.down == 0 && now.Sub(s.unstableAt) >= inTouchAfter
	for _, turned := range s.turnsAway {
		calm = calm && turned == 0
	}
	cut := false
	for way, n := range l.world.network.cuts {
		cut = cut || (n > 0 && (way.from == v.vm.Region || way.to == v.vm.Region))
	}
	return v.up && !v.frozen && !cut && calm && now.Sub(v.disturbedAt) >= inTouchAfter
}

// handled notes by which version a VM handles a request.
func (l *ledger) handled(v *vm, r *request, version uint64) {
	if version < l.versions[v.life] {
		l.violate(CheckVersionBack, "%s went from version %d to %d", v.vm.ID, l.versions[v.life], version)
	}
	l.versions[v.life] = max(l.versions[v.life], version)
	if !l.inTouch(v) {
		return
	}
	for _, a := range l.world.store.acknowledged {
		if a.version > version && r.sentAt.Sub(a.at) > configWithin {
			l.violate(CheckVersionLate, "%s handles by version %d, %d was acknowledged %s before", v.vm.ID, version, a.version, r.sentAt.Sub(a.at))
			return
		}
	}
}

// named notes which VMs a directory names.
func (l *ledger) named(by *vm, list []*vm) {
	if !l.inTouch(by) || !slices.ContainsFunc(list, func(v *vm) bool { return v.up }) {
		return
	}
	for _, v := range list {
		if !v.up && l.world.clock.now.Sub(v.disturbedAt) > deadNamedFor {
			l.violate(CheckDeadNamed, "%s names %s, which is gone since %s", by.vm.ID, v.vm.ID, l.world.clock.now.Sub(v.disturbedAt))
		}
	}
}

// arrived notes that an endpoint got a request.
func (l *ledger) arrived(e *engine, a attempt) {
	now := l.world.clock.now
	r := a.request
	r.run.arrivals++
	if r.run.arrivals == 1 {
		l.firsts = append(l.firsts, now)
	} else {
		l.repeats = append(l.repeats, now)
		l.checkBudget(now)
	}
	if len(r.homes) > 0 && !slices.Contains(r.homes, e.endpoint.Region) {
		l.violate(CheckHomes, "request %d reached %s", r.id, e.endpoint.Region)
	}
	l.checkCold(e, a, now)
	l.checkCrashing(a)
	l.checkLimit(e, a.from)
	if l.inTouch(a.from) {
		l.checkAcknowledged(e, a)
	}
}

// checkCold holds a cold endpoint's requests against its bound.
func (l *ledger) checkCold(e *engine, a attempt, now time.Time) {
	if !e.cold() || a.sentAt.Sub(e.coldUntil.Add(-coldFor)) < newsTakes {
		return
	}
	e.arrivals = append(e.arrivals, arrival{
		sent:    a.sentAt,
		arrived: now,
	})
	count := 0
	for _, x := range e.arrivals {
		if now.Sub(x.sent) < time.Second {
			count++
		}
	}
	if count > coldBound {
		l.violate(CheckCold, "%s got %d requests in a second while cold", e.endpoint.ID, count)
	}
}

// checkBudget bounds the repeats of the last window.
func (l *ledger) checkBudget(now time.Time) {
	requests := 0
	for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
		requests = max(requests, countIn(l.firsts, now.Add(-back-retryWindow), now.Add(-back)))
	}
	repeats := countIn(l.repeats, now.Add(-retryWindow), now)
	if bound := retryRatio*float64(requests) + retrySlack; float64(repeats) > bound {
		l.violate(CheckBudget, "%d repeats of %d requests", repeats, requests)
	}
}

func countIn(list []time.Time, after, until time.Time) int {
	n := 0
	for i := len(list) - 1; i >= 0 && list[i].After(after); i-- {
		if !list[i].After(until) {
			n++
		}
	}
	return n
}

// checkAcknowledged holds a request against what the store took before.
func (l *ledger) checkAcknowledged(e *engine, a attempt) {
	evacuatedAt := time.Time{}
	for _, k := range l.world.store.acknowledged {
		switch {
		case k.leaving == e.endpoint.ID && a.request.sentAt.Sub(k.at) > drainWithin:
			l.violate(CheckLeaving, "%s sends to %s, which leaves since %s", a.from.vm.ID, e.endpoint.ID, a.sentAt.Sub(k.at))
		case k.evacuated != e.endpoint.DataCentre:
		case k.takenBack:
			evacuatedAt = time.Time{}
		case evacuatedAt.IsZero():
			evacuatedAt = k.at
		}
	}
	if !evacuatedAt.IsZero() && a.sentAt.Sub(evacuatedAt) > evacuateWithin {
		l.violate(CheckEvacuated, "%s sends to %s", a.from.vm.ID, e.endpoint.ID)
	}
}

// ran notes that an endpoint began to work on a request.
func (l *ledger) ran(e *engine, a attempt) {
	l.runs++
	r := a.request
	r.run.count++
	if !slices.Contains(r.run.engines, e) {
		r.run.engines = append(r.run.engines, e)
	}
	if r.run.count > 1 && !r.idempotent {
		l.violate(CheckTwice, "request %d ran %d times", r.id, r.run.count)
	}
	if r.run.ended && r.run.answer.Class() == result.ClassNotRun {
		l.violate(CheckRefusedRan, "request %d ran after %d", r.id, r.run.answer)
	}
	if over := len(l.living(r.run.engines)) - r.most; over > 0 {
		l.overrun++
		if l.overrun > overrunMost {
			l.violate(CheckRuns, "request %d ran on %d endpoints", r.id, len(r.run.engines))
		}
	}
}

func (l *ledger) living(list []*engine) []*engine {
	var out []*engine
	for _, e := range list {
		if e.up {
			out = append(out, e)
		}
	}
	return out
}

// answer notes what the caller is told.
func (l *ledger) answer(r *request, v *vm, code result.Code) {
	if r.run.ended {
		l.violate(CheckUnanswered, "request %d was answered twice", r.id)
	}
	r.run.ended = true
	r.run.answer = code
	l.answered++
	l.noteHeld(r, code)
	l.world.sendAgain(r, v, code)
	if code.Class() == result.ClassNotRun && r.run.count > 0 {
		l.violate(CheckRefusedRan, "request %d ran and was told %d", r.id, code)
	}
	if late := l.world.clock.now.Sub(r.deadline); late > answerSlack && l.inTouch(v) {
		l.violate(CheckUnanswered, "request %d was answered %s late", r.id, late)
	}
}
