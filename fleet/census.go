package fleet

import "time"

const (
	// departedRetention is how long VMs that are gone still count as part of their
	// region. A region may lose VMs for minutes, which then continue to serve on their
	// own.
	departedRetention = 10 * time.Minute
	// StartupPeriod is how long after its start a VM may not know the others yet. Until
	// then it assumes at least minVMsAtStart, so that VMs that start together don't
	// each claim the whole region's share.
	StartupPeriod = 1500 * time.Millisecond
	minVMsAtStart = 16
)

// SizeEstimate estimates the number of VMs in the own region, which divides what they share.
// It is not safe for concurrent use.
type SizeEstimate struct {
	// StartedAt is when the VM's process started.
	StartedAt time.Time

	maxVMs       int
	maxVMsAt     time.Time
	reachableVMs int
	stableSince  time.Time
}

// Observe records how many VMs of the region are reachable, including this one, and how
// many aren't known to be gone.
func (c *SizeEstimate) Observe(reachable, known int, now time.Time) {
	if reachable != c.reachableVMs {
		c.reachableVMs = reachable
		c.stableSince = now
	}
	if count := max(known, reachable); count >= c.maxVMs || now.Sub(c.maxVMsAt) > departedRetention {
		c.maxVMs = count
		c.maxVMsAt = now
	}
}

// VMs returns the estimated number of VMs in the region: the recent maximum.
func (c *SizeEstimate) VMs(now time.Time) int {
	if now.Sub(c.StartedAt) < StartupPeriod {
		return max(c.maxVMs, minVMsAtStart)
	}
	return max(c.maxVMs, 1)
}

// ReachableShare returns the fraction of the region's VMs that this VM reaches. The unreachable
// ones share the rest.
func (c *SizeEstimate) ReachableShare(now time.Time) float64 {
	return min(float64(max(c.reachableVMs, 1))/float64(c.VMs(now)), 1)
}

// StableFor returns for how long the number of reachable VMs has been constant, at most
// since the start.
func (c *SizeEstimate) StableFor(now time.Time) time.Duration {
	return min(now.Sub(c.StartedAt), now.Sub(c.stableSince))
}
