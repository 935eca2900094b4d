package site

import (
	"math/bits"
	"time"

	"github.com/fuchsianotch/fuchsianotch/discovery"
)

// currentViewAge is the age up to which a view of the store counts as current: changes take as
// long to reach the VMs.
const currentViewAge = requestDelay

// isViewTooOld reports whether this VM has gone without confirmation for longer than one in touch
// with the store does: a watch without changes, the exchanges that pass its end on in the region,
// each of which doubles the VMs that know it, and the ways between.
func (n *Node) isViewTooOld() bool {
	vms := len(n.control.snapshot().members.ReachableVMs(n.deployment.Region))
	exchanges := 1 + bits.Len(uint(max(vms, 1)))
	return n.viewAge() > maxWatchTimeout+time.Duration(exchanges)*gossipInterval+requestDelay
}

// viewAge returns the time since which changes of the store may be unknown to this VM. It exceeds
// all bounds while the VM has not read the store.
func (n *Node) viewAge() time.Duration {
	return n.now().Sub(time.Unix(0, n.freshAsOf.Load()))
}

// keysTooStale reports whether this VM has gone without confirmation from the store for
// longer than operators allow for the revocation of a key. Without such a bound the last
// table stays valid.
func (n *Node) keysTooStale() bool {
	bound := n.bounds.Load().KeyRevocationTimeout
	if bound <= 0 {
		return false
	}
	at := n.freshAsOf.Load()
	return at == 0 || n.now().Sub(time.Unix(0, at)) > bound
}

// advanceFreshness records that this VM holds everything the store held at the given
// time. The recorded time never goes back.
func (n *Node) advanceFreshness(at time.Time) {
	for {
		current := n.freshAsOf.Load()
		if at.UnixNano() <= current || n.freshAsOf.CompareAndSwap(current, at.UnixNano()) {
			return
		}
	}
}

// freshnessAgeMs returns the age of freshAsOf plus one millisecond, as encoded in
// messages; zero means unknown.
func (n *Node) freshnessAgeMs(now time.Time) uint32 {
	at := n.freshAsOf.Load()
	if at == 0 {
		return 0
	}
	return uint32(max(now.Sub(time.Unix(0, at)).Milliseconds(), 0)) + 1
}

// applyPeerFreshness adopts the freshness of a peer if this VM is at least at the peer's
// position.
func (c *control) applyPeerFreshness(position discovery.Position, ageMs uint32, sentAt time.Time) {
	if ageMs > 0 && !position.IsAfter(c.mirror.Position()) {
		c.node.advanceFreshness(sentAt.Add(-time.Duration(ageMs-1) * time.Millisecond))
	}
}

// watchTimeout bounds one wait for store changes. A bound on key revocation shortens it,
// so that the absence of changes is confirmed often enough.
func (n *Node) watchTimeout() time.Duration {
	bound := n.bounds.Load().KeyRevocationTimeout
	if bound <= 0 {
		return maxWatchTimeout
	}
	return min(maxWatchTimeout, bound/watchesPerKeyBound)
}

// watchesPerKeyBound is the least number of watches within the bound on key revocation.
const watchesPerKeyBound = 4
