package site

import (
	"time"
)

// keysMayHaveEnded reports whether a key may have been taken away without this VM
// knowing, for longer than the operators allow. Where they allow it for as long as the
// store cannot be read, the last table counts.
func (n *Node) keysMayHaveEnded() bool {
	within := n.bounds.Load().KeysEndWithin
	if within <= 0 {
		return false
	}
	at := n.completeAt.Load()
	return at == 0 || n.now().Sub(time.Unix(0, at)) > within
}

// completeAsOf takes that this VM holds all that the store held at a moment.
func (n *Node) completeAsOf(at time.Time) {
	for {
		known := n.completeAt.Load()
		if at.UnixNano() <= known || n.completeAt.CompareAndSwap(known, at.UnixNano()) {
			return
		}
	}
}

// completeMilli is completeAt as messages tell it.
func (n *Node) completeMilli(now time.Time) uint32 {
	at := n.completeAt.Load()
	if at == 0 {
		return 0
	}
	return uint32(max(now.Sub(time.Unix(0, at)).Milliseconds(), 0)) + 1
}

// heardComplete takes another VM's word: this VM is as complete if it holds as much.
func (c *control) heardComplete(revision uint64, milli uint32, sentAt time.Time) {
	if milli > 0 && c.mirror.Revision() >= revision {
		c.node.completeAsOf(sentAt.Add(-time.Duration(milli-1) * time.Millisecond))
	}
}

// watchWithin bounds one wait for changes of the store: where keys must end soon, the
// word that nothing changed has to come often.
func (n *Node) watchWithin() time.Duration {
	within := n.bounds.Load().KeysEndWithin
	if within <= 0 {
		return watchFor
	}
	return min(watchFor, within/watchesWithin)
}

// watchesWithin is how often the store is heard within the time in which keys end.
const watchesWithin = 4
