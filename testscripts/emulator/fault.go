package emulator

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// faultsPerRun is how many faults a run has, leastFault and mostFault bound
	// how long each lasts.
	faultsPerRun = 12
	leastFault   = 300 * time.Millisecond
	mostFault    = 9 * time.Second
	// restartWithin is how long a process that was killed stays away.
	restartWithin = 2 * time.Second
	// replacedWithin is the same for one that is replaced.
	replacedWithin = 15 * time.Second
	// stormOf configurations come in a row, every stormEvery.
	stormOf    = 5
	stormEvery = 200 * time.Millisecond
	// reuseAfter is when an address may be another endpoint's.
	reuseAfter = 2 * time.Second
)

// injectFaults draws what goes wrong, and when.
func (w *world) injectFaults() {
	kinds := []func(lasts time.Duration){
		w.killOne, w.replaceOne, w.killAll, w.freezeOne, w.cutRegions, w.cutAll,
		w.storeDown, w.storeSilent, w.storeRefuses, w.storeForgets,
		w.crashEngine, w.coldEngine, w.drainEngine, w.withdrawEngine, w.loseAnswers, w.loseMost, w.refuseRequests, w.failRuns,
		w.evacuate, w.configure, w.storm,
	}
	from := w.clock.now.Add(quietStart)
	for range faultsPerRun {
		kind := kinds[w.rand.IntN(len(kinds))]
		lasts := w.between(leastFault, mostFault)
		w.clock.at(from.Add(w.between(0, w.end.Sub(from))), func() {
			w.faults++
			kind(lasts)
		})
	}
}

func (w *world) anyVM() *vm {
	return w.vms[w.rand.IntN(len(w.vms))]
}

// anyEngine returns one that runs and does not leave; nil where there is none.
func (w *world) anyEngine() *engine {
	var up []*engine
	for _, e := range w.engines {
		if e.up && e.endpoint.State == fleet.StateLive {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.rand.IntN(len(up))]
}

func (w *world) killOne(time.Duration) {
	w.anyVM().kill(w.between(leastFault, restartWithin))
}

func (w *world) replaceOne(time.Duration) {
	w.anyVM().kill(w.between(restartWithin, replacedWithin))
}

func (w *world) killAll(time.Duration) {
	for _, v := range w.vms {
		v.kill(w.between(leastFault, restartWithin))
	}
}

func (w *world) freezeOne(lasts time.Duration) {
	w.anyVM().freeze(lasts)
}

func (w *world) cutRegions(lasts time.Duration) {
	a := w.rand.IntN(w.shape.regions)
	b := (a + 1 + w.rand.IntN(w.shape.regions-1)) % w.shape.regions
	w.cutPair(a, b, lasts)
}

func (w *world) cutAll(lasts time.Duration) {
	for a := range w.shape.regions {
		for b := range a {
			w.cutPair(a, b, lasts)
		}
	}
}

func (w *world) cutPair(a, b int, lasts time.Duration) {
	w.network.cut(regionName(a), regionName(b), lasts)
	w.disturbRegions(regionName(a), regionName(b))
	w.after(lasts, func() { w.disturbRegions(regionName(a), regionName(b)) })
}

// disturbRegions notes that the VMs of two regions were harmed.
func (w *world) disturbRegions(a, b string) {
	for _, v := range w.vms {
		if v.vm.Region == a || v.vm.Region == b {
			v.disturbed()
		}
	}
}

func (w *world) storeDown(lasts time.Duration)    { w.store.outage(lasts, false) }
func (w *world) storeSilent(lasts time.Duration)  { w.store.outage(lasts, true) }
func (w *world) storeForgets(time.Duration)       { w.store.forget() }
func (w *world) storeRefuses(lasts time.Duration) { w.store.refuse(w.anyVM().vm.Region, lasts) }

// crashEngine ends an endpoint; a new one comes, at times at its address.
func (w *world) crashEngine(time.Duration) {
	old := w.anyEngine()
	if old == nil {
		return
	}
	old.crash()
	w.after(reuseAfter, func() {
		fresh := w.addEngine(old.endpoint.Region)
		if w.rand.IntN(2) == 0 {
			fresh.takeAddress(old)
		}
		fresh.becomeCold()
	})
}

func (w *world) coldEngine(time.Duration) {
	if e := w.anyEngine(); e != nil {
		e.becomeCold()
	}
}

func (w *world) drainEngine(time.Duration) {
	if e := w.anyEngine(); e != nil && w.store.down == 0 {
		e.leave()
		w.addEngine(e.endpoint.Region).becomeCold()
	}
}

// withdrawEngine has an endpoint leave without saying so: its entry goes first.
func (w *world) withdrawEngine(time.Duration) {
	if e := w.anyEngine(); e != nil && w.store.down == 0 {
		e.withdraw()
		w.addEngine(e.endpoint.Region).becomeCold()
	}
}

func (w *world) loseAnswers(lasts time.Duration) {
	w.harm(lasts, func(e *engine) *float64 { return &e.lostPart })
}

// loseMost has many endpoints lose answers at once.
func (w *world) loseMost(lasts time.Duration) {
	for range w.engines {
		w.loseAnswers(lasts)
	}
}

func (w *world) refuseRequests(lasts time.Duration) {
	w.harm(lasts, func(e *engine) *float64 { return &e.refusedPart })
}

func (w *world) failRuns(lasts time.Duration) {
	w.harm(lasts, func(e *engine) *float64 { return &e.failedPart })
}

// harm spoils a part of what an endpoint does, for some time.
func (w *world) harm(lasts time.Duration, part func(*engine) *float64) {
	e := w.anyEngine()
	if e == nil {
		return
	}
	*part(e) = w.rand.Float64()
	w.after(lasts, func() { *part(e) = 0 })
}

func (w *world) evacuate(lasts time.Duration) {
	if w.store.down == 0 {
		w.store.evacuate(regionName(w.rand.IntN(w.shape.regions)), lasts)
	}
}

func (w *world) configure(time.Duration) {
	if w.store.down == 0 {
		w.store.publish()
	}
}

func (w *world) storm(time.Duration) {
	for i := range stormOf {
		w.after(time.Duration(i)*stormEvery, func() { w.configure(0) })
	}
}
