package enginetest

import (
	"slices"
	"time"
)

// Reader is the part of a model engine that reads prompts: one after the other, the
// first by turn and then by arrival, none interrupted.
type Reader struct {
	Clock *Clock
	// PerSecond is how many tokens it reads in a second.
	PerSecond float64

	waiting []*Prompt
	reading bool
}

// Prompt is what a Reader has to read of one call.
type Prompt struct {
	Tokens float64
	Turn   int
	// Read is called at the end.
	Read func()
}

// Send queues a prompt.
func (r *Reader) Send(p *Prompt) {
	r.waiting = append(r.waiting, p)
	r.next()
}

// Drop takes a prompt out; false means that it is being read or was.
func (r *Reader) Drop(p *Prompt) bool {
	at := slices.Index(r.waiting, p)
	if at < 0 {
		return false
	}
	r.waiting = slices.Delete(r.waiting, at, at+1)
	return true
}

func (r *Reader) next() {
	if r.reading || len(r.waiting) == 0 {
		return
	}
	first := slices.MinFunc(r.waiting, func(a, b *Prompt) int { return a.Turn - b.Turn })
	r.Drop(first)
	r.reading = true
	r.Clock.After(time.Duration(first.Tokens/r.PerSecond*float64(time.Second)), func() {
		r.reading = false
		first.Read()
		r.next()
	})
}
