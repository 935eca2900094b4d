package scenario

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// told is what one ask of an operation came to, as its caller saw it.
type told struct {
	class   result.Class
	code    result.Code
	text    string
	beganAt time.Time
	endedAt time.Time
}

// verdict sums up what was told of operations against the services' counts.
type verdict struct {
	Operations int
	Asks       int
	Done       int
	NotRun     int
	Unknown    int
	// UnknownOperations have no ask that was done and one that is unknown.
	UnknownOperations int
	// Doubled ran more than once, Lost never although an ask was done, and
	// Differing have two answers.
	Doubled   int
	Lost      int
	Differing int
	// RanThoughNotRun are asks told not run of an operation that had run.
	RanThoughNotRun int
}

// judge adds one operation with all of its asks, its count of runs, and the
// time at which the first one began.
func (v *verdict) judge(asks []told, runs int, ranAt time.Time) {
	v.Operations++
	v.Asks += len(asks)
	if runs > 1 {
		v.Doubled++
	}
	done, unknown := 0, 0
	texts := make(map[string]bool)
	for _, a := range asks {
		switch a.class {
		case result.ClassDone:
			done++
			texts[a.text] = true
		case result.ClassNotRun:
			v.NotRun++
			if runs > 0 && !excused(a, asks, ranAt) {
				v.RanThoughNotRun++
			}
		default:
			unknown++
		}
	}
	v.Done += done
	v.Unknown += unknown
	if done == 0 && unknown > 0 {
		v.UnknownOperations++
	}
	if done > 0 && runs == 0 {
		v.Lost++
	}
	if len(texts) > 1 {
		v.Differing++
	}
}

// excused says that the run is not that of the refused ask: it began after the
// ask did, and another ask was open when it began. One that ended unknown may
// run its call later still.
func excused(a told, asks []told, ranAt time.Time) bool {
	if ranAt.Before(a.beganAt) {
		return false
	}
	return slices.ContainsFunc(asks, func(other told) bool {
		if other.class == result.ClassNotRun || ranAt.Before(other.beganAt) {
			return false
		}
		return other.class == result.ClassUnknown || !other.endedAt.Before(ranAt)
	})
}
