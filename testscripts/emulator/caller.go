package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

const (
	// idempotentFraction of the requests are idempotent, and homeRegionFraction are
	// restricted to one region if the deployment has home regions.
	idempotentFraction = 0.5
	homeRegionFraction = 0.4
	// directoryTTL is how long a caller caches the directory.
	directoryTTL   = 5 * time.Second
	defaultMaxRuns = 2
	// Load rises by burstFactor for burstDuration in every burstInterval.
	burstInterval = 7 * time.Second
	burstDuration = time.Second
	burstFactor   = 2
)

// caller sends requests to the VMs that the directory lists for its region.
type caller struct {
	region     string
	vms        []*vm
	lookedUpAt time.Time
}

// scheduleRequests schedules the requests of all regions for the whole run.
func (w *world) scheduleRequests() {
	for r := range w.topology.regions {
		c := &caller{
			region: regionName(r),
		}
		at := w.clock.now.Add(warmup)
		for at.Before(w.end) {
			w.clock.at(at, func() { c.sendRequest(w) })
			rate := w.topology.requestsPerSecond / float64(w.topology.regions)
			if at.Sub(w.clock.begin)%burstInterval < burstDuration {
				rate *= burstFactor
			}
			at = at.Add(time.Duration(w.rand.ExpFloat64() / rate * float64(time.Second)))
		}
	}
}

func (c *caller) sendRequest(w *world) {
	c.refreshDirectory(w)
	if len(c.vms) == 0 {
		return
	}
	vms := c.vms
	if len(w.callersTo) > 0 {
		vms = w.numberedVMs(c.region, w.callersTo)
	}
	to := vms[w.rand.IntN(len(vms))]
	r := w.newRequest(c.region)
	w.addPrompt(r, to)
	c.send(w, to, r)
}

// numberedVMs returns the VMs of a region with some numbers.
func (w *world) numberedVMs(region string, numbers []int) []*vm {
	var out []*vm
	for _, v := range w.vms {
		isNumbered := func(n int) bool { return v.member.ID == fmt.Sprintf("%s-%d", region, n) }
		if slices.ContainsFunc(numbers, isNumbered) {
			out = append(out, v)
		}
	}
	return out
}

// send delivers a request to a VM.
func (c *caller) send(w *world, to *vm, r *request) {
	w.network.send(c.region, to.member.Region, func() {
		if to.up {
			to.run(to.incarnation, func() { to.handleRequest(r) })
		}
	})
}

// refreshDirectory fetches the directory from a VM of the region once the cached copy
// has expired.
func (c *caller) refreshDirectory(w *world) {
	if len(c.vms) > 0 && w.clock.now.Sub(c.lookedUpAt) < directoryTTL {
		return
	}
	for _, v := range w.vms {
		if v.member.Region != c.region || !v.running(v.incarnation) || v.discovery.Table() == nil {
			continue
		}
		c.vms = v.directory()
		c.lookedUpAt = w.clock.now
		w.ledger.checkDirectory(v, c.vms)
		return
	}
}

func (w *world) nextID() int {
	w.lastID++
	return w.lastID
}

// newCall returns the request in the form that the tested packages take.
func (r *request) newCall(content uint64) *call.Call {
	return &call.Call{
		Subjects:   []call.Subject{call.Subject(content)},
		Idempotent: r.idempotent,
		Deadline:   r.deadline,
		Routed: &call.Routed{
			Homes: r.homes,
		},
	}
}

// setPrompt sets the parts of the prompt of a request's call.
func (r *request) setPrompt(parts []call.PromptPart) {
	r.call.Routed.PromptParts = parts
	for _, p := range r.call.Routed.SharedParts() {
		r.call.Subjects = append(r.call.Subjects, call.PartSubject("", p.ID))
	}
}

func (w *world) newRequest(region string) *request {
	r := &request{
		id:         w.nextID(),
		region:     region,
		idempotent: w.rand.Float64() < idempotentFraction,
		maxRuns:    defaultMaxRuns,
		sentAt:     w.clock.now,
		deadline:   w.clock.now.Add(callTimeout),
	}
	if w.topology.homeRegions && w.rand.Float64() < homeRegionFraction {
		r.homes = []string{regionName(w.rand.IntN(w.topology.regions))}
	}
	r.call = r.newCall(uint64(r.id))
	w.ledger.requests = append(w.ledger.requests, r)
	return r
}
