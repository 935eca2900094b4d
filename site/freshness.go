package site

import (
	"time"
)

// keysMayHaveEnded reports whether a key may have been taken away without this VM
// knowing, for longer than the operators allow. Where they allow it for as long as the
// store cannot be read, the last table counts.
func (n *Node) keysTooStale() bool {
	bound := n.bounds.Load().KeysEndWithin
	if bound <= 0 {
		return false
	}
	at := n.freshAsOf.Load()
	return at == 0 || n.now().Sub(time.Unix(0, at)) > bound
}

// completeAsOf takes that this VM holds all that the store held at a moment.
func (n *Node) advanceFreshness(at time.Time) {
	for {
		current := n.freshAsOf.Load()
		if at.UnixNano() <= current || n.freshAsOf.CompareAndSwap(current, at.UnixNano()) {
			return
		}
	}
}

// completeMilli is completeAt as messages tell it.
func (n *Node) freshnessAgeMs(now time.Time) uint32 {
	at := n.freshAsOf.Load()
	if at == 0 {
		return 0
	}
	return uint32(max(now.Sub(time.Unix(0, at)).Milliseconds(), 0)) + 1
}

// heardComplete takes another VM's word: this VM is as complete if it holds as much.
func (c *control) applyPeerFreshness(revision uint64, ageMs uint32, sentAt time.Time) {
	if ageMs > 0 && c.mirror.Revision() >= revision {
		c.node.advanceFreshness(sentAt.Add(-time.Duration(ageMs-1) * time.Millisecond))
	}
}

// watchWithin bounds one wait for changes of the store: where keys must end soon, the
// word that nothing changed has to come often.
func (n *Node) watchTimeout() time.Duration {
	bound := n.bounds.Load().KeysEndWithin
	if bound <= 0 {
		return maxWatchTimeout
	}
	return min(maxWatchTimeout, bound/watchesPerKeyBound)
}

// watchesWithin is how often the store is heard within the time in which keys end.
const watchesPerKeyBound = 4
