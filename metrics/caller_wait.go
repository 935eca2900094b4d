package metrics

import "github.com/prometheus/client_golang/prometheus"

// ReturnedOutcome is what became of a call whose caller has waited before this attempt.
type ReturnedOutcome string

// Outcomes of returned calls. A call is in time if its first token, or its response if it is
// not a stream, comes within the objective counted from the first attempt.
const (
	ReturnedInTime  ReturnedOutcome = "in_time"
	ReturnedLate    ReturnedOutcome = "late"
	ReturnedRefused ReturnedOutcome = "refused"
	ReturnedFailed  ReturnedOutcome = "failed"
)

func newReturnedCalls() *prometheus.CounterVec {
	return newCounterVec("returned_calls_total", "Calls whose callers have waited before this attempt, by what became of them.", "outcome")
}

// CountReturnedCall counts a call whose caller has waited before this attempt.
func (m *Metrics) CountReturnedCall(outcome ReturnedOutcome) {
	m.returnedCalls.WithLabelValues(string(outcome)).Inc()
}
