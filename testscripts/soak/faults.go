package main

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/store"
)

// fault is one kind of fault.
type fault struct {
	name string
	// disturbs suspends the checks of time bounds during the fault and for settleTime after.
	disturbs bool
	// do injects the fault and returns when it is over.
	do func(tb *testbed, ctx context.Context, d faultParams) error
}

// logSchedule writes a line to the schedule, prefixed with the time since the start.
func (tb *testbed) logSchedule(format string, args ...any) {
	at := fmt.Sprintf("%8.3f s  ", time.Since(tb.start).Seconds())
	_, _ = fmt.Fprintf(tb.Schedule, at+format+"\n", args...)
}

// faultParams holds the random parameters of one fault. They are all drawn before the fault
// starts, so that a seed always gives the same schedule. The schedule prints the field names.
type faultParams struct {
	vm, replica, variant int
	long                 time.Duration
}

var faults = []fault{
	{name: "kill", disturbs: true, do: (*testbed).kill},
	{name: "freeze", disturbs: true, do: (*testbed).freeze},
	{name: "stop", disturbs: true, do: (*testbed).stopAndStart},
	{name: "hang_up", do: (*testbed).reloadSettings},
	{name: "store", disturbs: true, do: (*testbed).breakStore},
	{name: "store_link", disturbs: true, do: (*testbed).breakStoreLink},
	{name: "front_link", disturbs: true, do: (*testbed).breakFrontLink},
	{name: "restore", disturbs: true, do: (*testbed).restoreOlderStore},
	{name: "history", do: (*testbed).forgetHistory},
	{name: "crash", do: (*testbed).crashReplica},
	{name: "again", do: (*testbed).restartReplica},
	{name: "drain", do: (*testbed).drainReplica},
	{name: "cold", do: (*testbed).makeEngineCold},
	{name: "failing", do: (*testbed).failReplicas},
	{name: "evacuate", do: (*testbed).evacuate},
	{name: "configuration", do: (*testbed).changeConfiguration},
	{name: "foreign", do: (*testbed).writeForeignEntry},
}

// inject injects random, possibly overlapping faults for FaultDuration and waits until the
// last one is over.
func (tb *testbed) inject(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	faults := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
		return slices.Contains(tb.ExcludedFaults, f.name)
	})
	end := time.Now().Add(tb.FaultDuration)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := faults[tb.rand.IntN(len(faults))]
		d := faultParams{
			vm:      tb.rand.IntN(len(tb.vms)),
			replica: tb.rand.IntN(1 << 16),
			variant: tb.rand.IntN(4),
			long:    time.Duration(500+tb.rand.IntN(4000)) * time.Millisecond,
		}
		pause := time.Duration(200+tb.rand.IntN(1300)) * time.Millisecond
		running.Go(func() {
			from := time.Now()
			tb.logSchedule("%s %+v", f.name, d)
			tb.ledger.recordFault(f.name)
			if err := f.do(tb, ctx, d); err != nil {
				tb.logSchedule("%s: %v", f.name, err)
			}
			if f.disturbs {
				tb.ledger.recordDisturbance(from)
			}
		})
		sleep(ctx, pause)
	}
}

// kill kills a VM and restarts it.
func (tb *testbed) kill(ctx context.Context, d faultParams) error {
	v := tb.vms[d.vm]
	if !v.tryAcquire() {
		return nil
	}
	defer v.release()
	tb.ledger.recordVMDown(v.name)
	v.signal(syscall.SIGKILL)
	v.waitExit(5 * time.Second)
	sleep(ctx, restartDelay+d.long/4)
	tb.ledger.recordVMDisturbance(v.name)
	return tb.startVM(v)
}

// freeze suspends a VM's process.
func (tb *testbed) freeze(ctx context.Context, d faultParams) error {
	v := tb.vms[d.vm]
	if !v.tryAcquire() {
		return nil
	}
	defer v.release()
	tb.ledger.recordVMDown(v.name)
	v.signal(syscall.SIGSTOP)
	sleep(ctx, d.long)
	tb.ledger.recordVMDisturbance(v.name)
	v.signal(syscall.SIGCONT)
	return nil
}

// stopAndStart stops a VM gracefully, kills it after stopGracePeriod, and restarts it.
func (tb *testbed) stopAndStart(ctx context.Context, d faultParams) error {
	v := tb.vms[d.vm]
	if !v.tryAcquire() {
		return nil
	}
	defer v.release()
	tb.ledger.recordVMDown(v.name)
	v.signal(syscall.SIGTERM)
	if !v.waitExit(stopGracePeriod) {
		v.signal(syscall.SIGKILL)
		v.waitExit(5 * time.Second)
	}
	sleep(ctx, restartDelay)
	tb.ledger.recordVMDisturbance(v.name)
	return tb.startVM(v)
}

// reloadSettings changes a VM's settings file and sends SIGHUP, or only one or neither of these.
func (tb *testbed) reloadSettings(_ context.Context, d faultParams) error {
	v := tb.vms[d.vm]
	if d.variant%2 == 0 {
		v.gossipSeeds = append(v.gossipSeeds[1:], v.gossipSeeds[0])
		if err := tb.writeSettings(v); err != nil {
			return err
		}
	}
	if d.variant < 3 {
		v.signal(syscall.SIGHUP)
	}
	return nil
}

// breakStore makes the store fail or ignore every request.
func (tb *testbed) breakStore(ctx context.Context, d faultParams) error {
	mode := []store.Mode{store.ModeBusy, store.ModeMany, store.ModeSilent, store.ModeReset}[d.variant]
	tb.store.SetMode(mode, 0)
	sleep(ctx, d.long)
	tb.store.SetMode(store.ModeServing, 0)
	return nil
}

func (tb *testbed) breakStoreLink(ctx context.Context, d faultParams) error {
	return breakLink(ctx, tb.vms[d.vm].storeLink, d)
}

func (tb *testbed) breakFrontLink(ctx context.Context, d faultParams) error {
	return breakLink(ctx, tb.vms[d.vm].frontLink, d)
}

func breakLink(ctx context.Context, l *link, d faultParams) error {
	l.setMode([]linkMode{linkSlow, linkOneWay, linkSilent, linkReset}[d.variant])
	sleep(ctx, d.long)
	l.setMode(linkOpen)
	return nil
}

// forgetHistory makes the store drop its change history, so that watches must start over.
func (tb *testbed) forgetHistory(context.Context, faultParams) error {
	tb.store.Compact()
	return nil
}

// takeEngine picks an active engine and marks it as retired; nil if there is none.
func (tb *testbed) takeEngine(number int) *trackedReplica {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for i := range tb.replicas {
		r := tb.replicas[(number+i)%len(tb.replicas)]
		if !r.retired && r.Service == serviceEngine {
			r.retired = true
			return r
		}
	}
	return nil
}

// crashReplica crashes an engine, removes its entry after its TTL, and starts a new engine.
func (tb *testbed) crashReplica(ctx context.Context, d faultParams) error {
	r := tb.takeEngine(d.replica)
	if r == nil {
		return nil
	}
	tb.terminate(r)
	sleep(ctx, entryTTL)
	tb.store.Remove("servers/" + r.ID)
	return tb.addReplica(r.Service, r.region, warmUpTime)
}

// restartReplica crashes an engine and restarts it under the same ID and address. A stale
// entry of the earlier incarnation is written after that of the new one.
func (tb *testbed) restartReplica(ctx context.Context, d faultParams) error {
	r := tb.takeEngine(d.replica)
	if r == nil {
		return nil
	}
	stale := r.NextEntry("ready", 0)
	tb.terminate(r)
	sleep(ctx, d.long/8)
	if err := tb.startReplica(r.ID, r.Service, r.region, r.Addr, warmUpTime); err != nil {
		return err
	}
	sleep(ctx, d.long/8)
	_, err := tb.store.Put("servers/"+r.ID, stale)
	return err
}

// foreignEntries are malformed or unusable entries, as other writers might put them.
var foreignEntries = []any{
	map[string]any{"Service": serviceEngine, "State": "ready"},
	map[string]any{"Service": serviceEngine, "Addr": 7, "State": "ready", "Slots": "many"},
	map[string]any{"Service": "other", "Addr": "127.0.0.1:1", "State": "resting", "born": 1.5},
	[]int{0, 255},
	map[string]any{"Service": serviceEngine, "Addr": "127.0.0.1:70000", "State": "ready"},
	map[string]any{"Service": serviceEngine, "Addr": "127.0.0.1:1", "State": "ready", "Seq": uint64(math.MaxUint64), "born": int64(math.MaxInt64)},
	map[string]any{"Service": serviceEngine, "Addr": "127.0.0.1:1", "State": "resting", "ColdLeftMs": 1e300, "more": deepArray(9_990)},
}

// deepArray returns an array within arrays.
func deepArray(depth int) any {
	var out any
	for range depth {
		out = []any{out}
	}
	return out
}

// writeForeignEntry writes an unusable entry under a new key, or over an engine's entry,
// which the engine rewrites later.
func (tb *testbed) writeForeignEntry(ctx context.Context, d faultParams) error {
	entry := foreignEntries[d.replica/2%len(foreignEntries)]
	if d.replica%2 == 0 {
		_, err := tb.store.Put(fmt.Sprintf("servers/x-%d", d.replica), entry)
		return err
	}
	tb.mu.Lock()
	r := tb.replicas[d.replica%len(tb.replicas)]
	tb.mu.Unlock()
	if r.retired || r.Service != serviceEngine {
		return nil
	}
	if _, err := tb.store.Put("servers/"+r.ID, entry); err != nil {
		return err
	}
	sleep(ctx, d.long/4)
	tb.mu.Lock()
	gone := r.retired
	tb.mu.Unlock()
	if gone {
		return nil
	}
	_, err := tb.store.Put("servers/"+r.ID, r.NextEntry("ready", r.ColdFor()))
	return err
}

// drainReplica marks an engine's entry as draining, or removes it, and ends the engine once
// the change must have propagated.
func (tb *testbed) drainReplica(ctx context.Context, d faultParams) error {
	r := tb.takeEngine(d.replica)
	if r == nil {
		return nil
	}
	if err := tb.addReplica(r.Service, r.region, warmUpTime); err != nil {
		return err
	}
	r.SetLeaving()
	if d.variant == 0 {
		tb.store.Remove("servers/" + r.ID)
	} else if _, err := tb.store.Put("servers/"+r.ID, r.NextEntry("draining", 0)); err != nil {
		return err
	}
	tb.ledger.recordDraining(r.ID)
	sleep(ctx, propagationTime+2*time.Second)
	tb.store.Remove("servers/" + r.ID)
	tb.terminate(r)
	return nil
}

// makeEngineCold makes a serving engine cold.
func (tb *testbed) makeEngineCold(_ context.Context, d faultParams) error {
	tb.mu.Lock()
	r := tb.replicas[d.replica%len(tb.replicas)]
	tb.mu.Unlock()
	if r.retired || r.Service != serviceEngine {
		return nil
	}
	r.SetCold(time.Now().Add(warmUpTime))
	_, err := tb.store.Put("servers/"+r.ID, r.NextEntry("ready", warmUpTime))
	if err == nil {
		// Leaves the VMs a second to learn of it.
		tb.ledger.recordCold(r.ID, time.Now().Add(time.Second), time.Now().Add(warmUpTime))
	}
	return err
}

// failReplicas raises the rate of requests that replicas fail.
func (tb *testbed) failReplicas(ctx context.Context, d faultParams) error {
	tb.setFaultRate(0.1 + 0.1*float64(d.variant))
	sleep(ctx, d.long)
	tb.setFaultRate(0)
	return nil
}

func (tb *testbed) setFaultRate(share float64) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.faultRate = share
}

// evacuate evacuates a zone.
func (tb *testbed) evacuate(ctx context.Context, d faultParams) error {
	key := "op/evacuate/" + zoneOf(regionName(d.replica%tb.Regions))
	if _, err := tb.store.Put(key, struct{}{}); err != nil {
		return err
	}
	sleep(ctx, 2*d.long)
	tb.store.Remove(key)
	return nil
}

// changeConfiguration publishes a new configuration version.
func (tb *testbed) changeConfiguration(context.Context, faultParams) error {
	tb.mu.Lock()
	tb.version++
	tb.mu.Unlock()
	if err := tb.publishConfiguration(); err != nil {
		return err
	}
	tb.ledger.recordVersion()
	return nil
}
