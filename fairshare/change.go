package fairshare

import (
	"math"
	"time"
)

const (
	// recentWindow is the time constant of the demand in which a burst shows first, and
	// usualWindow that of the demand with which it is compared.
	recentWindow = 400 * time.Millisecond
	usualWindow  = 10 * time.Second
	// minDeviations is the number of standard deviations by which the recent demand of a workspace
	// must exceed the usual one to count as a burst.
	minDeviations = 2.0
)

// change compares the recent demand of a workspace with the usual one.
type change struct {
	// recent is the recent demand in the region.
	recent float64
	// excess is what the recent demands of this VM and of the others exceed the usual ones by, the
	// others weighted by the age of their reports. expected is the usual demand by the squares of
	// the weights.
	excess   float64
	expected float64
	// nearRecent and nearMean are the recent demand and the mean of the last seconds on this VM and
	// those that reported last.
	nearRecent float64
	nearMean   float64
}

// add adds the demand on one VM whose report of the given age stands for so many VMs.
func (c *change) add(recent, mean, usual, scale float64, age time.Duration) {
	weight := math.Exp(-age.Seconds() / recentWindow.Seconds())
	c.recent += scale * recent
	c.excess += weight * (recent - usual)
	c.expected += weight * weight * usual
	if age < recentWindow {
		c.nearRecent += recent
		c.nearMean += mean
	}
}

// isSignificant reports whether the excess, up or down, is more than one call, and more than what
// calls that arrive at random make. A call adds perCall to the recent demand.
func (c *change) isSignificant(perCall float64) bool {
	return math.Abs(c.excess) > perCall && c.excess*c.excess > minDeviations*minDeviations*c.expected*perCall
}

// demand returns the demand in the region, given its mean. The mean takes seconds to follow a
// change, and so do the reports of VMs that were not heard lately.
func (c *change) demand(mean, perCall float64) float64 {
	switch {
	case !c.isSignificant(perCall):
		return mean
	case c.excess < 0:
		return min(mean, c.recent)
	case c.nearMean > 0:
		mean *= max(c.nearRecent/c.nearMean, 1)
	}
	return max(mean, c.recent)
}
