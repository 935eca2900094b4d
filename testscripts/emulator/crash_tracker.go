package emulator

import (
	"hash/fnv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// quarantineInterval is how often a VM checks for notes to send, as in the gateway.
const quarantineInterval = 250 * time.Millisecond

// crashTracker quarantines calls that crash endpoints, for one VM.
type crashTracker struct {
	vm          *vm
	incarnation uint64
	quarantine  *quarantine.List
	answers     *quarantine.Answers
	// quarantined holds the quarantined subjects, and trialUntil when the trial of each expires.
	quarantined map[call.Subject]quarantine.Quarantined
	trialUntil  map[call.Subject]time.Time
}

func newCrashTracker(v *vm) *crashTracker {
	answers := &quarantine.Answers{}
	return &crashTracker{
		vm:          v,
		incarnation: v.incarnation,
		quarantine:  quarantine.New(v.member.ID, answers),
		answers:     answers,
		quarantined: make(map[call.Subject]quarantine.Quarantined),
		trialUntil:  make(map[call.Subject]time.Time),
	}
}

// run repeats step for as long as the VM runs.
func (c *crashTracker) run() {
	c.vm.run(c.incarnation, func() {
		if !c.quarantine.IsEmpty() || len(c.quarantined) > 0 {
			c.step()
		}
		c.vm.world.after(quarantineInterval, c.run)
	})
}

func (c *crashTracker) step() {
	v := c.vm
	now := v.now()
	vms, partitioned := v.peers()
	c.quarantine.Step(now)
	for _, report := range c.quarantine.DueNotes(vms, partitioned, now) {
		switch v.world.defect {
		case SkipCrashReports:
			continue
		case SkipAnswerReports:
			report.Note.Answers = nil
		}
		if len(report.Note.Crashes)+len(report.Note.Verdicts)+len(report.Note.Answers) == 0 {
			c.quarantine.Delivered(report, true)
			continue
		}
		c.sendReport(report)
	}
	c.quarantined = make(map[call.Subject]quarantine.Quarantined)
	for _, h := range c.quarantine.Held(vms) {
		c.quarantined[h.Subject] = h
	}
}

// peers returns the reachable VMs, including this one.
func (v *vm) peers() (vms []quarantine.Peer, partitioned bool) {
	for _, m := range v.snapshot().Members {
		if m.Reachable || m.VM.ID == v.member.ID {
			vms = append(vms, quarantine.Peer{
				VM:          m.VM,
				Incarnation: m.VM.Incarnation,
			})
		}
	}
	return vms, len(vms) < v.snapshot().MaxKnown
}

func (c *crashTracker) sendReport(report quarantine.Outgoing) {
	v, w := c.vm, c.vm.world
	to := w.vmByID(report.To.VM.ID)
	w.ledger.crashNotes++
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
			to.crashTracker.quarantine.Receive(v.member.ID, report.Note, to.now())
			to.crashTracker.step()
			w.network.send(to.member.Region, v.member.Region, func() { answer(true) })
		})
	})
}

// admits reports whether a request may be sent to endpoints, possibly as a trial.
func (c *crashTracker) admits(r *request) bool {
	if c.vm.world.defect == IgnoreQuarantine {
		return true
	}
	var held []quarantine.Quarantined
	for _, s := range r.call.Subjects {
		if h, ok := c.quarantined[s]; ok && s != r.call.Trial {
			held = append(held, h)
		}
	}
	switch {
	case len(held) == 0:
		return true
	case len(held) > 1 || r.call.Trial != 0:
		return false
	}
	h, now := held[0], c.vm.now()
	if h.TryAt.IsZero() || now.Before(h.TryAt) || now.Before(c.trialUntil[h.Subject]) {
		return false
	}
	c.trialUntil[h.Subject] = now.Add(callTimeout)
	r.call.Trial = h.Subject
	c.quarantine.TrialStarted(h.Subject, now)
	c.step()
	return true
}

// recordAnswer records that an endpoint answered a request without crashing.
func (c *crashTracker) recordAnswer(r *request) {
	if c.vm.world.defect == IgnoreAnswers {
		return
	}
	isHeld := false
	for _, s := range r.call.Subjects {
		c.answers.Add(s, c.vm.now())
		if _, ok := c.quarantined[s]; ok {
			isHeld = true
			if !s.IsPart() {
				c.quarantine.Succeeded(s, c.vm.now())
			}
		}
	}
	if isHeld {
		c.step()
	}
}

// recordOutcome processes the result of an attempt. If the attempt was interrupted, it
// checks whether the endpoint has crashed.
func (c *crashTracker) recordOutcome(r *request, e fleet.Endpoint, code result.Code) {
	v, w := c.vm, c.vm.world
	switch code {
	case result.Done:
		c.settleAnswer(r, e)
	case result.EndpointCut:
		r.call.Trial = 0
		if w.defect == TakeCrashAsAnswer || !quarantine.MayHaveCrashed(r.answerBeganAt, v.now()) {
			c.recordAnswer(r)
			return
		}
		w.after(2*localLatency, func() {
			v.run(c.incarnation, func() {
				if found := w.engineByID(e.ID); found == nil || found.up || !v.hasEndpoint(e.ID) {
					return
				}
				c.addCrash(r, e)
			})
		})
	}
}

// settleAnswer records an answer, at once or when its endpoint has outlived it for long enough.
func (c *crashTracker) settleAnswer(r *request, e fleet.Endpoint) {
	v, w := c.vm, c.vm.world
	if w.defect == IgnoreLaterCrash || quarantine.IsSound(r.answerBeganAt, v.now()) {
		c.recordAnswer(r)
		return
	}
	w.after(quarantine.SoundAnswerDuration, func() {
		v.run(c.incarnation, func() {
			switch found := w.engineByID(e.ID); {
			case found != nil && found.up:
				c.recordAnswer(r)
			case found != nil && v.hasEndpoint(e.ID):
				c.addCrash(r, e)
			}
		})
	})
}

func (c *crashTracker) addCrash(r *request, e fleet.Endpoint) {
	for _, s := range r.call.Subjects {
		if s.IsPart() && c.vm.world.defect == IgnoreParts {
			continue
		}
		c.quarantine.AddCrash(quarantine.Crash{
			Subject:     s,
			Incarnation: c.incarnationHash(e, s),
			At:          c.vm.now(),
			Calls:       1,
			AnsweredAt:  c.answers.At(s),
		})
	}
	c.step()
}

func (c *crashTracker) incarnationHash(e fleet.Endpoint, s call.Subject) uint64 {
	if c.vm.world.defect == IgnoreCompany {
		return endpointHash(e.ID + s.String())
	}
	return endpointHash(e.ID)
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
