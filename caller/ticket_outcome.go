package caller

import "github.com/fuchsianotch/fuchsianotch/result"

// transientCodes are the codes of refusals that are decided without the
// ticket's executor and that a retry, here or at another VM, may not get.
var transientCodes = map[result.Code]bool{
	result.NotReady:       true,
	result.WrongRegion:    true,
	result.WrongVM:        true,
	result.DeadlinePassed: true,
	result.NotInContract:  true,
	result.UnknownTarget:  true,
	result.BodyTooSlow:    true,
}

// reportUnknownOutcome replaces a transient refusal of a call with a ticket by
// ExecutorGone. Only the ticket's executor knows whether an earlier attempt with
// this ticket ran, so the call must not be reported as not run.
func reportUnknownOutcome(q *request, r *result.Refusal) *result.Refusal {
	if q.dispatched || q.r.Header.Get(HeaderTicket) == "" || !transientCodes[r.Code] {
		return r
	}
	return result.Refuse(result.ExecutorGone, "the ticket's executor was not asked: %s", r.Message).WithCause(r)
}
