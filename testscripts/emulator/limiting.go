package emulator

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

const (
	// limitKnown is how long after an engine named its limit all VMs must keep to it, and
	// toldFor how long after it answered one with it what comes from that one counts.
	limitKnown = 6 * time.Second
	toldFor    = 500 * time.Millisecond
	// An engine may get so many times its limit in any limitIn, and so many requests
	// besides.
	limitIn    = 4 * time.Second
	limitTimes = 1.5
	limitMore  = 5
	// limitFor is how long each limit of a row lasts.
	limitFor = 9 * time.Second
)

// Limiting are engines that name limits, from some seconds after the start on.
type Limiting struct {
	// Engines of each region name limits of PerSecond, one after the other, each for
	// limitFor and the last one to the end; a negative one is none.
	Engines   int       `json:"engines"`
	PerSecond []float64 `json:"per_second"`
	// Restart lets such engines start again in the middle, under other ids.
	Restart bool `json:"restart"`
	// Calm leaves out all faults.
	Calm bool `json:"calm"`
	// Regions, VMs and Of, the engines of each region, and Requests a second take the
	// place of what a seed draws.
	Regions  int     `json:"regions"`
	VMs      int     `json:"vms"`
	Of       int     `json:"of"`
	Requests float64 `json:"requests"`
}

func (l Limiting) shape(s *shape) {
	if l.Engines == 0 {
		return
	}
	s.regions = l.Regions
	s.perRegion = l.VMs
	s.engines = l.Of
	s.perSecond = l.Requests
}

// engineLimit is what an engine names.
type engineLimit struct {
	rate fleet.Rate
	// namedAt is when it named a limit first.
	namedAt time.Time
	// told is when each life of a VM first got an answer with the present limit.
	told map[uint64]time.Time
	// arrivals are from lives that had been told.
	arrivals []time.Time
}

// nameLimits lets engines name their limits.
func (w *world) nameLimits(l Limiting) {
	count := make(map[string]int)
	for _, e := range w.engines {
		count[e.endpoint.Region]++
		if count[e.endpoint.Region] > l.Engines {
			continue
		}
		for i, perSecond := range l.PerSecond {
			w.after(quietStart+time.Duration(i)*limitFor, func() { e.nameLimit(perSecond) })
		}
		if l.Restart {
			w.after(quietStart+limitFor+limitKnown, func() {
				if e.up {
					e.crash()
					w.addEngine(e.endpoint.Region)
				}
			})
		}
		w.allow(l)
	}
}

// allow sums up what the limits of one engine allow.
func (w *world) allow(l Limiting) {
	long := w.end.Sub(w.clock.begin) - quietStart
	for i, perSecond := range l.PerSecond {
		lasts := limitFor
		if i == len(l.PerSecond)-1 {
			lasts = long - time.Duration(i)*limitFor
		}
		w.allowed += max(perSecond, 0) * lasts.Seconds()
	}
}

func (e *engine) nameLimit(perSecond float64) {
	if e.limit.namedAt.IsZero() {
		e.limit.namedAt = e.world.clock.now
	}
	e.limit.told = make(map[uint64]time.Time)
	e.limit.arrivals = nil
	e.limit.rate = fleet.Rate{}
	if perSecond >= 0 {
		e.limit.rate = fleet.Rate{
			Named:     true,
			PerSecond: perSecond,
		}
	}
}

// answeredRate takes what an engine says of its rate.
func (v *vm) answeredRate(e fleet.Endpoint, r fleet.Rate, sentAt time.Time) {
	if found := v.world.engineAt(e.ID); r == found.limit.rate && r.Named && found.limit.told[v.life].IsZero() {
		found.limit.told[v.life] = v.world.clock.now
	}
	v.throttle.Answered(e, r, sentAt, v.now())
}

// askPermitWithin is that of the gateway.
const askPermitWithin = 100 * time.Millisecond

func (v *vm) newThrottle() *throttle.Throttle {
	life := v.life
	return throttle.New(throttle.Options{
		VM:        v.vm.ID,
		StartedAt: v.startedAt,
		Changed: func(w throttle.Limit) {
			if !w.Active {
				v.pool.CloseUntil(w.Endpoint, time.Time{})
			}
			v.world.after(0, func() {
				v.do(life, func() { v.exchange(v.roster.Spread(coldTellTo)) })
			})
		},
	})
}

// nearRegion is what the throttle needs to know of the members.
func (v *vm) nearRegion() throttle.Region {
	if v.world.fault == LimitsAlone {
		return throttle.Region{
			Near:  []fleet.VM{v.vm},
			Known: 1,
		}
	}
	r := throttle.Region{
		Near: v.picture().Reached(v.vm.Region),
	}
	for _, m := range v.picture().Members {
		if m.VM.Region == v.vm.Region {
			r.Known++
		}
	}
	return r
}

// permit asks for a permit to send a request to an endpoint; without one it gives when the
// endpoint takes the next.
func (v *vm) permit(life uint64, e fleet.Endpoint, then func(p *throttle.Permit, opensAt time.Time)) {
	if v.world.fault == IgnoreLimits {
		then(&throttle.Permit{}, time.Time{})
		return
	}
	verdict := v.throttle.Take(e, v.nearRegion(), v.now())
	if verdict.Keeper == nil {
		then(verdict.Permit, verdict.OpensAt)
		return
	}
	v.askKeeper(life, verdict, func(verdict throttle.Verdict) { then(verdict.Permit, verdict.OpensAt) })
}

// askKeeper has the VM decide that keeps an endpoint's rate.
func (v *vm) askKeeper(life uint64, verdict throttle.Verdict, then func(throttle.Verdict)) {
	w := v.world
	keeper := w.vmByID(verdict.Keeper.ID)
	answered := false
	answer := func(decide func() throttle.Verdict) {
		v.do(life, func() {
			if !answered {
				answered = true
				then(decide())
			}
		})
	}
	w.after(askPermitWithin, func() {
		answer(func() throttle.Verdict { return v.throttle.Unanswered(verdict, v.now()) })
	})
	w.network.send(v.vm.Region, keeper.vm.Region, func() {
		keeper.do(keeper.life, func() {
			a := keeper.throttle.Ask(verdict.Limit, keeper.nearRegion(), keeper.now())
			left := a.NextAt.Sub(keeper.now())
			w.network.send(keeper.vm.Region, v.vm.Region, func() {
				answer(func() throttle.Verdict {
					a.NextAt = v.now().Add(left)
					return v.throttle.Decided(verdict, a, v.now())
				})
			})
		})
	})
}

// uses reports whether a request may be sent with a permit right now.
func (v *vm) uses(e fleet.Endpoint, p *throttle.Permit) bool {
	return v.world.fault == IgnoreLimits || v.throttle.Sending(e, p, v.now()) == nil
}

// checkLimit holds what reaches an engine from VMs that it has told of its limit against
// that limit.
func (l *ledger) checkLimit(e *engine, from *vm) {
	now := l.world.clock.now
	limit := &e.limit
	if !limit.rate.Named {
		limit.arrivals = nil
		return
	}
	l.limited++
	toldAt := limit.told[from.life]
	if toldAt.IsZero() || now.Sub(toldAt) < toldFor {
		return
	}
	if now.Sub(limit.namedAt) < limitKnown {
		return
	}
	limit.arrivals = append(limit.arrivals, now)
	for now.Sub(limit.arrivals[0]) >= limitIn {
		limit.arrivals = limit.arrivals[1:]
	}
	if bound := limitTimes*limit.rate.PerSecond*limitIn.Seconds() + limitMore; float64(len(limit.arrivals)) > bound {
		l.violate(CheckLimit, "%s named a limit of %g a second and got %d in %s", e.endpoint.ID, limit.rate.PerSecond, len(limit.arrivals), limitIn)
	}
}
