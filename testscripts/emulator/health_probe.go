package emulator

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/survey"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// probeHealth periodically probes the endpoints that rendezvous hashing assigns to this
// VM, to learn whether they are cold.
func (v *vm) probeHealth(incarnation uint64) {
	v.run(incarnation, func() {
		vmIDs := v.reachableLocalVMs()
		now, interval := v.now(), probeInterval
		if v.snapshot().StoreUnreadable() {
			interval = fastProbeInterval
		}
		for _, e := range v.enginesToProbe() {
			if entry.Owner(e.ID, vmIDs) != v.member.ID {
				continue
			}
			due := min(interval, survey.CallProbeInterval(v.pool.CallsPerSecond(e.ID, now)))
			if now.Sub(v.probedAt[e.ID]) >= due && v.throttle.ProbeDue(e, 1, now) {
				v.probedAt[e.ID] = now
				v.probeWithPermit(incarnation, e)
			}
		}
		v.world.after(fastProbeInterval, func() { v.probeHealth(incarnation) })
	})
}

// enginesToProbe returns the warm engines of the region, and while the store cannot be read those
// that are cold by their entries only.
func (v *vm) enginesToProbe() []fleet.Endpoint {
	var out []fleet.Endpoint
	unpublished := v.snapshot().StoreUnreadable()
	for _, e := range v.discovery.Endpoints(v.now()) {
		include := e.ColdUntil.IsZero() || unpublished && e.IsColdByEntry
		if include && e.Region == v.member.Region {
			out = append(out, e.Endpoint)
		}
	}
	return out
}

// probeAfterPause probes all endpoints of the region once after each pause of the process.
func (v *vm) probeAfterPause(incarnation uint64) {
	resuming := v.roster.Resuming()
	if resuming && !v.resuming {
		probedAt := v.now()
		v.origins.Restart(probedAt)
		for _, e := range v.endpoints() {
			v.probeWithPermit(incarnation, e)
		}
		v.world.after(probeAllDuration, func() {
			v.run(incarnation, func() {
				v.roster.RecordProbe(probedAt)
				v.cachedSnapshot = nil
			})
		})
	}
	v.resuming = resuming
}

// reachableLocalVMs returns the IDs of the reachable VMs of the own region.
func (v *vm) reachableLocalVMs() []string {
	var out []string
	for _, vm := range v.snapshot().ReachableVMs(v.member.Region) {
		out = append(out, vm.ID)
	}
	return out
}

// probeWithPermit probes an endpoint if its rate limit allows a request now.
func (v *vm) probeWithPermit(incarnation uint64, e fleet.Endpoint) {
	v.requestPermit(incarnation, e, func(p *throttle.Permit, _ time.Time) {
		if p != nil && v.mayUse(e, p) {
			v.probe(incarnation, e)
		}
	})
}

func (v *vm) probe(incarnation uint64, e fleet.Endpoint) {
	w := v.world
	w.after(2*localLatency, func() {
		found := w.engineByID(e.ID)
		if found == nil || !found.up {
			return
		}
		w.ledger.checkLimit(found, v)
		w.ledger.checkNotices(found, v, w.clock.now)
		if found.notices.leaving {
			v.run(incarnation, func() { v.applyStateNotice(e, found.notice(false)) })
		}
		if !found.cold() {
			return
		}
		until := found.coldUntil
		v.run(incarnation, func() {
			neighbours := v.neighbours(e)
			if !v.discovery.ReportCold(e.ID, until, v.now(), v.snapshot().StoreUnreadable()) {
				return
			}
			v.endpointsChanged = true
			v.applyState()
			v.gossipTo(v.roster.RandomTargets(coldFanout))
			for _, n := range neighbours {
				v.probeWithPermit(incarnation, n)
			}
		})
	})
}

// neighbours returns endpoints that may have become cold with one that counted as warm.
func (v *vm) neighbours(cold fleet.Endpoint) []fleet.Endpoint {
	isCold := func(e fleet.Endpoint) bool { return e.ID == cold.ID }
	warm := v.endpoints()
	if !slices.ContainsFunc(warm, isCold) {
		return nil
	}
	return survey.Neighbours(slices.DeleteFunc(warm, isCold), func(int) int { return 0 })
}
