package membership

import "time"

const (
	// heartbeatLeast is the shortest default interval.
	heartbeatLeast = 500 * time.Millisecond
	// heartbeatPerPeer keeps the bytes that a VM sends within about 3 KB/s as
	// its region and the number of regions grow.
	heartbeatPerPeer = 75 * time.Millisecond
	// heartbeatsPerTerm is the default lease term in heartbeats.
	heartbeatsPerTerm = 3
	// marginPart is the part of a lease term that a lender waits longer than
	// the borrower counts. It covers clocks whose rates differ by 2 %.
	marginPart = 50
)

// DefaultHeartbeatEvery returns the default interval for the number of VMs that
// are sent heartbeats.
func DefaultHeartbeatEvery(peers int) time.Duration {
	return max(heartbeatLeast, time.Duration(peers)*heartbeatPerPeer)
}

// DefaultLeaseTerm returns the default lease term for a heartbeat interval.
func DefaultLeaseTerm(heartbeatEvery time.Duration) time.Duration {
	return heartbeatsPerTerm * heartbeatEvery
}

func withMargin(term time.Duration) time.Duration {
	return term + term/marginPart
}
