package emulator

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const (
	// Every VM must respect a limit limitPropagation after the engine first set it. A VM
	// that got an answer with the limit is checked limitAnswerDelay after it.
	limitPropagation = 6 * time.Second
	limitAnswerDelay = 500 * time.Millisecond
	// In any limitWindow an engine may get limitFactor times its limit, plus limitBurst
	// requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitBurst  = 5
	// limitDuration is how long each limit but the last is in force.
	limitDuration = 9 * time.Second
)

// EngineLimits configures engines that set rate limits.
type EngineLimits struct {
	Conditions

	// LimitedEngines of each region set LimitsPerSecond one after the other, each for
	// limitDuration and the last one until the end. A negative value removes the limit.
	LimitedEngines  int       `json:"engines"`
	LimitsPerSecond []float64 `json:"per_second"`
	// Restart replaces these engines once, under new IDs.
	Restart bool `json:"restart"`
}

// engineLimit is the rate limit of an engine.
type engineLimit struct {
	rate fleet.Rate
	// firstSetAt is when the engine first set a limit.
	firstSetAt time.Time
	// firstAnswerAt is when each incarnation of a VM first got an answer with the current limit.
	firstAnswerAt map[uint64]time.Time
	// arrivals are the recent requests of VMs that know the limit.
	arrivals []time.Time
}

// scheduleLimits schedules the changes of the engines' limits.
func (w *world) scheduleLimits(l EngineLimits) {
	limited := make(map[string]int)
	for _, e := range w.engines {
		limited[e.endpoint.Region]++
		if limited[e.endpoint.Region] > l.LimitedEngines {
			continue
		}
		for i, perSecond := range l.LimitsPerSecond {
			w.after(warmup+time.Duration(i)*limitDuration, func() { e.setLimit(perSecond) })
		}
		if l.Restart {
			w.after(warmup+limitDuration+limitPropagation, func() {
				if e.up {
					e.crash()
					w.addEngine(e.endpoint.Region)
				}
			})
		}
		w.addAllowedRequests(l)
	}
}

// addAllowedRequests adds the number of requests that the limits of one engine allow.
func (w *world) addAllowedRequests(l EngineLimits) {
	total := w.end.Sub(w.clock.begin) - warmup
	for i, perSecond := range l.LimitsPerSecond {
		active := limitDuration
		if i == len(l.LimitsPerSecond)-1 {
			active = total - time.Duration(i)*limitDuration
		}
		w.allowedRequests += max(perSecond, 0) * active.Seconds()
	}
}

func (e *engine) setLimit(perSecond float64) {
	if e.limit.firstSetAt.IsZero() {
		e.limit.firstSetAt = e.world.clock.now
	}
	e.limit.firstAnswerAt = make(map[uint64]time.Time)
	e.limit.arrivals = nil
	e.limit.rate = fleet.Rate{}
	if perSecond >= 0 {
		e.limit.rate = fleet.Rate{
			Named:     true,
			PerSecond: perSecond,
		}
	}
}

// applyRate handles the rate limit in an engine's answer.
func (v *vm) applyRate(e fleet.Endpoint, r fleet.Rate, sentAt time.Time) {
	if found := v.world.engineByID(e.ID); r == found.limit.rate && r.Named && found.limit.firstAnswerAt[v.incarnation].IsZero() {
		found.limit.firstAnswerAt[v.incarnation] = v.world.clock.now
	}
	v.throttle.ObserveRate(e, r, sentAt, v.now())
}

// permitTimeout equals the gateway's timeout.
const permitTimeout = 100 * time.Millisecond

func (v *vm) newThrottle() *throttle.Throttle {
	incarnation := v.incarnation
	return throttle.New(throttle.Options{
		VM:        v.member.ID,
		StartedAt: v.startedAt,
		OnLimitChanged: func(w throttle.Limit) {
			if !w.Active {
				v.pool.PauseUntil(w.Endpoint, time.Time{})
			}
			v.world.after(0, func() {
				v.run(incarnation, func() { v.gossipTo(v.roster.RandomTargets(coldFanout)) })
			})
		},
	})
}

// throttleRegion returns the members that the throttle divides a limit among.
func (v *vm) throttleRegion() throttle.RegionView {
	if v.world.defect == EnforceLimitsLocally {
		return throttle.RegionView{
			Reachable: []fleet.VM{v.member},
			Known:     1,
		}
	}
	r := throttle.RegionView{
		Reachable: v.snapshot().ReachableVMs(v.member.Region),
	}
	for _, m := range v.snapshot().Members {
		if m.VM.Region == v.member.Region {
			r.Known++
		}
	}
	return r
}

// requestPermit obtains a permit to send a request to an endpoint. Without a permit,
// then receives the time at which the endpoint accepts the next request.
func (v *vm) requestPermit(incarnation uint64, e fleet.Endpoint, then func(p *throttle.Permit, opensAt time.Time)) {
	if v.world.defect == IgnoreLimits {
		then(&throttle.Permit{}, time.Time{})
		return
	}
	verdict := v.throttle.Acquire(e, v.throttleRegion(), v.now())
	if verdict.Coordinator == nil {
		then(verdict.Permit, verdict.RetryAt)
		return
	}
	v.askCoordinator(incarnation, verdict, func(verdict throttle.Verdict) { then(verdict.Permit, verdict.RetryAt) })
}

// askCoordinator asks the coordinator of the endpoint's limit.
func (v *vm) askCoordinator(incarnation uint64, verdict throttle.Verdict, then func(throttle.Verdict)) {
	w := v.world
	coordinator := w.vmByID(verdict.Coordinator.ID)
	answered := false
	answer := func(decide func() throttle.Verdict) {
		v.run(incarnation, func() {
			if !answered {
				answered = true
				then(decide())
			}
		})
	}
	w.after(permitTimeout, func() {
		answer(func() throttle.Verdict { return v.throttle.HandleTimeout(verdict, v.now()) })
	})
	w.network.send(v.member.Region, coordinator.member.Region, func() {
		coordinator.run(coordinator.incarnation, func() {
			a := coordinator.throttle.HandleRequest(verdict.Limit, coordinator.throttleRegion(), coordinator.now())
			wait := a.NextAt.Sub(coordinator.now())
			w.network.send(coordinator.member.Region, v.member.Region, func() {
				answer(func() throttle.Verdict {
					a.NextAt = v.now().Add(wait)
					return v.throttle.HandleAnswer(verdict, a, v.now())
				})
			})
		})
	})
}

// mayUse reports whether the permit is still valid for sending a request now.
func (v *vm) mayUse(e fleet.Endpoint, p *throttle.Permit) bool {
	return v.world.defect == IgnoreLimits || v.throttle.UsePermit(e, p, v.now()) == nil
}

// checkLimit checks the request rate of an engine, counting the VMs that know its
// limit.
func (l *ledger) checkLimit(e *engine, from *vm) {
	now := l.world.clock.now
	limit := &e.limit
	if !limit.rate.Named {
		limit.arrivals = nil
		return
	}
	l.limitedRequests++
	answeredAt := limit.firstAnswerAt[from.incarnation]
	if answeredAt.IsZero() || now.Sub(answeredAt) < limitAnswerDelay {
		return
	}
	if now.Sub(limit.firstSetAt) < limitPropagation {
		return
	}
	limit.arrivals = append(limit.arrivals, now)
	for now.Sub(limit.arrivals[0]) >= limitWindow {
		limit.arrivals = limit.arrivals[1:]
	}
	if bound := limitFactor*limit.rate.PerSecond*limitWindow.Seconds() + limitBurst; float64(len(limit.arrivals)) > bound {
		l.addViolation(CheckEngineLimit, "%s has a limit of %g requests/s but received %d in %s", e.endpoint.ID, limit.rate.PerSecond, len(limit.arrivals), limitWindow)
	}
}
