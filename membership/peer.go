package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Beat is a VM's report about itself in a heartbeat. It mirrors peerpb.Beat.
type Beat struct {
	VM                string
	Incarnation       uint64
	Region            string
	Stamp             uint64
	Leaving           bool
	Ready             bool
	ListRevision      uint64
	DocumentsRevision uint64
	DocumentsHash     uint64
	Adopted           []Adoption
	Surplus           []Surplus
	// Load is the number of calls in flight.
	Load     int
	ViewHash uint64
}

// Adoption reports that the beat's VM holds the execution rights of another
// incarnation.
type Adoption struct {
	VM          string
	Incarnation uint64
	Until       time.Time
}

// Surplus is spare capacity for a target that a VM offers on behalf of its region. The
// receiver sets Region and VM.
type Surplus struct {
	Target          string
	Region          string
	VM              string
	TokensPerSecond float64
	Wait            time.Duration
	Until           time.Time
}

func (b *Beat) process() process {
	return process{
		vm:          b.VM,
		incarnation: b.Incarnation,
	}
}

// peer is another listed VM.
type peer struct {
	vm fleet.VM
	// beat is the latest beat of the incarnation that answers at the VM's address.
	beat Beat
	// requestIncarnation is the incarnation that sent the latest request from this VM.
	requestIncarnation uint64
	reachable          bool
	replies            int
	misses             int
	missedAt           time.Time
	// firstHeardAt is when the current incarnation first replied. heardAt is when its
	// latest answered request was sent.
	firstHeardAt  time.Time
	heardAt       time.Time
	roundTrip     time.Duration
	nextHeartbeat time.Time
}

// mayOwn reports whether the VM may own workspaces.
func (p *peer) mayOwn() bool {
	return p.reachable && p.vm.State == fleet.StateLive && !p.beat.Leaving && p.beat.Ready
}

// foundUnreachable reports whether the VM failed to respond, as opposed to never having
// been contacted.
func (p *peer) foundUnreachable() bool {
	return !p.reachable && p.misses >= missesUntilUnreachable
}

func (p *peer) markUnreachable() {
	p.reachable = false
	p.replies = 0
}

// handleRequest processes a beat from the peer's own request. Another incarnation is
// only trusted once it answers at the VM's address, so it is sent a heartbeat soon.
func (p *peer) handleRequest(b Beat, now time.Time, soon time.Duration) {
	p.requestIncarnation = b.Incarnation
	if p.beat.Incarnation == b.Incarnation {
		p.updateBeat(b)
		return
	}
	p.scheduleHeartbeatBy(now.Add(soon))
}

// handleReply processes the reply to a request sent at sentAt.
func (p *peer) handleReply(b Beat, sentAt, now time.Time, soon time.Duration) {
	if p.beat.Incarnation != b.Incarnation {
		if sentAt.Before(p.heardAt) {
			return
		}
		p.markUnreachable()
		p.beat = Beat{}
		p.firstHeardAt = now
	}
	p.updateBeat(b)
	p.misses = 0
	p.replies++
	p.roundTrip = now.Sub(sentAt)
	if sentAt.After(p.heardAt) {
		p.heardAt = sentAt
	}
	if p.replies >= repliesUntilReachable {
		p.reachable = true
		return
	}
	p.scheduleHeartbeatBy(now.Add(soon))
}

// updateBeat stores the beat unless a later one has arrived. Leaving is permanent.
func (p *peer) updateBeat(b Beat) {
	if b.Stamp < p.beat.Stamp {
		return
	}
	b.Leaving = b.Leaving || p.beat.Leaving
	p.beat = b
}

// recordMiss counts a missing reply. Misses at about the same time share a cause and
// count once.
func (p *peer) recordMiss(misses int, now time.Time, soon time.Duration) {
	if misses == 1 && p.misses > 0 && now.Sub(p.missedAt) < soon {
		return
	}
	p.missedAt = now
	p.replies = 0
	p.misses += misses
	if p.misses >= missesUntilUnreachable {
		p.markUnreachable()
		return
	}
	p.scheduleHeartbeatBy(now.Add(soon))
}

func (p *peer) scheduleHeartbeatBy(at time.Time) {
	if at.Before(p.nextHeartbeat) {
		p.nextHeartbeat = at
	}
}

func compareIDs(a, b fleet.VM) int {
	return cmp.Compare(a.ID, b.ID)
}

// rankRemotePeers returns the peers of other regions, sorted by region and then by this
// VM's rank order, which spreads a region's heartbeats over the VMs of another.
func rankRemotePeers(self fleet.VM, vms []fleet.VM, peers map[string]*peer) []*peer {
	var others []*peer
	for _, vm := range entry.Rank(self.ID, vms) {
		if vm.Region != self.Region {
			others = append(others, peers[vm.ID])
		}
	}
	slices.SortStableFunc(others, func(a, b *peer) int { return cmp.Compare(a.vm.Region, b.vm.Region) })
	return others
}
