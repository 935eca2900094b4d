package emulator

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
)

const (
	// idempotentPart of the requests may run more than once, and homePart of them
	// are bound to a home where the deployment has any.
	idempotentPart = 0.5
	homePart       = 0.4
	// directoryFor is how long a caller goes by one answer of the directory.
	directoryFor = 5 * time.Second
	mostRuns     = 2
	// burstEvery and burstFor shape the load: more comes in bursts.
	burstEvery = 7 * time.Second
	burstFor   = time.Second
	burstTimes = 2
)

// caller asks the VMs that a directory named for its region.
type caller struct {
	region  string
	known   []*vm
	askedAt time.Time
}

// sendRequests lets requests come until the end.
func (w *world) sendRequests() {
	for r := range w.shape.regions {
		c := &caller{
			region: regionName(r),
		}
		at := w.clock.now.Add(quietStart)
		for at.Before(w.end) {
			w.clock.at(at, func() { c.ask(w) })
			rate := w.shape.perSecond / float64(w.shape.regions)
			if at.Sub(w.clock.begin)%burstEvery < burstFor {
				rate *= burstTimes
			}
			at = at.Add(time.Duration(w.rand.ExpFloat64() / rate * float64(time.Second)))
		}
	}
}

func (c *caller) ask(w *world) {
	c.lookUp(w)
	if len(c.known) == 0 {
		return
	}
	to := c.known[w.rand.IntN(len(c.known))]
	c.send(w, to, w.newRequest(c.region))
}

// send has a VM take a request.
func (c *caller) send(w *world, to *vm, r *request) {
	w.network.send(c.region, to.vm.Region, func() {
		if to.up {
			to.do(to.life, func() { to.take(r) })
		}
	})
}

// lookUp asks any running VM of the region for the directory, now and then.
func (c *caller) lookUp(w *world) {
	if len(c.known) > 0 && w.clock.now.Sub(c.askedAt) < directoryFor {
		return
	}
	for _, v := range w.vms {
		if v.vm.Region != c.region || !v.running(v.life) || v.discovery.Table() == nil {
			continue
		}
		c.known = v.directory()
		c.askedAt = w.clock.now
		w.ledger.named(v, c.known)
		return
	}
}

func (w *world) nextSerial() int {
	w.serial++
	return w.serial
}

// asCall is the request as the decisions see it.
func (r *request) asCall(content uint64) *call.Call {
	return &call.Call{
		Content:    content,
		Idempotent: r.idempotent,
		WholeBy:    r.deadline,
		Routed: &call.Routed{
			Homes: r.homes,
		},
	}
}

func (w *world) newRequest(region string) *request {
	r := &request{
		id:         w.nextSerial(),
		region:     region,
		idempotent: w.rand.Float64() < idempotentPart,
		most:       mostRuns,
		sentAt:     w.clock.now,
		deadline:   w.clock.now.Add(callWithin),
	}
	if w.shape.homes && w.rand.Float64() < homePart {
		r.homes = []string{regionName(w.rand.IntN(w.shape.regions))}
	}
	r.call = r.asCall(uint64(r.id))
	w.ledger.requests = append(w.ledger.requests, r)
	return r
}
