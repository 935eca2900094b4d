package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/store"
)

// fault is one kind of trouble. It returns when the trouble is over. Those that
// excuse bounds in time are marked as disturbing.
type fault struct {
	name     string
	disturbs bool
	do       func(w *world, ctx context.Context, d draw) error
}

// tell writes a line of the schedule with its time.
func (w *world) tell(format string, args ...any) {
	at := fmt.Sprintf("%8.3f s  ", time.Since(w.start).Seconds())
	// The schedule is a file of this soak's own.
	_, _ = fmt.Fprintf(w.Out, at+format+"\n", args...)
}

// draw holds the random numbers of one fault, drawn in the order of the
// schedule, so that a seed gives the same schedule each time.
type draw struct {
	vm, replica, variant int
	long                 time.Duration
}

var faults = []fault{
	{name: "kill", disturbs: true, do: (*world).kill},
	{name: "freeze", disturbs: true, do: (*world).freeze},
	{name: "stop", disturbs: true, do: (*world).stopAndStart},
	{name: "hang_up", do: (*world).hangUp},
	{name: "store", disturbs: true, do: (*world).breakStore},
	{name: "store_link", disturbs: true, do: (*world).breakStoreLink},
	{name: "front_link", disturbs: true, do: (*world).breakFrontLink},
	{name: "history", do: (*world).forgetHistory},
	{name: "crash", do: (*world).crashReplica},
	{name: "again", do: (*world).restartReplica},
	{name: "drain", do: (*world).drainReplica},
	{name: "cold", do: (*world).coldReplica},
	{name: "failing", do: (*world).failReplicas},
	{name: "evacuate", do: (*world).evacuate},
	{name: "configuration", do: (*world).changeTable},
	{name: "foreign", do: (*world).writeForeign},
}

// inject plays faults until the time is over, several at once, and waits for
// the last of them.
func (w *world) inject(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	faults := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
		return slices.Contains(w.Without, f.name)
	})
	end := time.Now().Add(w.For)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := faults[w.rand.IntN(len(faults))]
		d := draw{
			vm:      w.rand.IntN(len(w.vms)),
			replica: w.rand.IntN(1 << 16),
			variant: w.rand.IntN(4),
			long:    time.Duration(500+w.rand.IntN(4000)) * time.Millisecond,
		}
		pause := time.Duration(200+w.rand.IntN(1300)) * time.Millisecond
		running.Go(func() {
			from := time.Now()
			w.tell("%s %+v", f.name, d)
			w.ledger.count(f.name)
			if err := f.do(w, ctx, d); err != nil {
				w.tell("%s: %v", f.name, err)
			}
			if f.disturbs {
				w.ledger.disturb(from)
			}
		})
		sleepFor(ctx, pause)
	}
}

func (w *world) kill(ctx context.Context, d draw) error {
	v := w.vms[d.vm]
	if !v.take() {
		return nil
	}
	defer v.release()
	v.signal(syscall.SIGKILL)
	v.await(5 * time.Second)
	sleepFor(ctx, restartAfter+d.long/4)
	return w.startVM(v)
}

func (w *world) freeze(ctx context.Context, d draw) error {
	v := w.vms[d.vm]
	if !v.take() {
		return nil
	}
	defer v.release()
	v.signal(syscall.SIGSTOP)
	sleepFor(ctx, d.long)
	v.signal(syscall.SIGCONT)
	return nil
}

// stopAndStart asks for a planned stop, and kills what is there after the grace.
func (w *world) stopAndStart(ctx context.Context, d draw) error {
	v := w.vms[d.vm]
	if !v.take() {
		return nil
	}
	defer v.release()
	v.signal(syscall.SIGTERM)
	if !v.await(graceFor) {
		v.signal(syscall.SIGKILL)
		v.await(5 * time.Second)
	}
	sleepFor(ctx, restartAfter)
	return w.startVM(v)
}

// hangUp changes a settings file, with the signal or without.
func (w *world) hangUp(_ context.Context, d draw) error {
	v := w.vms[d.vm]
	if d.variant%2 == 0 {
		v.seeds = append(v.seeds[1:], v.seeds[0])
		if err := w.writeSettings(v); err != nil {
			return err
		}
	}
	if d.variant < 3 {
		v.signal(syscall.SIGHUP)
	}
	return nil
}

func (w *world) breakStore(ctx context.Context, d draw) error {
	mode := []store.Mode{store.ModeBusy, store.ModeMany, store.ModeSilent, store.ModeReset}[d.variant]
	w.store.SetMode(mode, 0)
	sleepFor(ctx, d.long)
	w.store.SetMode(store.ModeServing, 0)
	return nil
}

func (w *world) breakStoreLink(ctx context.Context, d draw) error {
	return breakLink(ctx, w.vms[d.vm].storeLink, d)
}

func (w *world) breakFrontLink(ctx context.Context, d draw) error {
	return breakLink(ctx, w.vms[d.vm].frontLink, d)
}

func breakLink(ctx context.Context, l *link, d draw) error {
	l.set([]linkMode{linkSlow, linkOneWay, linkSilent, linkReset}[d.variant])
	sleepFor(ctx, d.long)
	l.set(linkOpen)
	return nil
}

func (w *world) forgetHistory(context.Context, draw) error {
	w.store.Compact()
	return nil
}

// one takes a replica that another of its kind in its region can stand in for.
func (w *world) one(number int) *servingReplica {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.replicas {
		r := w.replicas[(number+i)%len(w.replicas)]
		if !r.gone && r.Service == serviceEngine {
			r.gone = true
			return r
		}
	}
	return nil
}

// crashReplica ends a replica; its entry lapses, and another one comes.
func (w *world) crashReplica(ctx context.Context, d draw) error {
	r := w.one(d.replica)
	if r == nil {
		return nil
	}
	w.end(r)
	sleepFor(ctx, lapsesAfter)
	w.store.Remove("servers/" + r.ID)
	return w.addReplica(r.Service, r.region, coldFor)
}

// restartReplica ends a replica, and starts it again under its id and address. An
// entry of its earlier life comes after those of the later one.
func (w *world) restartReplica(ctx context.Context, d draw) error {
	r := w.one(d.replica)
	if r == nil {
		return nil
	}
	late := r.NextEntry("ready", 0)
	w.end(r)
	sleepFor(ctx, d.long/8)
	if err := w.startReplica(r.ID, r.Service, r.region, r.Addr, coldFor); err != nil {
		return err
	}
	sleepFor(ctx, d.long/8)
	_, err := w.store.Put("servers/"+r.ID, late)
	return err
}

// foreignEntries are those of other writers: none names a replica.
var foreignEntries = []any{
	map[string]any{"Service": serviceEngine, "State": "ready"},
	map[string]any{"Service": serviceEngine, "Addr": 7, "State": "ready", "Slots": "many"},
	map[string]any{"Service": "other", "Addr": "127.0.0.1:1", "State": "resting", "born": 1.5},
	[]int{0, 255},
}

// writeForeign lets another writer write an entry, of its own or in place of a replica's,
// which that writes again later.
func (w *world) writeForeign(ctx context.Context, d draw) error {
	entry := foreignEntries[d.variant%len(foreignEntries)]
	if d.replica%2 == 0 {
		_, err := w.store.Put(fmt.Sprintf("servers/x-%d", d.replica), entry)
		return err
	}
	w.mu.Lock()
	r := w.replicas[d.replica%len(w.replicas)]
	w.mu.Unlock()
	if r.gone || r.Service != serviceEngine {
		return nil
	}
	if _, err := w.store.Put("servers/"+r.ID, entry); err != nil {
		return err
	}
	sleepFor(ctx, d.long/4)
	w.mu.Lock()
	gone := r.gone
	w.mu.Unlock()
	if gone {
		return nil
	}
	_, err := w.store.Put("servers/"+r.ID, r.NextEntry("ready", r.ColdFor()))
	return err
}

// drainReplica publishes that a replica leaves, or only removes its entry, and
// ends it later.
func (w *world) drainReplica(ctx context.Context, d draw) error {
	r := w.one(d.replica)
	if r == nil {
		return nil
	}
	if err := w.addReplica(r.Service, r.region, coldFor); err != nil {
		return err
	}
	if d.variant == 0 {
		w.store.Remove("servers/" + r.ID)
	} else if _, err := w.store.Put("servers/"+r.ID, r.NextEntry("draining", 0)); err != nil {
		return err
	}
	w.ledger.leaves(r.ID)
	sleepFor(ctx, appliesWithin+2*time.Second)
	w.store.Remove("servers/" + r.ID)
	w.end(r)
	return nil
}

// coldReplica lets an engine become cold while it serves.
func (w *world) coldReplica(_ context.Context, d draw) error {
	w.mu.Lock()
	r := w.replicas[d.replica%len(w.replicas)]
	w.mu.Unlock()
	if r.gone || r.Service != serviceEngine {
		return nil
	}
	r.SetCold(time.Now().Add(coldFor))
	_, err := w.store.Put("servers/"+r.ID, r.NextEntry("ready", coldFor))
	if err == nil {
		// The VMs may learn of it a little later.
		w.ledger.cold(r.ID, time.Now().Add(time.Second), time.Now().Add(coldFor))
	}
	return err
}

func (w *world) failReplicas(ctx context.Context, d draw) error {
	w.setFaultShare(0.1 + 0.1*float64(d.variant))
	sleepFor(ctx, d.long)
	w.setFaultShare(0)
	return nil
}

func (w *world) setFaultShare(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultShare = share
}

func (w *world) evacuate(ctx context.Context, d draw) error {
	key := "op/evacuate/" + zoneOf(regionName(d.replica%w.Regions))
	if _, err := w.store.Put(key, struct{}{}); err != nil {
		return err
	}
	sleepFor(ctx, 2*d.long)
	w.store.Remove(key)
	return nil
}

func (w *world) changeTable(context.Context, draw) error {
	w.mu.Lock()
	w.version++
	w.mu.Unlock()
	if err := w.publishTable(); err != nil {
		return err
	}
	w.ledger.published()
	return nil
}
