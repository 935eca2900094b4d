package limit_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/membership"
)

// renew asks the owner, as the process sees it, for a lease.
func (n *network) renew(p *process, workspace string) {
	owner, ok := p.view.Owner(workspace)
	if !ok || owner.ID == p.vm.ID {
		return
	}
	sentAt := p.local(n.now)
	want, unused, ask := p.ledger.Want(workspace, n.terms, sentAt)
	if !ask {
		return
	}
	n.send(p, owner.ID, func(q *process) {
		r := n.request(q, workspace)
		r.From = p.vm.ID
		granted, refusal := q.ledger.Grant(r, want, unused, q.local(n.now))
		if refusal != nil {
			return
		}
		n.sendBack(q, p, func() {
			p.ledger.AddLease(workspace, granted, sentAt.Add(limit.LeaseTerm))
		})
	})
}

func (n *network) request(p *process, workspace string) limit.Request {
	now := p.local(n.now)
	held := n.hold(p, workspace, now)
	owner, _ := p.view.Owner(workspace)
	return limit.Request{
		Workspace: workspace,
		Terms:     n.terms,
		Share:     held.Share,
		Since:     held.Since,
		Base:      held.Base,
		BaseSince: held.BaseSince,
		VMs:       len(n.list.VMs),
		Owner:     owner.ID == p.vm.ID,
		Cost: limit.Amounts{
			Requests: 1,
			Tokens:   20,
		},
	}
}

// hold returns the share as the variant sees it.
func (n *network) hold(p *process, workspace string, now time.Time) membership.Holding {
	held := p.view.Hold(workspace, now)
	switch n.variant {
	case visibleShare:
		held = membership.Holding{}
		if owner, ok := p.view.Owner(workspace); ok && owner.ID == p.vm.ID && p.view.LendsFrom.Before(now) {
			held.Share = float64(len(p.view.Entries(workspace))) / float64(p.view.VMs)
			held.Since = time.Unix(0, 0)
		}
	case forgetPast:
		held.Base = held.Share
		held.Since = time.Unix(0, 0)
		held.BaseSince = held.Since
	}
	return held
}

func (n *network) heartbeat(p *process, to string) {
	sentAt := p.local(n.now)
	beat := p.state.Beat(sentAt)
	held := p.state.HeldLoan(to)
	answered := false
	n.send(p, to, func(q *process) {
		now := q.local(n.now)
		q.state.Heard(beat, time.Time{}, now)
		n.acknowledge(q, p.vm.ID, held)
		loan := n.lend(q, p.vm.ID, beat.ViewHash, now)
		q.lastLoan[p.vm.ID] = loan.ID
		reply := q.state.Beat(now)
		q.changed = true
		n.sendBack(q, p, func() {
			answered = true
			n.replied(p, to, reply, loan, sentAt)
		})
	})
	n.deliver(p, n.now+beatEvery, func() {
		if !answered {
			p.state.Missed(to, p.local(n.now))
			p.changed = true
		}
	})
}

func (n *network) acknowledge(q *process, from string, held uint64) {
	if n.variant == acknowledgeAll {
		// A number that was never given acknowledges nothing.
		q.state.Acknowledge(from, q.lastLoan[from])
		held = q.lastLoan[from] + 1
	}
	q.state.Acknowledge(from, held)
}

func (n *network) replied(p *process, from string, reply membership.Beat, loan membership.Loan, sentAt time.Time) {
	now := p.local(n.now)
	if n.variant == countFromReceipt {
		sentAt = now
	}
	p.state.Heard(reply, sentAt, now)
	p.state.Borrowed(from, loan, sentAt, now)
	p.changed = true
}

func (n *network) lend(q *process, to string, theirHash uint64, now time.Time) membership.Loan {
	switch n.variant {
	case lendAtOnce:
		ids := viewIDs(q.view)
		if !slices.Contains(ids, to) || q.view.LendsFrom.After(now) {
			return membership.Loan{}
		}
		return membership.Loan{
			Term:    leaseTerm,
			Members: ids,
		}
	case oneView:
		ids := viewIDs(q.view)
		if !slices.Equal(ids, q.oldView) {
			if n.now < q.oldViewEnds {
				return membership.Loan{}
			}
			q.oldView = ids
		}
		q.oldViewEnds = n.now + leaseTerm + leaseTerm/50
		return q.state.Lend(to, theirHash, now)
	default:
		return q.state.Lend(to, theirHash, now)
	}
}

func viewIDs(v *membership.View) []string {
	var ids []string
	for _, vm := range v.Entries("any") {
		ids = append(ids, vm.ID)
	}
	slices.Sort(ids)
	return ids
}

// send delivers to the latest process of a VM that the way is open to.
func (n *network) send(from *process, to string, receive func(q *process)) {
	for _, q := range slices.Backward(n.processes) {
		if q.vm.ID != to || q.dead {
			continue
		}
		if delay, ok := n.way(from, q); ok {
			n.deliver(q, n.now+delay, func() { receive(q) })
			return
		}
	}
}

func (n *network) sendBack(from, to *process, receive func()) {
	if delay, ok := n.way(from, to); ok {
		n.deliver(to, n.now+delay, receive)
	}
}

// deliver runs something at a process, once it is not frozen.
func (n *network) deliver(q *process, at time.Duration, receive func()) {
	n.at(at, func() {
		switch {
		case q.dead:
		case n.now < q.thawsAt:
			// Every other process reads its messages after its first tick.
			n.deliver(q, q.thawsAt+time.Duration(q.incarnation%2)*2*tickEvery, receive)
		default:
			receive()
		}
	})
}

// way returns the delay from one process to another; ok is false when it is cut.
// A process is named by its VM, one that was replaced by its VM and "'".
func (n *network) way(from, to *process) (delay time.Duration, ok bool) {
	delay = oneWay
	for _, c := range n.cuts {
		if n.now >= c.until || c.from != n.label(from) || c.to != n.label(to) {
			continue
		}
		if c.slow == 0 {
			return 0, false
		}
		delay = max(delay, c.slow)
	}
	return delay, true
}

func (n *network) label(p *process) string {
	for _, q := range slices.Backward(n.processes) {
		if q.vm.ID == p.vm.ID {
			if q == p {
				return p.vm.ID
			}
			return p.vm.ID + "'"
		}
	}
	return ""
}

// process returns the latest life of a VM's process, or nil.
func (n *network) process(id string) *process {
	for _, p := range slices.Backward(n.processes) {
		if p.vm.ID == id {
			return p
		}
	}
	return nil
}

// publish sends a new list to every process, to the i-th after i parts of the lag.
func (n *network) publish(vms []fleet.VM) {
	list := &fleet.List{
		Revision: n.list.Revision + 1,
		VMs:      vms,
	}
	n.list = list
	for i, p := range n.processes {
		lag := n.lag * time.Duration(i) / time.Duration(len(n.processes))
		n.deliver(p, n.now+lag, func() {
			p.state.SetList(list, p.local(n.now))
			p.changed = true
		})
	}
}

// shares returns the sum of the shares of a workspace over all running processes.
func (n *network) shares(workspace string) float64 {
	sum := 0.0
	for _, p := range n.processes {
		if !p.dead && n.now >= p.thawsAt {
			sum += n.hold(p, workspace, p.local(n.now)).Share
		}
	}
	return sum
}

func (n *network) describe(workspace string) string {
	out := ""
	for _, p := range n.processes {
		out += fmt.Sprintf(" %s=%.3f", n.label(p), n.hold(p, workspace, p.local(n.now)).Share)
	}
	return out
}
