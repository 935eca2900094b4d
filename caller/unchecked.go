package caller

import "github.com/fuchsianotch/fuchsianotch/result"

// passing are refusals that this VM gives before it asks a ticket's executor,
// and that another moment or another VM may not give.
var passing = map[result.Code]bool{
	result.NotReady:       true,
	result.WrongRegion:    true,
	result.WrongVM:        true,
	result.DeadlinePassed: true,
	result.NotInContract:  true,
	result.UnknownTarget:  true,
	result.BodyTooSlow:    true,
}

// unchecked returns the refusal as a caller with a ticket may be told it. Before
// the executor was asked nobody here knows whether an earlier ask with the
// ticket has run, so that the call must not be told as not run.
func unchecked(q *request, r *result.Refusal) *result.Refusal {
	if q.served || q.r.Header.Get(HeaderTicket) == "" || !passing[r.Code] {
		return r
	}
	return result.Refuse(result.ExecutorGone, "the ticket's executor was not asked: %s", r.Message).Because(r)
}
