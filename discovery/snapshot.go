package discovery

import "time"

const (
	// snapshotLinkShare is the part of a VM's link that snapshots may take; calls need the
	// rest.
	snapshotLinkShare = 0.5
	// maxSnapshotBacklog bounds how far ahead that part may be spoken for. It is well below
	// the time that a peer waits for a snapshot, as one that is given up on is sent in vain.
	maxSnapshotBacklog = 500 * time.Millisecond
	// defaultLinkBytesPerSecond applies to VMs whose link is not known.
	defaultLinkBytesPerSecond = 2.5e6
)

// SnapshotBudget limits the full snapshots that a VM sends to its peers to what its link
// carries. It answers the start of a whole fleet: all VMs ask the few that are known at
// first, and each that has a snapshot can pass it on, so a VM that refuses most sends the
// others to those who got one before them. SnapshotBudget is not safe for concurrent use.
type SnapshotBudget struct {
	// LinkBytesPerSecond is the speed of the VM's link; zero means unknown.
	LinkBytesPerSecond float64
	// sentAt is when the snapshots accepted so far are sent.
	sentAt time.Time
}

// IsOpen reports whether another snapshot may be sent to a peer. One that holds contents
// already waits until nothing else is being sent.
func (b *SnapshotBudget) IsOpen(holdsContents bool, now time.Time) bool {
	if holdsContents {
		return !b.sentAt.After(now)
	}
	return b.sentAt.Sub(now) <= maxSnapshotBacklog
}

// Add records a snapshot of the given size that is sent now.
func (b *SnapshotBudget) Add(bytes int, now time.Time) {
	rate := b.LinkBytesPerSecond
	if rate <= 0 {
		rate = defaultLinkBytesPerSecond
	}
	if b.sentAt.Before(now) {
		b.sentAt = now
	}
	b.sentAt = b.sentAt.Add(time.Duration(float64(bytes) / (rate * snapshotLinkShare) * float64(time.Second)))
}
