package throttle

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Word is what is known of the rate of one life of an endpoint.
type Word struct {
	Endpoint    string
	Incarnation int64
	// Number orders the words on one life: each change has the next one. Zero stands for
	// no word at all.
	Number uint32
	// Limited is false once an answer has named no limit.
	Limited   bool
	PerSecond float64
}

// binds reports whether the word limits a life of its endpoint. One of a later life than
// the published one does too: the store tells of that late.
func (w Word) binds(e fleet.Endpoint) bool {
	return w.Limited && w.Incarnation >= e.Incarnation
}

// mayChange reports whether an answer of a life says something else than the word. A
// lower rate counts whenever it comes, a higher one or none only if the answer is later
// than the word.
func (w Word) mayChange(incarnation int64, r fleet.Rate, isLater bool) bool {
	switch {
	case !r.Named && r.Unreadable:
		return false
	case w.Number == 0:
		return r.Named
	case incarnation != w.Incarnation:
		return incarnation > w.Incarnation
	case r.Named && (!w.Limited || r.PerSecond < w.PerSecond):
		return true
	case r.Named == w.Limited && r.PerSecond == w.PerSecond:
		return false
	default:
		return isLater
	}
}

// next is the word that takes the place of this one.
func (w Word) next(e fleet.Endpoint, r fleet.Rate) Word {
	number := uint32(1)
	if e.Incarnation == w.Incarnation {
		number = w.Number + 1
	}
	return Word{
		Endpoint:    e.ID,
		Incarnation: e.Incarnation,
		Number:      number,
		Limited:     r.Named,
		PerSecond:   r.PerSecond,
	}
}

// supersedes reports whether a word takes the place of another one. Of two with one number,
// which two VMs have read at the same time, the stricter one counts.
func (w Word) supersedes(other Word) bool {
	switch {
	case w.Incarnation != other.Incarnation:
		return w.Incarnation > other.Incarnation
	case w.Number != other.Number:
		return w.Number > other.Number
	case w.Limited != other.Limited:
		return w.Limited
	default:
		return w.Limited && w.PerSecond < other.PerSecond
	}
}

// recentFor is how long a word is told unasked.
const recentFor = 2 * time.Second

// Recent returns the words that this VM has learnt of late.
func (t *Throttle) Recent(now time.Time) []Word {
	return t.words(func(l *limited) bool { return now.Sub(l.learntAt) < recentFor })
}

// Words returns all words.
func (t *Throttle) Words() []Word {
	return t.words(func(*limited) bool { return true })
}

func (t *Throttle) words(wanted func(*limited) bool) []Word {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Word
	for _, held := range t.endpoints {
		if wanted(held) {
			out = append(out, held.word)
		}
	}
	return out
}

// Digest is the same at two VMs that hold the same words; zero without any.
func (t *Throttle) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for _, held := range t.endpoints {
		sum ^= held.word.hash()
	}
	return sum
}

func (w Word) hash() uint64 {
	text := fmt.Sprintf("%s %d %d %t %g", w.Endpoint, w.Incarnation, w.Number, w.Limited, w.PerSecond)
	return xxhash.Sum64String(text)
}
