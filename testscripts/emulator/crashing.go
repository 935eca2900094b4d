package emulator

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// crashAfter is the time from the beginning of a run to the crash under it.
	crashAfter = 60 * time.Millisecond
	// backAfter is when another endpoint takes the place of one that crashed.
	backAfter = 3 * time.Second
	// leastPause and mostPause bound the time between two tries of a crashing call.
	leastPause = 50 * time.Millisecond
	mostPause  = 800 * time.Millisecond
	// repeatAfter is when a caller sends a request again that broke off.
	repeatAfter = 300 * time.Millisecond
	// crashContent is the content of the first crashing call; those of other requests
	// are below.
	crashContent = 1 << 32
	// crashesKnown is how many endpoints a call crashes before all VMs must know, and
	// triesBorne how many tries may still reach endpoints once they do.
	crashesKnown = 3
	triesBorne   = 3
)

// Crashing are calls that crash the endpoints which run them. Their callers send each
// again and again, at any VM, until the end of the run.
type Crashing struct {
	// Calls is how many there are.
	Calls int `json:"calls"`
	// Idempotent says that each may run on several endpoints in one try.
	Idempotent bool `json:"idempotent"`
	// Repeats is how often the callers of other requests send these again that broke off.
	Repeats int `json:"repeats"`
	// Calm leaves out all other faults.
	Calm bool `json:"calm"`
	// Regions, VMs and Engines, of each region, take the place of what a seed draws.
	Regions int `json:"regions"`
	VMs     int `json:"vms"`
	Engines int `json:"engines"`
}

func (c Crashing) shape(s *shape) {
	if c.Calls == 0 {
		return
	}
	s.regions = c.Regions
	s.perRegion = c.VMs
	s.engines = c.Engines
}

func (w *world) sendCrashing(c Crashing) {
	for number := range c.Calls {
		caller := &crashingCaller{
			world:      w,
			content:    crashContent + uint64(number),
			idempotent: c.Idempotent,
		}
		w.after(quietStart, caller.next)
	}
}

// crashingCaller sends one call again and again.
type crashingCaller struct {
	world      *world
	content    uint64
	idempotent bool
}

func (c *crashingCaller) next() {
	w := c.world
	if !w.clock.now.Before(w.end) {
		return
	}
	to := w.vms[w.crashDraws.IntN(len(w.vms))]
	if to.up {
		from := &caller{region: to.vm.Region}
		from.send(w, to, c.request(to.vm.Region))
	}
	pause := leastPause + time.Duration(w.crashDraws.Int64N(int64(mostPause-leastPause)))
	w.after(pause, c.next)
}

func (c *crashingCaller) request(region string) *request {
	w := c.world
	r := &request{
		id:         w.nextSerial(),
		region:     region,
		idempotent: c.idempotent,
		most:       mostRuns,
		crashes:    true,
		sentAt:     w.clock.now,
		deadline:   w.clock.now.Add(callWithin),
	}
	if !c.idempotent {
		r.most = 1
	}
	r.call = r.asCall(c.content)
	w.ledger.requests = append(w.ledger.requests, r)
	return r
}

// crashUnder ends an endpoint that has begun to run a request. What else it runs
// breaks off, and another endpoint comes later.
func (e *engine) crashUnder(a attempt) {
	if e.up {
		e.world.ledger.crashed(a)
		e.crash()
		e.world.after(backAfter, func() { e.world.addEngine(e.endpoint.Region).becomeCold() })
	}
	a.answer(e, result.EndpointCut, true)
}

// crashed notes that an endpoint crashed under a request.
func (l *ledger) crashed(a attempt) {
	content := a.request.call.Content
	l.crashes[content] = append(l.crashes[content], l.world.clock.now)
}

// checkCrashing holds what reaches endpoints against what its content did to others.
func (l *ledger) checkCrashing(a attempt) {
	content := a.request.call.Content
	crashes := l.crashes[content]
	if len(crashes) < crashesKnown || !l.inTouch(a.from) {
		return
	}
	if a.sentAt.Sub(crashes[crashesKnown-1]) <= inTouchAfter {
		return
	}
	if l.sentAfter[content] == nil {
		l.sentAfter[content] = make(map[int]bool)
	}
	l.sentAfter[content][a.request.id] = true
	if count := len(l.sentAfter[content]); count > triesBorne {
		l.violate(CheckCrashing, "%d tries of a call that has crashed %d endpoints were sent on", count, len(crashes))
	}
}

// sendAgain has the caller of a request that broke off send it again, as a new one with
// the same content.
func (w *world) sendAgain(r *request, v *vm, code result.Code) {
	if r.crashes || r.tries >= w.repeats || code != result.EndpointCut {
		return
	}
	w.after(repeatAfter, func() {
		if !v.up {
			return
		}
		next := *r
		next.id = w.nextSerial()
		next.tries++
		next.sentAt = w.clock.now
		next.deadline = w.clock.now.Add(callWithin)
		next.run = runs{}
		next.call = next.asCall(r.call.Content)
		w.ledger.requests = append(w.ledger.requests, &next)
		w.ledger.repeated++
		from := &caller{region: v.vm.Region}
		from.send(w, v, &next)
	})
}

// noteHeld counts requests that are held although they crash nothing.
func (l *ledger) noteHeld(r *request, code result.Code) {
	if code == result.Quarantined && !r.crashes {
		l.heldWrongly++
	}
}

// crashedInAll counts the endpoints that calls have crashed.
func (l *ledger) crashedInAll() int {
	count := 0
	for _, crashes := range l.crashes {
		count += len(crashes)
	}
	return count
}
