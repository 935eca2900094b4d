package membership

import "time"

const (
	// minHeartbeatInterval is the shortest default interval.
	minHeartbeatInterval = 500 * time.Millisecond
	// heartbeatIntervalPerPeer limits a VM's heartbeat traffic to about 3 KB/s at any
	// fleet size.
	heartbeatIntervalPerPeer = 75 * time.Millisecond
	// heartbeatsPerLeaseTerm is the default lease term in heartbeat intervals.
	heartbeatsPerLeaseTerm = 3
	// clockMarginDivisor sets the fraction of a lease term by which the grantor waits
	// longer than the holder. It tolerates a clock rate difference of 2 %.
	clockMarginDivisor = 50
)

// DefaultHeartbeatEvery returns the default heartbeat interval for a number of peers.
func DefaultHeartbeatEvery(peers int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(peers)*heartbeatIntervalPerPeer)
}

// DefaultLeaseTerm returns the default lease term for a heartbeat interval.
func DefaultLeaseTerm(heartbeatEvery time.Duration) time.Duration {
	return heartbeatsPerLeaseTerm * heartbeatEvery
}

func withClockMargin(term time.Duration) time.Duration {
	return term + term/clockMarginDivisor
}
