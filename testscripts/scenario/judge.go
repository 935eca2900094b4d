package scenario

import (
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

// judge adds one operation with all of its asks and its count of runs.
func (v *verdict) judge(asks []told, runs int) {
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
			if runs > 0 && !excused(a, asks) {
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

// excused says that the run came after the refusal, or is that of an ask that
// was open at the same time. Where an ask was answered as the one that ran, the
// run is that one's; else no ask that had ended before may have run it.
func excused(a told, asks []told) bool {
	for _, other := range asks {
		if other.code == result.Done {
			return other.endedAt.After(a.beganAt)
		}
	}
	open := false
	for _, other := range asks {
		if other.class == result.ClassNotRun {
			continue
		}
		if !other.endedAt.After(a.beganAt) {
			return false
		}
		open = true
	}
	return open
}
