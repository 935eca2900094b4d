package discovery

import "time"

const (
	// minColdExtension is the smallest extension that counts as new; it exceeds the
	// difference in latency between two answers of an endpoint.
	minColdExtension = 300 * time.Millisecond
	// coldReportRetention is how long a report's number is remembered after the report's
	// end, so that a delayed copy does not renew it. Lower numbers of a VM whose clock is
	// behind are accepted after this time.
	coldReportRetention = 10 * time.Second
)

// ReportCold records an endpoint's own report to this VM that it is cold, and returns whether
// the report is new. unpublished tells that the store cannot be read. Then the report also
// replaces a cold period that only the entry names, and is new: the period counts from when this
// VM received the entry, which may be long after other VMs did.
func (s *State) ReportCold(id string, until, now time.Time, unpublished bool) bool {
	k, ok := s.endpoints[id]
	if !ok || !until.After(now) {
		return false
	}
	replaces := unpublished && k.isColdByEntry()
	if !k.extendsCold(until) && !replaces {
		return false
	}
	k.coldUntil = until
	k.reportedColdUntil = until
	k.coldReportNumber = max(k.coldReportNumber+1, uint64(max(now.UnixMilli(), 0)))
	s.schedule(k, k.coldUntil)
	return true
}

// ReportColdFromPeer records a cold report that a peer forwarded, and returns whether it is new.
// A known report never extends the cold period: network latency shifts its end, so VMs
// would forward it to each other forever.
func (s *State) ReportColdFromPeer(id string, number uint64, until, now time.Time) bool {
	k, ok := s.endpoints[id]
	if !ok || !until.After(now) {
		return false
	}
	if number <= k.coldReportNumber && now.Before(k.coldUntil.Add(coldReportRetention)) {
		return false
	}
	k.coldReportNumber = number
	isNew := k.extendsCold(until)
	k.coldUntil = laterOf(k.coldUntil, until)
	k.reportedColdUntil = laterOf(k.reportedColdUntil, until)
	s.schedule(k, k.coldUntil)
	return isNew
}

// extendsCold reports whether an endpoint that is cold until then is cold for longer than known.
func (k *endpointState) extendsCold(until time.Time) bool {
	return until.Sub(k.coldUntil) >= minColdExtension
}

// isColdByEntry reports whether the endpoint itself did not report the end of its cold period.
func (k *endpointState) isColdByEntry() bool {
	return k.coldUntil.Sub(k.reportedColdUntil) >= minColdExtension
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
