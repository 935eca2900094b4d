package emulator

import (
	"fmt"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// serviceName is the only service. Its endpoints start cold.
	serviceName = "s"
	// coldFor is how long an endpoint is cold after it starts.
	coldFor = 3 * time.Second
	// minRunTime and maxRunTime bound the duration of one run.
	minRunTime = 5 * time.Millisecond
	maxRunTime = 300 * time.Millisecond
	// drainGrace is how long a draining endpoint serves after drainTimeout.
	drainGrace = time.Second
)

// engine is a simulated endpoint.
type engine struct {
	world      *world
	endpoint   fleet.Endpoint
	up         bool
	registered bool
	coldUntil  time.Time
	// The fractions of runs whose answer is lost, of requests that are refused, and of
	// runs that fail.
	lostFraction, refusedFraction, failedFraction float64
	// refusedTwiceFraction is that of requests whose refusal comes once more as the next
	// request of the VM arrives, without an id. strayRefusals counts those under way.
	refusedTwiceFraction float64
	strayRefusals        map[*vm]int
	// coldArrivals are the requests that arrived while the endpoint was cold.
	coldArrivals []arrival
	// limit is the rate limit that its answers carry.
	limit engineLimit
	// notices is what it says about itself in its answers.
	notices engineNotices
	// active are the runs that its crash interrupts at once.
	active []*attempt
	// read are the streams whose prompts it has read.
	read map[int]bool
}

type arrival struct {
	sentAt, arrivedAt time.Time
}

// attempt is one transmission of a request to an endpoint.
type attempt struct {
	request *request
	// endpointID is the endpoint that the VM chose.
	endpointID string
	from       *vm
	sentAt     time.Time
	// onNotice receives the notice in an answer, before onAnswer receives the result.
	onNotice func(endpoint.Notice)
	// onProgress reports that the answer has gone on for a while.
	onProgress func()
	onAnswer   func(result.Code, bool)
}

func (w *world) addEngine(region string) *engine {
	w.lastID++
	e := &engine{
		world: w,
		endpoint: fleet.Endpoint{
			ID:         fmt.Sprintf("e%d", w.lastID),
			Region:     region,
			DataCentre: region,
			Addr:       fmt.Sprintf("addr-%d", w.lastID),
			Service:    serviceName,
			Slots:      64,
			State:      fleet.StateLive,

			SoftwareVersion: w.streams.softwareVersion(),
		},
		up:            true,
		registered:    true,
		strayRefusals: make(map[*vm]int),
	}
	w.engines = append(w.engines, e)
	w.store.put(e)
	return e
}

func (w *world) engineByID(id string) *engine {
	for _, e := range w.engines {
		if e.endpoint.ID == id {
			return e
		}
	}
	return nil
}

// reuseAddress gives the endpoint the address of one that has stopped.
func (e *engine) reuseAddress(gone *engine) {
	e.endpoint.Addr = gone.endpoint.Addr
}

// becomeCold makes the endpoint cold and updates its entry in the store.
func (e *engine) becomeCold() {
	e.coldUntil = e.world.clock.now.Add(coldFor)
	e.coldArrivals = nil
	e.world.store.put(e)
}

func (e *engine) cold() bool {
	return e.world.clock.now.Before(e.coldUntil)
}

// crash stops the endpoint at once; its entry expires later.
func (e *engine) crash() {
	e.up = false
	e.read = nil
	for _, a := range e.active {
		a.reply(e, result.EndpointCut, true)
	}
	e.active = nil
	e.world.after(leaseTTL, func() { e.world.store.remove(e) })
}

// drain marks the endpoint as leaving and stops it after the drain time.
func (e *engine) drain() {
	e.endpoint.State = fleet.StateLeaving
	e.notices.leaving = true
	e.world.store.put(e)
	e.world.after(drainTimeout+drainGrace, func() {
		e.up = false
		e.world.store.remove(e)
	})
}

// deregister removes the entry at once and stops the endpoint later.
func (e *engine) deregister() {
	e.endpoint.State = fleet.StateLeaving
	e.notices.leaving = true
	e.world.store.remove(e)
	e.world.store.acknowledge(acknowledgement{draining: e.endpoint.ID})
	e.world.after(2*drainTimeout+drainGrace, func() { e.up = false })
}

// receive handles a request that reached the endpoint's address.
func (e *engine) receive(a attempt) {
	if !e.up {
		a.reply(e, result.EndpointFailed, false)
		return
	}
	if e.endpoint.ID != a.endpointID {
		a.reply(e, result.EndpointRefused, true)
		return
	}
	e.world.ledger.recordArrival(e, a)
	if e.world.rand.Float64() < e.refusedFraction {
		a.reply(e, result.EndpointRefused, true)
		return
	}
	if e.strayRefusals[a.from] > 0 {
		e.strayRefusals[a.from]--
		e.world.ledger.recordRun(e, a)
		a.reply(e, a.from.strayRefusalCode(), true)
		return
	}
	if e.refusedTwiceFraction > 0 && e.world.rand.Float64() < e.refusedTwiceFraction {
		e.strayRefusals[a.from]++
		a.reply(e, result.EndpointRefused, true)
		return
	}
	e.world.ledger.recordRun(e, a)
	if a.request.crashesEndpoint {
		e.world.after(crashDelay, func() { e.crashDuring(a) })
		return
	}
	if a.request.hasPrompt {
		e.runPrompt(a)
		return
	}
	e.world.after(e.world.randomDuration(minRunTime, maxRunTime), func() { e.finish(a) })
}

// strayRefusalCode is the code of an attempt that gets a refusal of another one.
func (v *vm) strayRefusalCode() result.Code {
	if v.world.defect == TrustRefusals {
		return result.EndpointRefused
	}
	return result.RefusalUnproven
}

func (e *engine) finish(a attempt) {
	draw := e.world.rand.Float64()
	switch {
	case !e.up || draw < e.lostFraction:
		a.reply(e, result.EndpointCut, true)
	case draw < e.lostFraction+e.failedFraction:
		a.reply(e, result.EndpointFailed, true)
	default:
		a.reply(e, result.Done, true)
	}
}

func (a attempt) reply(e *engine, code result.Code, sent bool) {
	if sent && code != result.Done {
		e.world.ledger.failures++
	}
	notice, hasNotice := e.notice(code == result.EndpointRefused), e.endpoint.ID == a.endpointID && sent &&
		code != result.EndpointCut && code != result.RefusalUnproven
	if hasNotice {
		e.notices.recordNotice(a.from, notice, e.world.clock.now)
	}
	e.world.network.send(e.endpoint.Region, a.from.member.Region, func() {
		if hasNotice {
			a.onNotice(notice)
		}
		a.onAnswer(code, sent)
	})
}

// request is one request of a caller.
type request struct {
	id         int
	region     string
	idempotent bool
	maxRuns    int
	homes      []string
	deadline   time.Time
	sentAt     time.Time
	call       *call.Call
	// crashesEndpoint is set if running the request crashes the endpoint.
	crashesEndpoint bool
	// harmfulPart is the number of the harmful part of its prompt, from 1; zero for none.
	// hasPrompt is set on harmless requests with a prompt.
	harmfulPart int
	hasPrompt   bool
	// convergedVM is set if timing bounds applied to the VM that it was sent to.
	convergedVM bool
	// sentTo is the VM that the caller sent a harmless request with a prompt to.
	sentTo *vm
	// answerBeganAt is when the last answer to a prompt began.
	answerBeganAt time.Time
	// callerRetries is how often the caller has already retried it.
	callerRetries int
	outcome       outcome
}

// outcome is what endpoints and the caller observed of a request.
type outcome struct {
	arrivals int
	runs     int
	engines  []*engine
	answer   result.Code
	answered bool
	// unreached counts the attempts that did not reach their endpoints.
	unreached int
	// lostWithVM is set if the process of the VM that the caller sent the request to ended
	// before the answer and the deadline.
	lostWithVM bool
}
