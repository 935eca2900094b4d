package emulator

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// Ids of the prompts' parts. Requests use their own ids for their last parts.
	firstPartID     = 1 << 40
	harmfulPartID   = 2 << 40
	otherPartID     = 3 << 40
	companionPartID = 4 << 40
	// maxRepeatFraction of the requests with a harmful part repeat the one before.
	maxRepeatFraction = 0.3
	// minPromptRunTime and maxPromptRunTime bound the duration of a run with a prompt.
	minPromptRunTime = 200 * time.Millisecond
	maxPromptRunTime = 2500 * time.Millisecond
	// After partCrashes crashes every VM must quarantine a part, of which at most
	// maxPartRequests further requests may reach endpoints.
	partCrashes     = 5
	maxPartRequests = 3
	// From soundRecoveryTime after that, harmless requests must be served at least at
	// minSoundShare of their usual rate, if there are minSoundRequests of them.
	soundRecoveryTime = 2 * convergenceTime
	minSoundShare     = 0.5
	minSoundRequests  = 20
)

// CrashingParts configures prompts, and parts of them that crash every endpoint that answers
// them, in requests of which few have the same content.
type CrashingParts struct {
	Conditions

	// Harmful is the number of such parts. Requests with them begin at AtSeconds after the
	// warm-up, PerSecond of each part.
	Harmful   int     `json:"harmful"`
	AtSeconds float64 `json:"at"`
	PerSecond float64 `json:"per_second"`
	// Others is the number of parts from which each prompt has one beside the first part,
	// which all prompts have.
	Others int `json:"others"`
	// Companion is the fraction of harmless prompts that have a part which all prompts with a
	// harmful part have.
	Companion float64 `json:"companion"`
	// Answered is the fraction of requests with a harmful part whose answers end before the
	// crash.
	Answered float64 `json:"answered"`
	// CallerRetries is how often callers retry harmless requests that were interrupted.
	CallerRetries int `json:"repeats"`
}

func (c CrashingParts) enabled() bool {
	return c.Harmful > 0
}

// scheduleCrashingParts schedules the requests with harmful parts.
func (w *world) scheduleCrashingParts() {
	for number := range w.parts.Harmful {
		sender := &harmfulSender{
			world:  w,
			number: number,
		}
		w.after(warmup+seconds(w.parts.AtSeconds), sender.sendNext)
	}
}

// harmfulSender sends requests with one harmful part to random VMs.
type harmfulSender struct {
	world   *world
	number  int
	content uint64
	parts   []call.PromptPart
}

func (s *harmfulSender) sendNext() {
	w := s.world
	if !w.clock.now.Before(w.end) {
		return
	}
	if to := w.vms[w.crashRand.IntN(len(w.vms))]; to.up {
		from := &caller{region: to.member.Region}
		from.send(w, to, s.request(to.member.Region))
	}
	w.after(seconds(w.crashRand.ExpFloat64()/w.parts.PerSecond), s.sendNext)
}

func (s *harmfulSender) request(region string) *request {
	w := s.world
	r := &request{
		id:              w.nextID(),
		region:          region,
		idempotent:      w.crashRand.IntN(2) == 0,
		maxRuns:         defaultMaxRuns,
		crashesEndpoint: true,
		harmfulPart:     s.number + 1,
		sentAt:          w.clock.now,
		deadline:        w.clock.now.Add(callTimeout),
	}
	if !r.idempotent {
		r.maxRuns = 1
	}
	if s.parts == nil || w.crashRand.Float64() >= maxRepeatFraction {
		s.content = uint64(r.id)
		harmful := []call.PromptPart{{ID: harmfulPartID + uint64(s.number)}}
		if w.parts.Companion > 0 {
			harmful = append(harmful, call.PromptPart{ID: companionPartID})
		}
		s.parts = w.newPrompt(r.id, harmful...)
	}
	r.call = r.newCall(s.content)
	r.setPrompt(s.parts)
	w.ledger.requests = append(w.ledger.requests, r)
	return r
}

// newPrompt returns a prompt with the first part, another part, the given ones, and a last
// one of its own.
func (w *world) newPrompt(last int, parts ...call.PromptPart) []call.PromptPart {
	out := []call.PromptPart{{ID: firstPartID}}
	if w.parts.Others > 0 {
		out = append(out, call.PromptPart{ID: otherPartID + uint64(w.crashRand.IntN(w.parts.Others))})
	}
	out = append(out, parts...)
	return append(out, call.PromptPart{ID: uint64(last)})
}

// addPrompt gives a harmless request a prompt if prompts are enabled.
func (w *world) addPrompt(r *request, to *vm) {
	if !w.parts.enabled() {
		return
	}
	var parts []call.PromptPart
	if w.crashRand.Float64() < w.parts.Companion {
		parts = append(parts, call.PromptPart{ID: companionPartID})
	}
	r.setPrompt(w.newPrompt(r.id, parts...))
	r.hasPrompt = true
	r.convergedVM = w.ledger.converged(to)
	r.sentTo = to
}

// runPrompt runs a harmless request with a prompt, which a crash of the endpoint interrupts.
func (e *engine) runPrompt(a attempt) {
	w := e.world
	run := &a
	e.active = append(e.active, run)
	a.request.answerBeganAt = w.clock.now
	w.after(quarantine.SoundAnswerDuration, func() {
		if slices.Contains(e.active, run) {
			w.network.send(e.endpoint.Region, a.from.member.Region, a.onProgress)
		}
	})
	lasts := minPromptRunTime + time.Duration(w.crashRand.Int64N(int64(maxPromptRunTime-minPromptRunTime)))
	w.after(lasts, func() {
		if i := slices.Index(e.active, run); i >= 0 {
			e.active = slices.Delete(e.active, i, i+1)
			e.finish(a)
		}
	})
}

// partTracker records the crashes under one harmful part.
type partTracker struct {
	crashes []time.Time
	// sentAfter holds the requests that reached endpoints although the part should have been
	// quarantined.
	sentAfter map[int]bool
}

func (l *ledger) partTracker(r *request) *partTracker {
	for len(l.parts) < r.harmfulPart {
		l.parts = append(l.parts, &partTracker{
			sentAfter: make(map[int]bool),
		})
	}
	return l.parts[r.harmfulPart-1]
}

// checkCrashingParts limits how many requests with a part reach endpoints after enough have
// crashed under it.
func (l *ledger) checkCrashingParts(a attempt) {
	if a.request.harmfulPart == 0 || !l.converged(a.from) {
		return
	}
	t := l.partTracker(a.request)
	if len(t.crashes) < partCrashes || a.sentAt.Sub(t.crashes[partCrashes-1]) <= convergenceTime {
		return
	}
	t.sentAfter[a.request.id] = true
	if len(t.sentAfter) > maxPartRequests {
		l.addViolation(CheckCrashingParts, "%d requests with a part that crashed %d endpoints reached endpoints after its quarantine", len(t.sentAfter), len(t.crashes))
	}
}

// checkSoundParts checks that harmless requests, which all share the first part, go on to be
// served. It runs at the end.
func (l *ledger) checkSoundParts() {
	for _, t := range l.parts {
		if len(t.crashes) == 0 {
			continue
		}
		from := t.crashes[min(partCrashes, len(t.crashes))-1].Add(soundRecoveryTime)
		before := l.soundRequests(time.Time{}, t.crashes[0].Add(-maxPromptRunTime))
		after := l.soundRequests(from, l.world.end.Add(-maxPromptRunTime))
		if min(before.sent, after.sent) < minSoundRequests {
			continue
		}
		if after.served*before.sent < minSoundShare*before.served*after.sent {
			l.addViolation(CheckSoundParts, "%.0f of %.0f harmless requests were served after %d crashes, %.0f of %.0f before", after.served, after.sent, len(t.crashes), before.served, before.sent)
		}
		if after.quarantined > (1-minSoundShare)*after.arrived {
			l.addViolation(CheckSoundParts, "%.0f of %.0f harmless requests were quarantined after %d crashes", after.quarantined, after.arrived, len(t.crashes))
		}
	}
}

// recordLostVM marks the unanswered requests with prompts whose callers sent them to a VM
// whose process ends now.
func (l *ledger) recordLostVM(v *vm) {
	now := l.world.clock.now
	for _, r := range slices.Backward(l.requests) {
		if now.Sub(r.sentAt) > callTimeout {
			return
		}
		if r.sentTo == v && !r.outcome.answered && !now.After(r.deadline) {
			r.outcome.lostWithVM = true
		}
	}
}

// soundCounts counts harmless requests. sent and served are those at VMs that timing bounds
// apply to, without those that were lost with their VM, whose callers nobody can answer;
// arrived and quarantined are those at any VM.
type soundCounts struct {
	sent        float64
	served      float64
	arrived     float64
	quarantined float64
}

// soundRequests counts the harmless requests sent in an interval.
func (l *ledger) soundRequests(from, to time.Time) (counts soundCounts) {
	for _, r := range l.requests {
		if !r.hasPrompt || r.sentAt.Before(from) || r.sentAt.After(to) {
			continue
		}
		counts.arrived++
		if r.outcome.answer == result.Quarantined {
			counts.quarantined++
		}
		if !r.convergedVM || r.outcome.lostWithVM {
			continue
		}
		counts.sent++
		if r.outcome.answer == result.Done {
			counts.served++
		}
	}
	return counts
}
