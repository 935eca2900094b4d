package main

import (
	"context"
	"fmt"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/standin/load"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

const (
	frontVMs      = 8
	frontRequests = 10
	frontFor      = 10 * time.Second
	frontIdleFor  = 6 * time.Second
	// frontTokenRate is about the generated tokens a second of each chat case.
	frontTokenRate = 3000
	frontLookups   = 150
)

// frontCase is one kind of traffic whose processor time is measured.
type frontCase struct {
	name   string
	tokens int
	rate   float64
	kind   load.Kind
	target func(*world) load.Targets
}

func frontCases() []frontCase {
	var out []frontCase
	for _, tokens := range []int{8, 64, 256} {
		out = append(out, frontCase{
			name:   fmt.Sprintf("chat of about %d tokens", tokens),
			tokens: tokens,
			rate:   float64(frontTokenRate) / float64(tokens) / 2,
			kind: load.Kind{
				Name:         "chat",
				Weight:       1,
				Priority:     call.PriorityChat,
				Prefixes:     4,
				SharedTokens: 64,
				OwnTokens:    16,
				MaxTokens:    tokens,
				Within:       30 * time.Second,
			},
			target: (*world).targets,
		})
	}
	return append(out,
		frontCase{
			name:   "lookup as the system names",
			rate:   frontLookups,
			kind:   load.LookupKind("/slots", 1),
			target: (*world).targets,
		},
		frontCase{
			name:   "lookup by one VM",
			rate:   frontLookups,
			kind:   load.LookupKind("/slots", 1),
			target: (*world).byOneVM,
		})
}

// front measures the processor time of calls over that of idle control, by
// their tokens, and of a forward to another VM.
func (b *bench) front(ctx context.Context, r *report) error {
	workspaces := manyWorkspaces("home", 200)
	for i := range workspaces {
		workspaces[i].requestsPerSecond = frontRequests
	}
	w, err := b.start(plan{
		regions:    []rig.Region{oneRegion("home", frontVMs, overheadReplicas, overheadSlots, engine(4*time.Millisecond, 100_000, 4096)...)},
		workspaces: workspaces,
	})
	if err != nil {
		return err
	}
	defer w.close()
	r.note("One region of %d VMs, 200 workspaces of %d requests a second, so of two entry VMs each; 4 ms a step. Processor time of all VMs by their /proc/PID/stat, less that of as long a rest just before, divided by calls.", frontVMs, frontRequests)
	t := r.table("Processor time of a call", "call", "calls a second", "ms a call", "generated tokens a call", "forwards a call", "calls not done")
	for _, c := range frontCases() {
		for seed := range b.seeds {
			if err := frontOnce(ctx, r, w, c, uint64(seed+1)); err != nil {
				return err
			}
		}
		calls := r.over(c.name, func(rec *load.Record) float64 { return float64(rec.Calls) })
		t.row(c.name, fmt.Sprintf("%.1f", c.rate),
			r.pointsOf(c.name).format("%.2f"),
			ratio(r.over(c.name, func(rec *load.Record) float64 { return float64(rec.GeneratedTokens()) }), calls).format("%.1f"),
			ratio(r.over(c.name, func(rec *load.Record) float64 { return float64(rec.VMs.Forwards) }), calls).format("%.2f"),
			r.over(c.name, func(rec *load.Record) float64 { return float64(rec.Calls - rec.Done) }).format("%.0f"))
	}
	frontFit(r)
	return nil
}

func frontOnce(ctx context.Context, r *report, w *world, c frontCase, seed uint64) error {
	before := cpuOf(w.VMs)
	time.Sleep(frontIdleFor)
	idle := float64(cpuOf(w.VMs)-before) / float64(frontIdleFor)
	before = cpuOf(w.VMs)
	startedAt := time.Now()
	rec, err := w.send(ctx, load.Options{
		Seed:     seed,
		Rate:     c.rate,
		Duration: frontFor,
		Mix: load.Mix{
			Name:  c.name,
			Kinds: []load.Kind{c.kind},
		},
		Targets: c.target(w),
	})
	if err != nil {
		return err
	}
	used := float64(cpuOf(w.VMs)-before) - idle*float64(time.Since(startedAt))
	r.record(c.name, rec)
	r.point(c.name, seed, used/float64(time.Millisecond)/float64(max(rec.Calls, 1)), "ms a call")
	return nil
}

// frontFit fits the time of a chat to its tokens.
func frontFit(r *report) {
	var xs, ys []float64
	for _, c := range frontCases() {
		if c.tokens > 0 {
			xs = append(xs, float64(c.tokens))
			ys = append(ys, r.pointsOf(c.name).median())
		}
	}
	l := fitLine(xs, ys)
	t := r.table("Fit of a chat's processor time to its tokens", "ms a call", "ms a token", "residual (root mean square), ms")
	t.row(fmt.Sprintf("%.3g", l.intercept), fmt.Sprintf("%.3g", l.slope), fmt.Sprintf("%.2g", l.residual))
}
