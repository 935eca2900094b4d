package scenario

import (
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// attempt is the outcome of one attempt at an operation, as seen by its caller.
type attempt struct {
	class   result.Class
	code    result.Code
	text    string
	beganAt time.Time
	endedAt time.Time
}

// tally compares the reported outcomes of operations with their runs at the
// services.
type tally struct {
	Operations int
	Asks       int
	Done       int
	NotRun     int
	Unknown    int
	// UnknownOperations counts operations with an unknown attempt and none done.
	UnknownOperations int
	// Doubled counts operations that ran more than once, Lost those that never ran
	// although an attempt was done, and Differing those with different responses.
	Doubled   int
	Lost      int
	Differing int
	// RanThoughNotRun counts attempts that were reported as not run although the
	// operation ran.
	RanThoughNotRun int
}

// add adds one operation with its attempts, its number of runs, and the time at
// which the first run began.
func (v *tally) add(attempts []attempt, runs int, ranAt time.Time) {
	v.Operations++
	v.Asks += len(attempts)
	if runs > 1 {
		v.Doubled++
	}
	done, unknown := 0, 0
	texts := make(map[string]bool)
	for _, a := range attempts {
		switch a.class {
		case result.ClassDone:
			done++
			texts[a.text] = true
		case result.ClassNotRun:
			v.NotRun++
			if runs > 0 && !ranByOtherAttempt(a, attempts, ranAt) {
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

// ranByOtherAttempt reports whether another attempt explains the run: the run
// began after attempt a did, while the other one was open. An attempt that ended
// unknown may also run its call later.
func ranByOtherAttempt(a attempt, attempts []attempt, ranAt time.Time) bool {
	if ranAt.Before(a.beganAt) {
		return false
	}
	return slices.ContainsFunc(attempts, func(other attempt) bool {
		if other.class == result.ClassNotRun || ranAt.Before(other.beganAt) {
			return false
		}
		return other.class == result.ClassUnknown || !other.endedAt.Before(ranAt)
	})
}
