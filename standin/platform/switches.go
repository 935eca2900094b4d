package platform

import "github.com/fuchsianotch/fuchsianotch/contract"

// defaultReadsPerSecond is the platform's published cap over all readers.
const defaultReadsPerSecond = 2000

// Switches are the faults that an operator of a test may turn on.
type Switches struct {
	// Outage answers every call of the protocol with 503.
	Outage bool `json:"outage"`
	// StaleAtRevision serves values and the list as of this revision; zero is off.
	StaleAtRevision uint64 `json:"stale_at_revision"`
	// ListLag is how old a list must be before it is shown.
	ListLag contract.Duration `json:"list_lag"`
	// ReadsPerSecond is the cap over all readers; zero means 2,000.
	ReadsPerSecond int `json:"reads_per_second"`
}

// limit returns the cap in force.
func (s Switches) limit() uint64 {
	if s.ReadsPerSecond <= 0 {
		return defaultReadsPerSecond
	}
	return uint64(s.ReadsPerSecond)
}

// asOf returns the revision to serve when the newest is the given one.
func (s Switches) asOf(newest uint64) uint64 {
	if s.StaleAtRevision == 0 {
		return newest
	}
	return min(s.StaleAtRevision, newest)
}
