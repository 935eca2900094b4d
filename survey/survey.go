// Package survey decides how often engines are asked for their load, and which of
// their answers other VMs are told. It answers fleets of many engines of which most
// have little to do: questions and words about those say nothing that changes where a
// call goes, and cost a VM more than all other control.
package survey

import (
	"time"

	"github.com/fuchsianotch/fuchsianotch/routing"
)

const (
	// BusyEvery is the interval at which an engine with work is asked.
	BusyEvery = time.Second
	// IdleEvery is the same for one without: it is found silent or cold by then.
	IdleEvery = 3 * time.Second
	// early is by how much sooner than its time an engine may be asked, so that
	// questions in rounds of BusyEvery do not slip by a whole round.
	early = 150 * time.Millisecond

	// againEvery is when an unchanged load is told again while there is any: what was
	// told fades at those that heard it.
	againEvery = 2 * time.Second
	// newsPart is the part by which the calls at an engine must have changed, and
	// newsCachePart that of its memory, to be told at once.
	newsPart      = 0.1
	newsCachePart = 0.05
)

// IsDue reports whether an engine is to be asked that gave its last load at l.At.
// inFlight says that this VM has calls there.
func IsDue(l routing.Load, inFlight bool, now time.Time) bool {
	every := BusyEvery
	if isIdle(l) && !inFlight {
		every = IdleEvery
	}
	return now.Sub(l.At) >= every-early
}

// IsNews reports whether others are to be told of a load, after they were told of
// another one. The zero load stands for nothing told.
func IsNews(told, l routing.Load) bool {
	if isIdle(l) && isIdle(told) {
		return false
	}
	if isIdle(l) != isIdle(told) || l.At.Sub(told.At) >= againEvery {
		return true
	}
	before, after := float64(told.Running+told.Waiting), float64(l.Running+l.Waiting)
	cache := newsCachePart * float64(l.CacheTokens)
	return differs(before, after, max(1, newsPart*before)) ||
		(cache > 0 && differs(float64(told.CacheUsed), float64(l.CacheUsed), cache))
}

func isIdle(l routing.Load) bool {
	return l.Running+l.Waiting == 0
}

func differs(a, b, least float64) bool {
	return max(a, b)-min(a, b) >= least
}
