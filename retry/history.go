package retry

import "github.com/fuchsianotch/fuchsianotch/result"

// maxRefused is how many endpoints may refuse one routed call before its caller
// is told: more seldom find a place and use up the repeats of others.
const maxRefused = 2

// History is what the attempts that one VM made of a call have come to.
type History struct {
	Attempts int
	// Refused are the attempts that certainly did not run.
	Refused int
	// Uncertain is the last code of class unknown that an attempt ended with, zero
	// while none did.
	Uncertain result.Code
}

// Take adds an attempt. Sent is set when a byte of it may have reached the endpoint.
func (h *History) Take(code result.Code, sent bool) {
	h.Attempts++
	if !sent || code.Class() == result.ClassNotRun {
		h.Refused++
	}
	if code.Class() == result.ClassUnknown {
		h.Uncertain = code
	}
}

// Ran is how many attempts may have run.
func (h *History) Ran() int {
	return h.Attempts - h.Refused
}

// Code is that of the call whose last attempt ended with a code. A call of which
// an earlier attempt may have run may have run, whatever its last one came to.
func (h *History) Code(last result.Code) result.Code {
	if last.Class() == result.ClassNotRun && h.Uncertain != 0 {
		return h.Uncertain
	}
	return last
}

// Routed returns how often a routed call was tried and may be tried. The route
// bounds the endpoints that may have run it; those that certainly have not are
// bounded besides.
func (h *History) Routed(mostRuns int) (attempts, most int) {
	if h.Refused > maxRefused {
		return h.Attempts, h.Attempts
	}
	return h.Ran(), mostRuns
}
