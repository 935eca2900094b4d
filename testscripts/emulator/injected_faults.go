package emulator

import (
	"cmp"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

const (
	// defaultFaults is the number of faults of a run, each lasting between minFaultDuration
	// and maxFaultDuration.
	defaultFaults    = 12
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 9 * time.Second
	// maxRestartDelay bounds the downtime of a process that restarts.
	maxRestartDelay = 2 * time.Second
	// maxReplacementDelay bounds the downtime of a VM that is replaced.
	maxReplacementDelay = 15 * time.Second
	// A burst publishes configBurstSize configurations, one every configBurstInterval.
	configBurstSize     = 5
	configBurstInterval = 200 * time.Millisecond
	// addressReuseDelay is when the address of a crashed endpoint can be reused.
	addressReuseDelay = 2 * time.Second
)

// RandomFaults configures the random faults of a run. Zero values mean defaults.
type RandomFaults struct {
	Count int `json:"count"`
	// WithinSeconds is the time after the warm-up in which all faults begin; by default that
	// of the requests.
	WithinSeconds float64 `json:"within"`
}

// injectFaults schedules random faults at random times.
func (w *world) injectFaults(f RandomFaults) {
	kinds := []func(duration time.Duration){
		w.killVM, w.replaceVM, w.killAllVMs, w.freezeVM, w.partitionTwoRegions, w.partitionAllRegions,
		w.failStore, w.hangStore, w.denyStoreReads, w.compactStore,
		w.crashEngine, w.makeEngineCold, w.drainEngine, w.deregisterEngine, w.loseAnswers, w.loseManyAnswers, w.refuseRequests, w.failRuns,
		w.evacuateRegion, w.publishConfig, w.publishConfigBurst,
	}
	from := w.clock.now.Add(warmup)
	within := cmp.Or(seconds(f.WithinSeconds), w.end.Sub(from))
	for range cmp.Or(f.Count, defaultFaults) {
		kind := kinds[w.rand.IntN(len(kinds))]
		duration := w.randomDuration(minFaultDuration, maxFaultDuration)
		w.clock.at(from.Add(w.randomDuration(0, within)), func() {
			w.injectedFaults++
			kind(duration)
		})
	}
}

func (w *world) randomVM() *vm {
	return w.vms[w.rand.IntN(len(w.vms))]
}

// randomEngine returns a running engine that is not draining, or nil.
func (w *world) randomEngine() *engine {
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

func (w *world) killVM(time.Duration) {
	w.randomVM().kill(w.randomDuration(minFaultDuration, maxRestartDelay))
}

func (w *world) replaceVM(time.Duration) {
	w.randomVM().kill(w.randomDuration(maxRestartDelay, maxReplacementDelay))
}

func (w *world) killAllVMs(time.Duration) {
	for _, v := range w.vms {
		v.kill(w.randomDuration(minFaultDuration, maxRestartDelay))
	}
}

func (w *world) freezeVM(duration time.Duration) {
	w.randomVM().freeze(duration)
}

func (w *world) partitionTwoRegions(duration time.Duration) {
	a := w.rand.IntN(w.topology.regions)
	b := (a + 1 + w.rand.IntN(w.topology.regions-1)) % w.topology.regions
	w.partition(a, b, duration)
}

func (w *world) partitionAllRegions(duration time.Duration) {
	for a := range w.topology.regions {
		for b := range a {
			w.partition(a, b, duration)
		}
	}
}

func (w *world) partition(a, b int, duration time.Duration) {
	w.network.partition(regionName(a), regionName(b), duration)
	w.markRegionsDisturbed(regionName(a), regionName(b))
	w.after(duration, func() { w.markRegionsDisturbed(regionName(a), regionName(b)) })
}

// markRegionsDisturbed marks all VMs of two regions as disturbed.
func (w *world) markRegionsDisturbed(a, b string) {
	for _, v := range w.vms {
		if v.member.Region == a || v.member.Region == b {
			v.markDisturbed()
		}
	}
}

func (w *world) failStore(duration time.Duration) { w.store.outage(duration, false) }
func (w *world) hangStore(duration time.Duration) { w.store.outage(duration, true) }
func (w *world) compactStore(time.Duration)       { w.store.compact() }
func (w *world) denyStoreReads(duration time.Duration) {
	w.store.deny(w.randomVM().member.Region, duration)
}

// crashEngine crashes an endpoint and replaces it, sometimes at the same address.
func (w *world) crashEngine(time.Duration) {
	crashed := w.randomEngine()
	if crashed == nil {
		return
	}
	crashed.crash()
	w.after(addressReuseDelay, func() {
		replacement := w.addEngine(crashed.endpoint.Region)
		if w.rand.IntN(2) == 0 {
			replacement.reuseAddress(crashed)
		}
		replacement.becomeCold()
	})
}

func (w *world) makeEngineCold(time.Duration) {
	if e := w.randomEngine(); e != nil {
		e.becomeCold()
	}
}

func (w *world) drainEngine(time.Duration) {
	if e := w.randomEngine(); e != nil && w.store.outages == 0 {
		e.drain()
		w.addEngine(e.endpoint.Region).becomeCold()
	}
}

// deregisterEngine removes an endpoint's entry without draining it first.
func (w *world) deregisterEngine(time.Duration) {
	if e := w.randomEngine(); e != nil && w.store.outages == 0 {
		e.deregister()
		w.addEngine(e.endpoint.Region).becomeCold()
	}
}

func (w *world) loseAnswers(duration time.Duration) {
	w.setFraction(duration, func(e *engine) *float64 { return &e.lostFraction })
}

// loseManyAnswers makes several endpoints lose answers at once.
func (w *world) loseManyAnswers(duration time.Duration) {
	for range w.engines {
		w.loseAnswers(duration)
	}
}

func (w *world) refuseRequests(duration time.Duration) {
	w.setFraction(duration, func(e *engine) *float64 { return &e.refusedFraction })
}

func (w *world) failRuns(duration time.Duration) {
	w.setFraction(duration, func(e *engine) *float64 { return &e.failedFraction })
}

// setFraction sets one failure fraction of a random engine for the duration.
func (w *world) setFraction(duration time.Duration, fraction func(*engine) *float64) {
	e := w.randomEngine()
	if e == nil {
		return
	}
	*fraction(e) = w.rand.Float64()
	w.after(duration, func() { *fraction(e) = 0 })
}

func (w *world) evacuateRegion(duration time.Duration) {
	if w.store.outages == 0 {
		w.store.evacuate(regionName(w.rand.IntN(w.topology.regions)), duration)
	}
}

func (w *world) publishConfig(time.Duration) {
	if w.store.outages == 0 {
		w.store.publishConfig()
	}
}

func (w *world) publishConfigBurst(time.Duration) {
	for i := range configBurstSize {
		w.after(time.Duration(i)*configBurstInterval, func() { w.publishConfig(0) })
	}
}
