package enginetest

import (
	"slices"
	"time"
)

// PrefillServer simulates an engine's prefill queue: prompts are processed one at a time without
// preemption, ordered by queue level and then by arrival.
type PrefillServer struct {
	Clock *Clock
	// PerSecond is the prefill rate in tokens per second.
	PerSecond float64

	waiting []*Prompt
	busy    bool
}

// Prompt is the part of a call's prompt that a PrefillServer has to prefill.
type Prompt struct {
	Tokens     float64
	QueueLevel int
	// OnDone is called when the prefill is done.
	OnDone func()
}

// Send queues a prompt.
func (r *PrefillServer) Send(p *Prompt) {
	r.waiting = append(r.waiting, p)
	r.startNext()
}

// Drop removes a queued prompt; it returns false if its prefill has started or ended.
func (r *PrefillServer) Drop(p *Prompt) bool {
	at := slices.Index(r.waiting, p)
	if at < 0 {
		return false
	}
	r.waiting = slices.Delete(r.waiting, at, at+1)
	return true
}

func (r *PrefillServer) startNext() {
	if r.busy || len(r.waiting) == 0 {
		return
	}
	first := slices.MinFunc(r.waiting, func(a, b *Prompt) int { return a.QueueLevel - b.QueueLevel })
	r.Drop(first)
	r.busy = true
	r.Clock.After(time.Duration(first.Tokens/r.PerSecond*float64(time.Second)), func() {
		r.busy = false
		first.OnDone()
		r.startNext()
	})
}
