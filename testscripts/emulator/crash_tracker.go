package emulator

import (
	"hash/fnv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// quarantineInterval is how often a VM checks for crash reports to send.
const quarantineInterval = time.Second

// crashTracker quarantines calls that crash endpoints, for one VM.
type crashTracker struct {
	vm          *vm
	incarnation uint64
	quarantine  *quarantine.List
	succeeded   map[uint64]bool
	// quarantined holds the quarantined calls, and trialUntil when the trial of each expires.
	quarantined map[uint64]quarantine.QuarantinedCall
	trialUntil  map[uint64]time.Time
}

func newCrashTracker(v *vm) *crashTracker {
	return &crashTracker{
		vm:          v,
		incarnation: v.incarnation,
		quarantine:  quarantine.New(v.member.ID),
		succeeded:   make(map[uint64]bool),
		quarantined: make(map[uint64]quarantine.QuarantinedCall),
		trialUntil:  make(map[uint64]time.Time),
	}
}

// run repeats step for as long as the VM runs.
func (c *crashTracker) run() {
	c.vm.run(c.incarnation, func() {
		c.step()
		c.vm.world.after(quarantineInterval, c.run)
	})
}

func (c *crashTracker) step() {
	v := c.vm
	now := v.now()
	vms, partitioned := v.peers()
	c.quarantine.Step(now)
	for _, report := range c.quarantine.DueNotes(vms, partitioned, now) {
		if v.world.defect == SkipCrashReports {
			continue
		}
		c.sendReport(report)
	}
	c.quarantined = make(map[uint64]quarantine.QuarantinedCall)
	for _, h := range c.quarantine.Held(vms) {
		c.quarantined[h.Content] = h
	}
}

// peers returns the reachable VMs, including this one.
func (v *vm) peers() (vms []quarantine.Peer, partitioned bool) {
	for _, m := range v.snapshot().Members {
		if m.Reachable || m.VM.ID == v.member.ID {
			vms = append(vms, quarantine.Peer{
				VM:          m.VM,
				Incarnation: m.Incarnation,
			})
		}
	}
	return vms, len(vms) < v.snapshot().MaxKnown
}

func (c *crashTracker) sendReport(report quarantine.Outgoing) {
	v, w := c.vm, c.vm.world
	to := w.vmByID(report.To.VM.ID)
	answered := false
	answer := func(arrived bool) {
		if !answered {
			answered = true
			v.run(c.incarnation, func() { c.quarantine.Delivered(report, arrived) })
		}
	}
	w.after(dialTimeout, func() { answer(false) })
	w.network.send(v.member.Region, to.member.Region, func() {
		if !to.up {
			return
		}
		to.run(to.incarnation, func() {
			to.crashTracker.quarantine.Receive(report.Note, to.now())
			to.crashTracker.step()
			w.network.send(to.member.Region, v.member.Region, func() { answer(true) })
		})
	})
}

// admits reports whether a request may be sent to endpoints, possibly as a trial.
func (c *crashTracker) admits(r *request) bool {
	content := r.call.ContentDigest
	h, isQuarantined := c.quarantined[content]
	if !isQuarantined || r.call.QuarantineTrial || c.vm.world.defect == IgnoreQuarantine {
		return true
	}
	now := c.vm.now()
	if h.TryAt.IsZero() || now.Before(h.TryAt) || now.Before(c.trialUntil[content]) {
		return false
	}
	c.trialUntil[content] = now.Add(callTimeout)
	r.call.QuarantineTrial = true
	return true
}

// recordOutcome processes the result of an attempt. If the attempt was interrupted, it
// checks whether the endpoint has crashed.
func (c *crashTracker) recordOutcome(r *request, e fleet.Endpoint, code result.Code) {
	v, w := c.vm, c.vm.world
	content := r.call.ContentDigest
	switch code {
	case result.Done:
		c.succeeded[content] = true
		if _, isQuarantined := c.quarantined[content]; isQuarantined {
			c.quarantine.Succeeded(content, v.now())
			c.step()
		}
	case result.EndpointCut:
		r.call.QuarantineTrial = false
		w.after(2*localLatency, func() {
			v.run(c.incarnation, func() {
				if found := w.engineByID(e.ID); found == nil || found.up || !v.hasEndpoint(e.ID) {
					return
				}
				c.quarantine.AddCrash(quarantine.Crash{
					Content:           content,
					Incarnation:       endpointHash(e.ID),
					At:                v.now(),
					RecentlySucceeded: c.succeeded[content],
				})
				c.step()
			})
		})
	}
}

// hasEndpoint reports whether the VM knows the endpoint.
func (v *vm) hasEndpoint(id string) bool {
	for _, e := range v.discovery.Endpoints(v.now()) {
		if e.ID == id {
			return true
		}
	}
	return false
}

func endpointHash(id string) uint64 {
	h := fnv.New64a()
	// Write on a hash never returns an error.
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
