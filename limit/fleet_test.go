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
	heartbeatInterval = 100 * time.Millisecond
	leaseTerm         = 3 * heartbeatInterval
	tickInterval      = 10 * time.Millisecond
	linkDelay         = time.Millisecond
	// clockDrift is the difference in clock rate between neighbouring VMs.
	clockDrift = 0.001
)

// variant selects the implementation to simulate: the real one, an alternative, or one with
// a deliberate fault that the checks must detect.
type variant string

const (
	asBuilt variant = "as_built"
	// lendAtOnce lends for every new view without waiting for outstanding leases.
	lendAtOnce variant = "lend_at_once"
	// countFromReceipt measures a lease's term from its arrival instead of from the
	// request.
	countFromReceipt variant = "count_from_receipt"
	// lendAtStart lends from the start of an incarnation.
	lendAtStart variant = "lend_at_start"
	// visibleShare uses the ratio of reachable to listed VMs as the owner's share.
	visibleShare variant = "visible_share"
	// forgetPast refills buckets for time during which the share was not held.
	forgetPast variant = "forget_past"
	// acknowledgeAnyHeartbeat treats any heartbeat as the acknowledgement of every lease.
	acknowledgeAnyHeartbeat variant = "acknowledge_all"
	// oneView is correct as well: it lends for one view at a time, and waits for all
	// leases of the previous view after each change.
	oneView variant = "one_view"
)

// process is one incarnation of a VM in the simulated fleet.
type process struct {
	vm             fleet.VM
	incarnation    uint64
	drift          float64
	offset         time.Duration
	state          *membership.State
	ledger         *limit.Ledger
	view           *membership.View
	resumesAt      time.Duration
	noTrafficUntil time.Duration
	dead           bool
	// lastLease maps each VM to the ID of the last lease granted to it.
	lastLease map[string]uint64
	// changed is set if the view must be published at the next tick.
	changed         bool
	lentView        []string
	lentViewExpires time.Duration
}

// network simulates a fleet with one region of entry VMs in virtual time.
type network struct {
	variant    variant
	policy     string
	now        time.Duration
	queue      events
	sequence   int
	processes  []*process
	linkFaults []linkFault
	list       *fleet.List
	listLag    time.Duration
	terms      contract.RegionLimits
	workspaces []string
	// leases lets VMs that are not the owner admit calls from leases.
	leases bool
	// offered returns the number of calls that a process receives in a tick. If nil, each
	// process receives calls until one is refused.
	offered  func(p *process, workspace string) int
	admitted func(p *process, workspace string, at time.Duration)
}

// linkFault drops all messages in one direction until a given time, or delays them if
// delay is set.
type linkFault struct {
	from, to string
	until    time.Duration
	delay    time.Duration
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
		variant:    v,
		list:       &fleet.List{Revision: 1},
		workspaces: []string{"tee-times", "care-reports"},
		terms: contract.RegionLimits{
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

// start starts a new incarnation of a VM, without stopping the previous one.
func (n *network) start(id string) {
	i := len(n.processes)
	p := &process{
		vm:          listedVM(id),
		incarnation: uint64(1000 + i),
		drift:       clockDrift * float64(i%3-1),
		offset:      clockOffset(i),
		ledger:      limit.New(limit.Options{Policy: n.policy}),
		lastLease:   make(map[string]uint64),
	}
	p.state = membership.New(membership.Options{
		Self:           p.vm,
		Incarnation:    p.incarnation,
		HeartbeatEvery: func(int) time.Duration { return heartbeatInterval },
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

// clockOffset sets every other clock far ahead of the first and the rest slightly behind
// it, so that the next incarnation of a VM may have an earlier clock.
func clockOffset(i int) time.Duration {
	if i%2 == 0 {
		return time.Duration(i) * time.Hour
	}
	return -time.Duration(i) * heartbeatInterval / 2
}

// local returns the time on the process's own clock.
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

// tick handles traffic before the control state, so that a process that resumes late
// admits calls by its outdated state.
func (n *network) tick(p *process) {
	if p.dead {
		return
	}
	n.at(max(n.now+tickInterval, p.resumesAt), func() { n.tick(p) })
	if n.now < p.resumesAt {
		return
	}
	if n.now >= p.noTrafficUntil {
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
	for _, w := range n.workspaces {
		most := 1 << 20
		if n.offered != nil {
			most = n.offered(p, w)
		}
		for range most {
			q := p
			if n.offered != nil && !n.leases {
				q = n.admittingProcess(p, w)
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
