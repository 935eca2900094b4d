package retry

import "github.com/fuchsianotch/fuchsianotch/result"

// maxRefusals is the number of endpoints that may refuse one routed call before the
// caller is told. Further attempts seldom succeed and use up the retry budget.
const maxRefusals = 2

// History summarizes the attempts that one VM made for a call.
type History struct {
	Attempts int
	// Refused is the number of attempts that certainly did not run.
	Refused int
	// Sent is set if an attempt may have reached an endpoint.
	Sent bool
	// Uncertain is the last code of class unknown that an attempt ended with; zero if
	// there was none.
	Uncertain result.Code
}

// Record records an attempt. sent is set if a byte of it may have reached the endpoint.
func (h *History) Record(code result.Code, sent bool) {
	h.Attempts++
	h.Sent = h.Sent || sent
	if !sent || code.Class() == result.ClassNotRun {
		h.Refused++
	}
	if code.Class() == result.ClassUnknown {
		h.Uncertain = code
	}
}

// MayHaveRun is the number of attempts that may have run.
func (h *History) MayHaveRun() int {
	return h.Attempts - h.Refused
}

// FinalCode returns the result code of the call, given that of its last attempt: if an
// earlier attempt may have run, the call is not reported as not run.
func (h *History) FinalCode(last result.Code) result.Code {
	if last.Class() == result.ClassNotRun && h.Uncertain != 0 {
		return h.Uncertain
	}
	return last
}

// AttemptsAndLimit returns the number of attempts made for a routed call and their limit.
// Attempts that certainly did not run are limited separately and do not count towards
// maxRuns.
func (h *History) AttemptsAndLimit(maxRuns int) (attempts, limit int) {
	if h.Refused > maxRefusals {
		return h.Attempts, h.Attempts
	}
	return h.MayHaveRun(), maxRuns
}
