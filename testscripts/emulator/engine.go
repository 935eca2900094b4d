package emulator

import (
	"fmt"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// serviceName is the one service, which has cold endpoints.
	serviceName = "s"
	// coldFor is how long an endpoint is cold after its start.
	coldFor = 3 * time.Second
	// leastWork and mostWork bound the time of one run.
	leastWork = 5 * time.Millisecond
	mostWork  = 300 * time.Millisecond
	// lingerFor is how long a leaving endpoint still serves beyond its bound.
	lingerFor = time.Second
)

// engine is an endpoint.
type engine struct {
	world     *world
	endpoint  fleet.Endpoint
	up        bool
	listed    bool
	coldUntil time.Time
	// lostPart of the runs end without their answer arriving, refusedPart of the
	// requests are refused, and failedPart of the runs fail.
	lostPart, refusedPart, failedPart float64
	// arrivals are the requests that it got lately.
	arrivals []arrival
	// limit is what its answers name.
	limit engineLimit
}

type arrival struct {
	sent, arrived time.Time
}

// attempt is one send of a request.
type attempt struct {
	request *request
	// instance is the endpoint that is meant.
	instance string
	from     *vm
	sentAt   time.Time
	// rated takes what the answer says of the engine's rate, before done takes the rest.
	rated func(fleet.Rate)
	done  func(result.Code, bool)
}

func (w *world) addEngine(region string) *engine {
	w.serial++
	e := &engine{
		world: w,
		endpoint: fleet.Endpoint{
			ID:         fmt.Sprintf("e%d", w.serial),
			Region:     region,
			DataCentre: region,
			Addr:       fmt.Sprintf("addr-%d", w.serial),
			Service:    serviceName,
			Slots:      64,
			State:      fleet.StateLive,
		},
		up:     true,
		listed: true,
	}
	w.engines = append(w.engines, e)
	w.store.put(e)
	return e
}

func (w *world) engineAt(id string) *engine {
	for _, e := range w.engines {
		if e.endpoint.ID == id {
			return e
		}
	}
	return nil
}

// takeAddress gives an endpoint the address of one that is gone.
func (e *engine) takeAddress(gone *engine) {
	e.endpoint.Addr = gone.endpoint.Addr
}

// becomeCold makes the endpoint cold, which its entry tells.
func (e *engine) becomeCold() {
	e.coldUntil = e.world.clock.now.Add(coldFor)
	e.arrivals = nil
	e.world.store.put(e)
}

func (e *engine) cold() bool {
	return e.world.clock.now.Before(e.coldUntil)
}

// crash ends the endpoint; its entry lapses later.
func (e *engine) crash() {
	e.up = false
	e.world.after(lapseAfter, func() { e.world.store.remove(e) })
}

// leave announces that the endpoint stops, and stops it.
func (e *engine) leave() {
	e.endpoint.State = fleet.StateLeaving
	e.world.store.put(e)
	e.world.after(drainWithin+lingerFor, func() {
		e.up = false
		e.world.store.remove(e)
	})
}

// withdraw takes the entry away, and stops the endpoint later.
func (e *engine) withdraw() {
	e.endpoint.State = fleet.StateLeaving
	e.world.store.remove(e)
	e.world.store.acknowledge(acknowledgement{leaving: e.endpoint.ID})
	e.world.after(2*drainWithin+lingerFor, func() { e.up = false })
}

// get takes a request that has arrived at its address.
func (e *engine) get(a attempt) {
	if !e.up {
		a.answer(e, result.EndpointFailed, false)
		return
	}
	if e.endpoint.ID != a.instance {
		a.answer(e, result.EndpointRefused, true)
		return
	}
	e.world.ledger.arrived(e, a)
	if e.world.rand.Float64() < e.refusedPart {
		a.answer(e, result.EndpointRefused, true)
		return
	}
	e.world.ledger.ran(e, a)
	if a.request.crashes {
		e.world.after(crashAfter, func() { e.crashUnder(a) })
		return
	}
	e.world.after(e.world.between(leastWork, mostWork), func() { e.finish(a) })
}

func (e *engine) finish(a attempt) {
	draw := e.world.rand.Float64()
	switch {
	case !e.up || draw < e.lostPart:
		a.answer(e, result.EndpointCut, true)
	case draw < e.lostPart+e.failedPart:
		a.answer(e, result.EndpointFailed, true)
	default:
		a.answer(e, result.Done, true)
	}
}

func (a attempt) answer(e *engine, code result.Code, sent bool) {
	rate, says := e.limit.rate, e.endpoint.ID == a.instance && sent && code != result.EndpointCut
	e.world.network.send(e.endpoint.Region, a.from.vm.Region, func() {
		if says {
			a.rated(rate)
		}
		a.done(code, sent)
	})
}

// request is what one caller asked once.
type request struct {
	id         int
	region     string
	idempotent bool
	most       int
	homes      []string
	deadline   time.Time
	sentAt     time.Time
	call       *call.Call
	// crashes says that the endpoint which runs the request crashes.
	crashes bool
	// tries is how often its caller has sent it before.
	tries int
	run   runs
}

// runs is what endpoints and the caller saw of a request.
type runs struct {
	arrivals int
	count    int
	engines  []*engine
	answer   result.Code
	ended    bool
}
