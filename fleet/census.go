package fleet

import "time"

const (
	// rememberedFor is how long VMs that are gone count as part of their region: regions
	// may lose a part of their VMs for minutes, which then serve on by themselves.
	rememberedFor = 10 * time.Minute
	// StartsFor is how long after its start a VM may not know yet who else there is, and
	// startVMs how many it takes its region to have at least until then: hundreds may
	// start together and each take itself for the only one.
	StartsFor = 1500 * time.Millisecond
	startVMs  = 16
)

// Census is what one VM knows of how many VMs its region has. A share of something that
// all VMs have together is taken of so many. It is not safe for concurrent use.
type Census struct {
	// StartedAt is when the process of the VM started.
	StartedAt time.Time

	most        int
	mostAt      time.Time
	near        int
	steadySince time.Time
}

// Learn takes how many VMs of the region are in reach, this one included, and how many
// are not known to be gone.
func (c *Census) Learn(near, known int, now time.Time) {
	if near != c.near {
		c.near = near
		c.steadySince = now
	}
	if count := max(known, near); count >= c.most || now.Sub(c.mostAt) > rememberedFor {
		c.most = count
		c.mostAt = now
	}
}

// VMs returns how many VMs the region is taken to have: the most of late.
func (c *Census) VMs(now time.Time) int {
	if now.Sub(c.StartedAt) < StartsFor {
		return max(c.most, startVMs)
	}
	return max(c.most, 1)
}

// Part returns the part of the region's VMs that this VM reaches. Those that it does not
// reach have the rest between them.
func (c *Census) Part(now time.Time) float64 {
	return min(float64(max(c.near, 1))/float64(c.VMs(now)), 1)
}

// SteadyFor returns for how long as many VMs have been in reach, since the start at most.
func (c *Census) SteadyFor(now time.Time) time.Duration {
	return min(now.Sub(c.StartedAt), now.Sub(c.steadySince))
}
