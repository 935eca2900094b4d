package emulator

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// crashDelay is the time from the start of a run until the endpoint crashes.
	crashDelay = 60 * time.Millisecond
	// replacementDelay is the time until a crashed endpoint is replaced.
	replacementDelay = 3 * time.Second
	// minCrashInterval and maxCrashInterval bound the interval between two tries of a crashing call.
	minCrashInterval = 50 * time.Millisecond
	maxCrashInterval = 800 * time.Millisecond
	// callerRetryDelay is the delay before a caller retries an interrupted request.
	callerRetryDelay = 300 * time.Millisecond
	// firstCrashContent is the content of the first crashing call. Other requests have
	// lower values.
	firstCrashContent = 1 << 32
	// After quarantineThreshold crashes every VM must quarantine a call, of which at most
	// maxQuarantinedTries further tries may reach endpoints.
	quarantineThreshold = 3
	maxQuarantinedTries = 3
)

// CrashingCalls configures calls that crash every endpoint that runs them. Their
// callers retry them at random VMs until the end of the run.
type CrashingCalls struct {
	Conditions

	// Calls is the number of crashing calls.
	Calls int `json:"calls"`
	// Idempotent allows several endpoints to run one try.
	Idempotent bool `json:"idempotent"`
	// CallerRetries is how often callers retry other requests that were interrupted.
	CallerRetries int `json:"repeats"`
}

func (w *world) scheduleCrashingCalls(c CrashingCalls) {
	for number := range c.Calls {
		caller := &crashingCaller{
			world:      w,
			content:    firstCrashContent + uint64(number),
			idempotent: c.Idempotent,
		}
		w.after(warmup, caller.sendNext)
	}
}

// crashingCaller repeats one crashing call.
type crashingCaller struct {
	world      *world
	content    uint64
	idempotent bool
}

func (c *crashingCaller) sendNext() {
	w := c.world
	if !w.clock.now.Before(w.end) {
		return
	}
	to := w.vms[w.crashRand.IntN(len(w.vms))]
	if to.up {
		from := &caller{region: to.member.Region}
		from.send(w, to, c.request(to.member.Region))
	}
	pause := minCrashInterval + time.Duration(w.crashRand.Int64N(int64(maxCrashInterval-minCrashInterval)))
	w.after(pause, c.sendNext)
}

func (c *crashingCaller) request(region string) *request {
	w := c.world
	r := &request{
		id:              w.nextID(),
		region:          region,
		idempotent:      c.idempotent,
		maxRuns:         defaultMaxRuns,
		crashesEndpoint: true,
		sentAt:          w.clock.now,
		deadline:        w.clock.now.Add(callTimeout),
	}
	if !c.idempotent {
		r.maxRuns = 1
	}
	r.call = r.newCall(c.content)
	w.ledger.requests = append(w.ledger.requests, r)
	return r
}

// crashDuring crashes the endpoint that runs the attempt, which interrupts its other
// runs, and schedules a replacement.
func (e *engine) crashDuring(a attempt) {
	ended := a.request.harmfulPart > 0 && e.up && e.world.crashRand.Float64() < e.world.parts.Answered
	if ended {
		a.request.answerBeganAt = e.world.clock.now
		a.reply(e, result.Done, true)
	}
	if e.up {
		e.world.ledger.recordCrash(a)
		e.crash()
		e.world.after(replacementDelay, func() { e.world.addEngine(e.endpoint.Region).becomeCold() })
	}
	if !ended {
		a.reply(e, result.EndpointCut, true)
	}
}

// recordCrash records that an endpoint crashed while running the attempt.
func (l *ledger) recordCrash(a attempt) {
	content := a.request.call.Subjects[0]
	if a.request.harmfulPart > 0 {
		t := l.partTracker(a.request)
		t.crashes = append(t.crashes, l.world.clock.now)
	}
	l.crashes[content] = append(l.crashes[content], l.world.clock.now)
}

// checkQuarantine limits how often a call reaches endpoints after it was quarantined.
func (l *ledger) checkQuarantine(a attempt) {
	content := a.request.call.Subjects[0]
	crashes := l.crashes[content]
	if len(crashes) < quarantineThreshold || !l.converged(a.from) {
		return
	}
	if a.sentAt.Sub(crashes[quarantineThreshold-1]) <= convergenceTime {
		return
	}
	if l.sentAfterQuarantine[content] == nil {
		l.sentAfterQuarantine[content] = make(map[int]bool)
	}
	l.sentAfterQuarantine[content][a.request.id] = true
	if count := len(l.sentAfterQuarantine[content]); count > maxQuarantinedTries {
		l.addViolation(CheckQuarantine, "%d tries of a call that crashed %d endpoints reached endpoints after its quarantine", count, len(crashes))
	}
}

// retryByCaller schedules the caller's retry of an interrupted request, as a new
// request with the same content.
func (w *world) retryByCaller(r *request, v *vm, code result.Code) {
	if r.crashesEndpoint || r.callerRetries >= w.maxCallerRetries || code != result.EndpointCut {
		return
	}
	w.after(callerRetryDelay, func() {
		if !v.up {
			return
		}
		next := *r
		next.id = w.nextID()
		next.callerRetries++
		next.sentAt = w.clock.now
		next.deadline = w.clock.now.Add(callTimeout)
		next.outcome = outcome{}
		next.call = next.newCall(uint64(r.call.Subjects[0]))
		next.setPrompt(r.call.Routed.PromptParts)
		w.ledger.requests = append(w.ledger.requests, &next)
		w.ledger.callerRetries++
		from := &caller{region: v.member.Region}
		from.send(w, v, &next)
	})
}

// recordQuarantine counts harmless requests that were quarantined.
func (l *ledger) recordQuarantine(r *request, code result.Code) {
	if code == result.Quarantined && !r.crashesEndpoint {
		l.falseQuarantines++
	}
}

// totalCrashes returns how many endpoints were crashed by calls.
func (l *ledger) totalCrashes() int {
	count := 0
	for _, crashes := range l.crashes {
		count += len(crashes)
	}
	return count
}
