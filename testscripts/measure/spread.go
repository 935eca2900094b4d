package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/operator"
	"github.com/fuchsianotch/fuchsianotch/standin/load"
	"github.com/fuchsianotch/fuchsianotch/testscripts/rig"
)

const (
	idleFor     = 15 * time.Second
	warmIdleFor = 10 * time.Second
	forceEvery  = 25 * time.Millisecond
	forceWithin = 30 * time.Second
	// manyRegions is the number of regions of the largest deployments.
	manyRegions = 12
	fewRegions  = 3
	// perRegionFew is how many VMs a region has before there are more regions.
	perRegionFew = 3
	changes      = 5
	kibibyte     = 1024.0
	mebibyte     = 1024 * kibibyte
)

// spread measures idle control and changes of configuration at several sizes.
func (b *bench) spread(ctx context.Context, r *report) error {
	sizes := b.sizes
	if len(sizes) == 0 {
		sizes = []int{8, 32, 128}
	}
	r.note("One data centre for each region; no calls. Idle figures over %v after %v; in force everywhere is read from the status of every VM each %v, so it counts up to one such round too much.", idleFor, b.rest, forceEvery)
	idle := r.table("Idle control for each VM", "VMs", "regions", "processor, % of a core", "memory, MiB", "control bytes sent/s", "control bytes taken in/s", "messages sent/s", "platform reads/s, all VMs", "reads/s as the platform counts")
	change := r.table("A change of one bucket", "VMs", "regions", "in force everywhere, s", "platform reads a change, all VMs", "control bytes taken in, a change and VM")
	for _, n := range sizes {
		if err := b.spreadOnce(ctx, r, n); err != nil {
			return err
		}
		at := func(name string) spread { return r.pointsOf(spreadName(n, name)) }
		r.tables[0].row(fmt.Sprint(n), fmt.Sprint(regionsFor(n)), at("processor").format("%.2f"), at("memory").format("%.1f"), at("bytes out").format("%.0f"), at("bytes in").format("%.0f"), at("messages").format("%.1f"), at("reads").format("%.1f"), at("counted").format("%.1f"))
		r.tables[1].row(fmt.Sprint(n), fmt.Sprint(regionsFor(n)), at("force").format("%.2f"), at("change reads").format("%.0f"), at("change bytes").format("%.0f"))
	}
	_, _ = idle, change
	return nil
}

func spreadName(vms int, name string) string {
	return fmt.Sprintf("%d VMs: %s", vms, name)
}

func regionsFor(vms int) int {
	return min(max(vms/perRegionFew/4, fewRegions), manyRegions)
}

func spreadPlan(vms int) plan {
	var p plan
	regions := regionsFor(vms)
	for i := range regions {
		n := vms / regions
		if i < vms%regions {
			n++
		}
		name := fmt.Sprintf("region-%d", i)
		p.regions = append(p.regions, rig.Region{
			Name:       name,
			DataCentre: name + "-1",
			VMs:        n,
		})
		p.workspaces = append(p.workspaces, manyWorkspaces(name, 10)...)
	}
	return p
}

func (b *bench) spreadOnce(ctx context.Context, r *report, n int) error {
	w, err := b.start(spreadPlan(n))
	if err != nil {
		return err
	}
	defer w.close()
	time.Sleep(b.rest)
	before := w.usage()
	time.Sleep(idleFor)
	idle := w.usage().since(before)
	r.addIdle(n, idle, float64(len(w.VMs)))
	for i := range changes {
		if err := w.change(ctx, r, n, i, idle); err != nil {
			return err
		}
	}
	return nil
}

// usage is what all VMs used up to a moment.
type usage struct {
	at       time.Time
	cpu      time.Duration
	memory   float64
	out      float64
	in       float64
	messages float64
	// reads are those that the VMs made; counted is what the platform counts for
	// them, with one a second for each watch that waits.
	reads   float64
	counted float64
}

// platformCounters is the part of the platform's counters that is read here.
type platformCounters struct {
	Reads float64 `json:"reads"`
}

func (w *world) usage() usage {
	u := usage{
		at:  time.Now(),
		cpu: cpuOf(w.VMs),
	}
	if c, err := rig.GetJSON[platformCounters](w.Rig, w.Platform.ListenAddrs.Addr, "/admin/counters"); err == nil {
		u.counted = c.Reads
	}
	for _, vm := range w.VMs {
		u.memory += resident(vm.PID())
		_, body, err := w.Get(vm.Fleet.OperatorAddr, "/metrics")
		if err != nil {
			continue
		}
		u.out += load.SumCounter(string(body), `fuchsianotch_control_bytes_total{direction="out"}`)
		u.in += load.SumCounter(string(body), `fuchsianotch_control_bytes_total{direction="in"}`)
		u.messages += load.SumCounter(string(body), "fuchsianotch_control_messages_total")
		u.reads += load.SumCounter(string(body), "fuchsianotch_platform_reads_total")
	}
	return u
}

// since returns what was used per second; memory stays as it is.
func (u usage) since(before usage) usage {
	s := u.at.Sub(before.at).Seconds()
	return usage{
		cpu:      time.Duration(float64(u.cpu-before.cpu) / s),
		memory:   u.memory,
		out:      (u.out - before.out) / s,
		in:       (u.in - before.in) / s,
		messages: (u.messages - before.messages) / s,
		reads:    (u.reads - before.reads) / s,
		counted:  (u.counted - before.counted) / s,
	}
}

func (r *report) addIdle(n int, u usage, vms float64) {
	const seed, percent = 0, 100
	r.point(spreadName(n, "processor"), seed, percent*u.cpu.Seconds()/vms, "% of a core")
	r.point(spreadName(n, "memory"), seed, u.memory/vms/mebibyte, "MiB")
	r.point(spreadName(n, "bytes out"), seed, u.out/vms, "bytes/s")
	r.point(spreadName(n, "bytes in"), seed, u.in/vms, "bytes/s")
	r.point(spreadName(n, "messages"), seed, u.messages/vms, "1/s")
	r.point(spreadName(n, "reads"), seed, u.reads, "1/s")
	r.point(spreadName(n, "counted"), seed, u.counted, "1/s")
}

// change publishes a bucket and waits until it is in force on every VM.
func (w *world) change(ctx context.Context, r *report, n, number int, idle usage) error {
	bucket := buckets(w.plan.workspaces)[0]
	bucket.Contracts[0].Regions[0].RequestsPerSecond = float64(1000 + number)
	value, err := json.Marshal(bucket)
	if err != nil {
		return err
	}
	const key = "contracts/0"
	before := w.usage()
	publishedAt := time.Now()
	revision, err := w.Publish(key, value)
	if err != nil {
		return err
	}
	for w.lowestInForce(key) < revision {
		if time.Since(publishedAt) > forceWithin || ctx.Err() != nil {
			return fmt.Errorf("a change was not in force within %v on %d VMs", forceWithin, n)
		}
		time.Sleep(forceEvery)
	}
	took := time.Since(publishedAt)
	after := w.usage()
	span := after.at.Sub(before.at).Seconds()
	vms := float64(len(w.VMs))
	r.point(spreadName(n, "force"), uint64(number), took.Seconds(), "s")
	r.point(spreadName(n, "change reads"), uint64(number), after.reads-before.reads, "reads")
	r.point(spreadName(n, "change bytes"), uint64(number), max(after.in-before.in-idle.in*span, 0)/vms, "bytes taken in, over those of idle control")
	return nil
}

// lowestInForce is the lowest revision of a document in force on any VM.
func (w *world) lowestInForce(key string) uint64 {
	const askers = 16
	var mu sync.Mutex
	var group sync.WaitGroup
	lowest := ^uint64(0)
	next := make(chan *rig.VM)
	for range askers {
		group.Go(func() {
			for vm := range next {
				revision := w.inForce(vm, key)
				mu.Lock()
				lowest = min(lowest, revision)
				mu.Unlock()
			}
		})
	}
	for _, vm := range w.VMs {
		next <- vm
	}
	close(next)
	group.Wait()
	return lowest
}

func (w *world) inForce(vm *rig.VM, key string) uint64 {
	s, err := rig.GetJSON[operator.Status](w.Rig, vm.Fleet.OperatorAddr, "/v1/status")
	if err != nil {
		return 0
	}
	for _, d := range s.Documents {
		if d.Key == key {
			return d.Active
		}
	}
	return 0
}
