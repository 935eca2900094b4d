package main

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/standin/caller"
	"github.com/fuchsianotch/fuchsianotch/standin/load"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

const (
	entryVMs        = 6
	entryWorkspaces = 60
	entryRate       = 60
	// entryRequests keeps each workspace on two entry VMs.
	entryRequests = 10
	entryFor      = 16 * time.Second
	entryWarmUp   = 4 * time.Second
	// killAt is counted from the start, so it falls among the counted calls.
	killAt     = 8 * time.Second
	truthEvery = 20 * time.Millisecond
	// truthWithin bounds the wait for answers without the lost VM.
	truthWithin = 30 * time.Second
)

// entry kills an entry VM under load.
func (b *bench) entry(ctx context.Context, r *report) error {
	r.note("One region of %d VMs and %d workspaces of %d requests a second, so of two entry VMs each; %d lookups a second, each with 2 s until its deadline; at %v one VM is killed and stays listed as live. Told the truth: every other VM names it in no answer about any workspace.", entryVMs, entryWorkspaces, entryRequests, entryRate, killAt)
	r.note("Calls that were on the lost VM when it died have no answer from it; a lookup may be repeated, so its caller goes to the next VM.")
	for seed := range b.seeds {
		if err := b.entryOnce(ctx, r, uint64(seed+1)); err != nil {
			return err
		}
	}
	t := r.table("Loss of an entry VM", "figure", "value")
	const name = "kill"
	for _, f := range []figure{
		{
			name: "calls",
			of:   func(rec *load.Record) float64 { return float64(rec.Calls) },
		},
		{
			name: "calls not done",
			of:   func(rec *load.Record) float64 { return float64(rec.Calls - rec.Done) },
		},
		{
			name: "calls with more than one try",
			of:   func(rec *load.Record) float64 { return float64(rec.Retried) },
		},
		{
			name: "tries after the first, each such call",
			of:   func(rec *load.Record) float64 { return float64(rec.Tries-rec.Calls) / float64(max(rec.Retried, 1)) },
		},
		{
			name: "from the kill to the last call that was not done, s",
			of: func(rec *load.Record) float64 {
				return max(rec.LastNotDone.Seconds()-killAt.Seconds(), 0)
			},
		},
		{
			name: "whole p99, ms",
			of:   func(rec *load.Record) float64 { return millis(rec.Origins[0].Whole.P99.Duration) },
		},
		{
			name: "longest whole answer, ms",
			of:   func(rec *load.Record) float64 { return millis(rec.Origins[0].Whole.Max.Duration) },
		},
	} {
		t.row(f.name, r.over(name, f.of).format("%.2f"))
	}
	for _, name := range []string{pointTruth, pointMoved, pointOwn} {
		t.row(name, r.pointsOf(name).format("%.2f"))
	}
	return nil
}

// Names of the points of the entry measurement.
const (
	pointTruth = "time until every VM tells the truth, s"
	pointMoved = "workspaces that moved from one living owner to another"
	pointOwn   = "workspaces that the lost VM owned"
)

func (b *bench) entryOnce(ctx context.Context, r *report, seed uint64) error {
	workspaces := manyWorkspaces("home", entryWorkspaces)
	for i := range workspaces {
		workspaces[i].requestsPerSecond = entryRequests
	}
	w, err := b.start(plan{
		regions:    []rig.Region{oneRegion("home", entryVMs, 1, admissionSlots)},
		workspaces: workspaces,
	})
	if err != nil {
		return err
	}
	defer w.close()
	lost := w.VMs[int(seed)%len(w.VMs)]
	before := w.owners(ctx, w.VMs)
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(killAt)
		lost.Kill()
		r.point(pointTruth, seed, w.untilTruth(ctx, lost).Seconds(), "s")
	})
	targets := w.targets()
	rec, err := w.send(ctx, load.Options{
		Seed:     seed,
		Rate:     entryRate,
		Duration: entryFor,
		WarmUp:   entryWarmUp,
		Mix: load.Mix{
			Name:  "lookup",
			Kinds: []load.Kind{load.LookupKind("/slots", 1)},
		},
		Targets: targets,
	})
	group.Wait()
	if err != nil {
		return err
	}
	r.record("kill", rec)
	after := w.owners(ctx, w.living())
	own, moved := 0, 0
	for name, owner := range before {
		switch {
		case owner == lost.Fleet.ID:
			own++
		case after[name] != owner:
			moved++
		}
	}
	r.point(pointOwn, seed, float64(own), "")
	r.point(pointMoved, seed, float64(moved), "")
	return nil
}

func (w *world) living() []*rig.VM {
	return slices.DeleteFunc(slices.Clone(w.VMs), func(vm *rig.VM) bool { return !vm.Alive() })
}

// untilTruth waits until no living VM names the lost one.
func (w *world) untilTruth(ctx context.Context, lost *rig.VM) time.Duration {
	startedAt := time.Now()
	for time.Since(startedAt) < truthWithin {
		if !w.named(ctx, lost) {
			return time.Since(startedAt)
		}
		time.Sleep(truthEvery)
	}
	return truthWithin
}

func (w *world) named(ctx context.Context, lost *rig.VM) bool {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for _, vm := range w.living() {
		for _, ws := range w.plan.workspaces {
			entries, err := askEntries(ctx, client, vm, ws)
			if err != nil || slices.ContainsFunc(entries, func(e caller.Entry) bool { return e.VM == lost.Fleet.ID }) {
				return true
			}
		}
	}
	return false
}

func askEntries(ctx context.Context, client *http.Client, vm *rig.VM, ws workspace) ([]caller.Entry, error) {
	c := caller.New(caller.Options{
		VMs:    []string{vm.Fleet.CallerAddr},
		Key:    ws.key(),
		Client: client,
	})
	return c.Entries(ctx)
}

// owners returns the first entry VM of each workspace as the first VM tells it.
func (w *world) owners(ctx context.Context, vms []*rig.VM) map[string]string {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	out := make(map[string]string)
	for _, ws := range w.plan.workspaces {
		entries, err := askEntries(ctx, client, vms[0], ws)
		if err == nil && len(entries) > 0 {
			out[ws.name] = entries[0].VM
		}
	}
	return out
}
