package throttle

import "github.com/fuchsianotch/fuchsianotch/fleet"

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
