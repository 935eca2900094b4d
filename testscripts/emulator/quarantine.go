package emulator

import (
	"hash/fnv"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// crashStep is how often a VM looks whether a note of crashes is due.
const crashStep = time.Second

// crashes is one VM's part in keeping calls from endpoints that these crash under.
type crashes struct {
	vm     *vm
	life   uint64
	list   *quarantine.List
	proven map[uint64]bool
	// held are the calls that are held, triedUntil until when a try of one is waited for.
	held       map[uint64]quarantine.Held
	triedUntil map[uint64]time.Time
}

func newCrashes(v *vm) *crashes {
	return &crashes{
		vm:         v,
		life:       v.life,
		list:       quarantine.New(v.vm.ID),
		proven:     make(map[uint64]bool),
		held:       make(map[uint64]quarantine.Held),
		triedUntil: make(map[uint64]time.Time),
	}
}

// run looks for notes that are due, for as long as the VM lives.
func (c *crashes) run() {
	c.vm.do(c.life, func() {
		c.step()
		c.vm.world.after(crashStep, c.run)
	})
}

func (c *crashes) step() {
	v := c.vm
	now := v.now()
	vms, parted := v.peers()
	c.list.Step(now)
	for _, note := range c.list.Due(vms, parted, now) {
		if v.world.fault == TellNoCrashes {
			continue
		}
		c.send(note)
	}
	c.held = make(map[uint64]quarantine.Held)
	for _, h := range c.list.Held(vms) {
		c.held[h.Content] = h
	}
}

// peers are the VMs in reach with this one.
func (v *vm) peers() (vms []quarantine.Peer, parted bool) {
	for _, m := range v.picture().Members {
		if m.Reachable || m.VM.ID == v.vm.ID {
			vms = append(vms, quarantine.Peer{
				VM:          m.VM,
				Incarnation: m.Incarnation,
			})
		}
	}
	return vms, len(vms) < v.picture().Most
}

func (c *crashes) send(note quarantine.Outgoing) {
	v, w := c.vm, c.vm.world
	to := w.vmByID(note.To.VM.ID)
	answered := false
	answer := func(arrived bool) {
		if !answered {
			answered = true
			v.do(c.life, func() { c.list.Sent(note, arrived) })
		}
	}
	w.after(dialWithin, func() { answer(false) })
	w.network.send(v.vm.Region, to.vm.Region, func() {
		if !to.up {
			return
		}
		to.do(to.life, func() {
			to.crashes.list.Take(note.Note, to.now())
			to.crashes.step()
			w.network.send(to.vm.Region, v.vm.Region, func() { answer(true) })
		})
	})
}

// admits reports whether endpoints may get a request, maybe as a trial.
func (c *crashes) admits(r *request) bool {
	content := r.call.Content
	h, isHeld := c.held[content]
	if !isHeld || r.call.Trial || c.vm.world.fault == ForgetCrashes {
		return true
	}
	now := c.vm.now()
	if h.TryAt.IsZero() || now.Before(h.TryAt) || now.Before(c.triedUntil[content]) {
		return false
	}
	c.triedUntil[content] = now.Add(callWithin)
	r.call.Trial = true
	return true
}

// took takes how an attempt ended for its endpoint, which is dialled if it broke off.
func (c *crashes) took(r *request, e fleet.Endpoint, code result.Code) {
	v, w := c.vm, c.vm.world
	content := r.call.Content
	switch code {
	case result.Done:
		c.proven[content] = true
		if _, isHeld := c.held[content]; isHeld {
			c.list.EndedWell(content, v.now())
			c.step()
		}
	case result.EndpointCut:
		r.call.Trial = false
		w.after(2*nearWay, func() {
			v.do(c.life, func() {
				if found := w.engineAt(e.ID); found == nil || found.up || !v.lists(e.ID) {
					return
				}
				c.list.Witness(quarantine.Crash{
					Content: content,
					Life:    lifeHash(e.ID),
					At:      v.now(),
					Proven:  c.proven[content],
				})
				c.step()
			})
		})
	}
}

// lists reports whether an endpoint takes work by what the VM knows.
func (v *vm) lists(id string) bool {
	for _, e := range v.discovery.Endpoints(v.now()) {
		if e.ID == id {
			return true
		}
	}
	return false
}

func lifeHash(id string) uint64 {
	h := fnv.New64a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
