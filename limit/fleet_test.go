package limit_test

import (
	"container/heap"
	"time"

	"github.com/fuchsianotch/fuchsianotch/contract"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/membership"
)

const (
	beatEvery = 100 * time.Millisecond
	leaseTerm = 3 * beatEvery
	tickEvery = 10 * time.Millisecond
	oneWay    = time.Millisecond
	// driftStep is by how much the clocks of neighbouring VMs differ in rate.
	driftStep = 0.001
)

// variant is a way to run the fleet: the real one, or one that is broken on purpose.
type variant string

const (
	asBuilt variant = "as_built"
	// lendAtOnce lends for every new view without regard to loans that are out.
	lendAtOnce variant = "lend_at_once"
	// countFromReceipt counts a loan from its arrival, not from the request.
	countFromReceipt variant = "count_from_receipt"
	// lendAtStart lends from the first moment of an incarnation.
	lendAtStart variant = "lend_at_start"
	// visibleShare takes reachable over listed VMs as the owner's share.
	visibleShare variant = "visible_share"
	// forgetPast fills buckets for time in which the share was not held.
	forgetPast variant = "forget_past"
	// acknowledgeAll takes any heartbeat for the acknowledgement of every loan.
	acknowledgeAll variant = "acknowledge_all"
	// oneView is not broken: it lends for one view at a time, and waits for all
	// loans of the earlier view whenever the view changes.
	oneView variant = "one_view"
)

// process is one life of a VM's process in the fake fleet.
type process struct {
	vm          fleet.VM
	incarnation uint64
	drift       float64
	offset      time.Duration
	state       *membership.State
	ledger      *limit.Ledger
	view        *membership.View
	thawsAt     time.Duration
	quietUntil  time.Duration
	dead        bool
	// lastLoan are the numbers of the last loans given to each VM.
	lastLoan map[string]uint64
	// changed says that the view is to be published at the next tick.
	changed     bool
	oldView     []string
	oldViewEnds time.Duration
}

// network is a fake fleet on a fake clock with one region of entry VMs.
type network struct {
	variant   variant
	policy    string
	now       time.Duration
	queue     events
	sequence  int
	processes []*process
	cuts      []cut
	list      *fleet.List
	lag       time.Duration
	terms     contract.RegionTerms
	names     []string
	// leases lets VMs that are not owners admit by leases.
	leases bool
	// offered is the number of calls that each process is asked for in a tick; zero means all it admits.
	offered  func(p *process, workspace string) int
	admitted func(p *process, workspace string, at time.Duration)
}

// cut loses all messages one way until a time, or delays them when slow is set.
type cut struct {
	from, to string
	until    time.Duration
	slow     time.Duration
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func newNetwork(v variant, vms int) *network {
	n := &network{
		variant: v,
		list:    &fleet.List{Revision: 1},
		names:   []string{"tee-times", "care-reports"},
		terms: contract.RegionTerms{
			RequestsPerSecond: 100,
			TokensPerSecond:   2000,
		},
	}
	for i := range vms {
		n.list.VMs = append(n.list.VMs, listedVM(vmName(i)))
	}
	for _, vm := range n.list.VMs {
		n.start(vm.ID)
	}
	return n
}

func vmName(i int) string {
	return string(rune('a' + i))
}

func listedVM(id string) fleet.VM {
	return fleet.VM{
		ID:       id,
		Region:   "home",
		PeerAddr: id,
		State:    fleet.StateLive,
	}
}

// start begins a new life of a VM's process, beside any earlier one.
func (n *network) start(id string) {
	i := len(n.processes)
	p := &process{
		vm:          listedVM(id),
		incarnation: uint64(1000 + i),
		drift:       driftStep * float64(i%3-1),
		offset:      clockOffset(i),
		ledger:      limit.New(limit.Options{Policy: n.policy}),
		lastLoan:    make(map[string]uint64),
	}
	p.state = membership.New(membership.Options{
		Self:           p.vm,
		Incarnation:    p.incarnation,
		HeartbeatEvery: func(int) time.Duration { return beatEvery },
		LeaseTerm:      func(int) time.Duration { return leaseTerm },
	})
	n.processes = append(n.processes, p)
	listed := p.local(n.now)
	if n.variant == lendAtStart {
		listed = listed.Add(-3 * leaseTerm)
		for at := listed; at.Before(p.local(n.now)); at = at.Add(leaseTerm / 2) {
			p.state.SetList(n.list, at)
		}
	}
	p.state.SetList(n.list, listed)
	p.view = p.state.View(p.local(n.now))
	n.at(n.now+time.Duration(i)*time.Millisecond, func() { n.tick(p) })
}

// clockOffset sets every other clock far ahead of the first, and the rest a
// little behind it, so that a VM's next life may have the earlier clock.
func clockOffset(i int) time.Duration {
	if i%2 == 0 {
		return time.Duration(i) * time.Hour
	}
	return -time.Duration(i) * beatEvery / 2
}

// local returns the process's own clock reading.
func (p *process) local(now time.Duration) time.Time {
	return time.Unix(1e9, 0).Add(p.offset + now + time.Duration(float64(now)*p.drift))
}

func (n *network) at(at time.Duration, run func()) {
	n.sequence++
	heap.Push(&n.queue, event{
		at:       at,
		sequence: n.sequence,
		run:      run,
	})
}

func (n *network) run(until time.Duration) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
	}
	n.now = until
}

// tick runs a process's traffic, then its control state: one that woke late
// admits by what it last knew.
func (n *network) tick(p *process) {
	if p.dead {
		return
	}
	n.at(max(n.now+tickEvery, p.thawsAt), func() { n.tick(p) })
	if n.now < p.thawsAt {
		return
	}
	if n.now >= p.quietUntil {
		n.traffic(p)
	}
	now := p.local(n.now)
	for _, vm := range p.state.Due(now) {
		n.heartbeat(p, vm.ID)
		p.changed = true
	}
	if p.changed {
		p.view = p.state.View(now)
		p.changed = false
	}
}

func (n *network) traffic(p *process) {
	for _, w := range n.names {
		most := 1 << 20
		if n.offered != nil {
			most = n.offered(p, w)
		}
		for range most {
			q := p
			if n.offered != nil && !n.leases {
				q = n.target(p, w)
			}
			_, refusal := q.ledger.Take(n.request(q, w), q.local(n.now))
			if refusal == nil {
				n.admitted(q, w, n.now)
			} else if n.offered == nil {
				break
			}
		}
		if n.leases {
			n.renew(p, w)
		}
	}
}
