package emulator

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// askHealth asks one after the other of the endpoints for which the VM ranks
// first whether it is cold.
func (v *vm) askHealth(life uint64) {
	v.do(life, func() {
		near := v.nearVMs()
		for _, e := range v.endpoints() {
			if entry.Owner(e.ID, near) == v.vm.ID && v.throttle.QuestionDue(e, 1, v.now()) {
				v.askOne(life, e)
			}
		}
		every := healthEvery
		if v.picture().StoreAway() {
			every = coldEvery
		}
		v.world.after(every, func() { v.askHealth(life) })
	})
}

// askAfterPause asks all endpoints of the region, once after each pause.
func (v *vm) askAfterPause(life uint64) {
	waking := v.roster.Waking()
	if waking && !v.waking {
		askedAt := v.now()
		for _, e := range v.endpoints() {
			v.askOne(life, e)
		}
		v.world.after(askAllTakes, func() {
			v.do(life, func() {
				v.roster.News(askedAt)
				v.pictured = nil
			})
		})
	}
	v.waking = waking
}

// nearVMs returns the ids of the VMs of the own region that are in reach.
func (v *vm) nearVMs() []string {
	var out []string
	for _, vm := range v.picture().Reached(v.vm.Region) {
		out = append(out, vm.ID)
	}
	return out
}

// askOne asks an endpoint whether it is cold, if it may be sent a request now.
func (v *vm) askOne(life uint64, e fleet.Endpoint) {
	v.permit(life, e, func(p *throttle.Permit, _ time.Time) {
		if p != nil && v.uses(e, p) {
			v.askPermitted(life, e)
		}
	})
}

func (v *vm) askPermitted(life uint64, e fleet.Endpoint) {
	w := v.world
	w.after(2*nearWay, func() {
		found := w.engineAt(e.ID)
		if found == nil || !found.up {
			return
		}
		w.ledger.checkLimit(found, v)
		if !found.cold() {
			return
		}
		until := found.coldUntil
		v.do(life, func() {
			if v.discovery.Cold(e.ID, until, v.now()) {
				v.changed = true
				v.publish()
				v.exchange(v.roster.Spread(coldTellTo))
			}
		})
	})
}
