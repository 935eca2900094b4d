package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/entry"
	"github.com/fuchsianotch/fuchsianotch/fleet"
)

// Beat is what a VM says about itself on a heartbeat. It mirrors peerpb.Beat.
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

// Adoption says that the VM of the beat holds the rights of another incarnation.
type Adoption struct {
	VM          string
	Incarnation uint64
	Until       time.Time
}

// Surplus is capacity for a target that a VM offers on behalf of its region.
// Region and VM are set by the receiver.
type Surplus struct {
	Target          string
	Region          string
	VM              string
	TokensPerSecond float64
	Wait            time.Duration
	Until           time.Time
}

func (b *Beat) holder() holder {
	return holder{
		vm:          b.VM,
		incarnation: b.Incarnation,
	}
}

// peer is one other listed VM.
type peer struct {
	vm fleet.VM
	// beat is the latest beat of the incarnation that answers at the VM's address.
	beat Beat
	// requester is the incarnation that sent the latest request in the VM's name.
	requester uint64
	reachable bool
	replies   int
	misses    int
	missedAt  time.Time
	// firstAt is when the present incarnation was first heard, heardAt the latest time.
	firstAt   time.Time
	heardAt   time.Time
	roundTrip time.Duration
	next      time.Time
}

// takesWork reports whether the VM may own workspaces.
func (p *peer) takesWork() bool {
	return p.reachable && p.vm.State == fleet.StateLive && !p.beat.Leaving && p.beat.Ready
}

// lost reports whether the VM was found out of reach, not just never tried.
func (p *peer) lost() bool {
	return !p.reachable && p.misses >= missesToLose
}

func (p *peer) lose() {
	p.reachable = false
	p.replies = 0
}

// request takes a beat that came with the peer's own request. One of another
// incarnation is a reason to ask, but not yet a proof.
func (p *peer) request(b Beat, now time.Time, soon time.Duration) {
	p.requester = b.Incarnation
	if p.beat.Incarnation == b.Incarnation {
		p.take(b)
		return
	}
	p.hasten(now.Add(soon))
}

// reply takes the answer to a request that was sent at sentAt.
func (p *peer) reply(b Beat, sentAt, now time.Time, soon time.Duration) {
	if p.beat.Incarnation != b.Incarnation {
		if sentAt.Before(p.heardAt) {
			return
		}
		p.lose()
		p.beat = Beat{}
		p.firstAt = now
	}
	p.take(b)
	p.misses = 0
	p.replies++
	p.roundTrip = now.Sub(sentAt)
	if sentAt.After(p.heardAt) {
		p.heardAt = sentAt
	}
	if p.replies >= repliesToReturn {
		p.reachable = true
		return
	}
	p.hasten(now.Add(soon))
}

// take keeps the beat unless it overtook a later one. Leaving is for good.
func (p *peer) take(b Beat) {
	if b.Stamp < p.beat.Stamp {
		return
	}
	b.Leaving = b.Leaving || p.beat.Leaving
	p.beat = b
}

// miss counts an answer that did not come. Several at about the same time have
// one cause and count as one.
func (p *peer) miss(misses int, now time.Time, soon time.Duration) {
	if misses == 1 && p.misses > 0 && now.Sub(p.missedAt) < soon {
		return
	}
	p.missedAt = now
	p.replies = 0
	p.misses += misses
	if p.misses >= missesToLose {
		p.lose()
		return
	}
	p.hasten(now.Add(soon))
}

func (p *peer) hasten(at time.Time) {
	if at.Before(p.next) {
		p.next = at
	}
}

func compareIDs(a, b fleet.VM) int {
	return cmp.Compare(a.ID, b.ID)
}

// rankOthers returns the peers of other regions, region by region, each in this
// VM's rank order, so that the VMs of one region ask different ones of another.
func rankOthers(self fleet.VM, vms []fleet.VM, peers map[string]*peer) []*peer {
	var others []*peer
	for _, vm := range entry.Rank(self.ID, vms) {
		if vm.Region != self.Region {
			others = append(others, peers[vm.ID])
		}
	}
	slices.SortStableFunc(others, func(a, b *peer) int { return cmp.Compare(a.vm.Region, b.vm.Region) })
	return others
}
