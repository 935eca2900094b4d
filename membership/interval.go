package membership

import "time"

const (
	// heartbeatLeast is the shortest default interval.
	heartbeatLeast = 500 * time.Millisecond
	// heartbeatPerPeer keeps the bytes that a VM sends within about 3 KB/s as its region grows.
	heartbeatPerPeer = 62 * time.Millisecond
	// otherPeers are the peers outside the own region, with two other regions.
	otherPeers = 2 * sourcesPerRegion
	// heartbeatsPerTerm is the default lease term in heartbeats.
	heartbeatsPerTerm = 3
	// marginPart is the part of a lease term that a lender waits longer than
	// the borrower counts. It covers clocks whose rates differ by 2 %.
	marginPart = 50
)

// DefaultHeartbeatEvery gives the default interval for a region's number of VMs.
func DefaultHeartbeatEvery(vms int) time.Duration {
	peers := vms - 1 + otherPeers
	return max(heartbeatLeast, time.Duration(peers)*heartbeatPerPeer)
}

// DefaultLeaseTerm gives the default lease term for a heartbeat interval.
func DefaultLeaseTerm(heartbeatEvery time.Duration) time.Duration {
	return heartbeatsPerTerm * heartbeatEvery
}

func withMargin(term time.Duration) time.Duration {
	return term + term/marginPart
}
