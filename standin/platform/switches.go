package platform

import "github.com/fuchsianotch/fuchsianotch/contract"

// defaultReadsPerSecond is the platform's documented limit over all readers.
const defaultReadsPerSecond = 2000

// Switches are the faults that a test can inject.
type Switches struct {
	// Outage fails every request under /v1/ with 503.
	Outage bool `json:"outage"`
	// StaleAtRevision serves values and the list as of this revision; zero is off.
	StaleAtRevision uint64 `json:"stale_at_revision"`
	// ListLag delays the visibility of a written list.
	ListLag contract.Duration `json:"list_lag"`
	// ReadsPerSecond is the limit over all readers; zero means 2,000.
	ReadsPerSecond int `json:"reads_per_second"`
}

// limit returns the effective read limit.
func (s Switches) limit() uint64 {
	if s.ReadsPerSecond <= 0 {
		return defaultReadsPerSecond
	}
	return uint64(s.ReadsPerSecond)
}

// asOf returns the revision to serve, given the newest one.
func (s Switches) asOf(newest uint64) uint64 {
	if s.StaleAtRevision == 0 {
		return newest
	}
	return min(s.StaleAtRevision, newest)
}
