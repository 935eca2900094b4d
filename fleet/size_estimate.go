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

// PastSize is the largest number of VMs of a region that were known at once, and when that
// was last seen. The zero value says nothing.
type PastSize struct {
	VMs int
	At  time.Time
}

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
func (e *SizeEstimate) Observe(reachable, known int, now time.Time) {
	if reachable != e.reachableVMs {
		e.reachableVMs = reachable
		e.stableSince = now
	}
	if count := max(known, reachable); count >= e.maxVMs || now.Sub(e.maxVMsAt) > departedRetention {
		e.maxVMs = count
		e.maxVMsAt = now
	}
}

// Learn takes over what another VM knew of the region, which this one may not have seen
// since its start. The time is that of the observation, so VMs that tell each other what
// they were told don't renew it.
func (e *SizeEstimate) Learn(s PastSize, now time.Time) {
	if s.VMs < e.maxVMs || s.At.Before(e.maxVMsAt) && s.VMs == e.maxVMs || now.Sub(s.At) > departedRetention {
		return
	}
	e.maxVMs = s.VMs
	e.maxVMsAt = s.At
}

// Past returns the recent maximum, to be told to other VMs.
func (e *SizeEstimate) Past() PastSize {
	return PastSize{
		VMs: e.maxVMs,
		At:  e.maxVMsAt,
	}
}

// VMs returns the estimated number of VMs in the region: the recent maximum.
func (e *SizeEstimate) VMs(now time.Time) int {
	if now.Sub(e.StartedAt) < StartupPeriod {
		return max(e.maxVMs, minVMsAtStart)
	}
	return max(e.maxVMs, 1)
}

// ReachableShare returns the fraction of the region's VMs that this VM reaches. The unreachable
// ones share the rest.
func (e *SizeEstimate) ReachableShare(now time.Time) float64 {
	return min(float64(max(e.reachableVMs, 1))/float64(e.VMs(now)), 1)
}

// StableFor returns for how long the number of reachable VMs has been constant, at most
// since the start.
func (e *SizeEstimate) StableFor(now time.Time) time.Duration {
	return min(now.Sub(e.StartedAt), now.Sub(e.stableSince))
}
