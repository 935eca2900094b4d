package limit_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/limit"
	"github.com/fuchsianotch/fuchsianotch/membership"
)

// renew requests a lease from the owner in the process's view.
func (n *network) renew(p *process, workspace string) {
	owner, ok := p.view.Owner(workspace)
	if !ok || owner.ID == p.vm.ID {
		return
	}
	sentAt := p.local(n.now)
	want, unused, ask := p.ledger.LeaseRequest(workspace, n.terms, sentAt)
	if !ask {
		return
	}
	n.send(p, owner.ID, func(q *process) {
		r := n.request(q, workspace)
		r.Borrower = p.vm.ID
		granted, refusal := q.ledger.Grant(r, want, unused, q.local(n.now))
		if refusal != nil {
			return
		}
		n.reply(q, p, func() {
			p.ledger.AddLease(workspace, granted, sentAt.Add(limit.LeaseTerm))
		})
	})
}

func (n *network) request(p *process, workspace string) limit.Request {
	now := p.local(n.now)
	held := n.holding(p, workspace, now)
	owner, _ := p.view.Owner(workspace)
	return limit.Request{
		Workspace:          workspace,
		Terms:              n.terms,
		Share:              held.Share,
		ShareSince:         held.Since,
		PreviousShare:      held.Base,
		PreviousShareSince: held.BaseSince,
		VMs:                len(n.list.VMs),
		Owner:              owner.ID == p.vm.ID,
		Cost: limit.Amounts{
			Requests: 1,
			Tokens:   20,
		},
	}
}

// holding returns the process's share as computed by the variant.
func (n *network) holding(p *process, workspace string, now time.Time) membership.ShareHistory {
	held := p.view.ShareHistory(workspace, now)
	switch n.variant {
	case visibleShare:
		held = membership.ShareHistory{}
		if owner, ok := p.view.Owner(workspace); ok && owner.ID == p.vm.ID && p.view.GrantsFrom.Before(now) {
			held.Share = float64(len(p.view.OwnersByRank(workspace))) / float64(p.view.VMs)
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
	held := p.state.HeldLeaseID(to)
	answered := false
	n.send(p, to, func(q *process) {
		now := q.local(n.now)
		q.state.HandleBeat(beat, time.Time{}, now)
		n.acknowledge(q, p.vm.ID, held)
		lease := n.lend(q, p.vm.ID, beat.ViewHash, now)
		q.lastLease[p.vm.ID] = lease.ID
		reply := q.state.Beat(now)
		q.changed = true
		n.reply(q, p, func() {
			answered = true
			n.receiveReply(p, to, reply, lease, sentAt)
		})
	})
	n.deliver(p, n.now+heartbeatInterval, func() {
		if !answered {
			p.state.RecordMiss(to, p.local(n.now))
			p.changed = true
		}
	})
}

func (n *network) acknowledge(q *process, from string, held uint64) {
	if n.variant == acknowledgeAnyHeartbeat {
		q.state.AcknowledgeLease(from, q.lastLease[from])
		// A lease ID that was never issued acknowledges nothing.
		held = q.lastLease[from] + 1
	}
	q.state.AcknowledgeLease(from, held)
}

func (n *network) receiveReply(p *process, from string, reply membership.Beat, lease membership.Lease, sentAt time.Time) {
	now := p.local(n.now)
	if n.variant == countFromReceipt {
		sentAt = now
	}
	p.state.HandleBeat(reply, sentAt, now)
	p.state.AcceptLease(from, lease, sentAt, now)
	p.changed = true
}

func (n *network) lend(q *process, to string, theirHash uint64, now time.Time) membership.Lease {
	switch n.variant {
	case lendAtOnce:
		ids := viewIDs(q.view)
		if !slices.Contains(ids, to) || q.view.GrantsFrom.After(now) {
			return membership.Lease{}
		}
		return membership.Lease{
			Term:    leaseTerm,
			Members: ids,
		}
	case oneView:
		ids := viewIDs(q.view)
		if !slices.Equal(ids, q.lentView) {
			if n.now < q.lentViewExpires {
				return membership.Lease{}
			}
			q.lentView = ids
		}
		q.lentViewExpires = n.now + leaseTerm + leaseTerm/50
		return q.state.GrantLease(to, theirHash, now)
	default:
		return q.state.GrantLease(to, theirHash, now)
	}
}

func viewIDs(v *membership.View) []string {
	var ids []string
	for _, vm := range v.OwnersByRank("any") {
		ids = append(ids, vm.ID)
	}
	slices.Sort(ids)
	return ids
}

// send delivers a message to the latest reachable incarnation of a VM.
func (n *network) send(from *process, to string, receive func(q *process)) {
	for _, q := range slices.Backward(n.processes) {
		if q.vm.ID != to || q.dead {
			continue
		}
		if delay, ok := n.link(from, q); ok {
			n.deliver(q, n.now+delay, func() { receive(q) })
			return
		}
	}
}

func (n *network) reply(from, to *process, receive func()) {
	if delay, ok := n.link(from, to); ok {
		n.deliver(to, n.now+delay, receive)
	}
}

// deliver runs receive on a process, delayed while the process is paused.
func (n *network) deliver(q *process, at time.Duration, receive func()) {
	n.at(at, func() {
		switch {
		case q.dead:
		case n.now < q.resumesAt:
			// Every other process reads its messages after its first tick.
			n.deliver(q, q.resumesAt+time.Duration(q.incarnation%2)*2*tickInterval, receive)
		default:
			receive()
		}
	})
}

// link returns the delay from one process to another; ok is false if messages are dropped.
// Link faults name the latest process of a VM by its ID, and earlier ones by the ID with
// "'" appended.
func (n *network) link(from, to *process) (delay time.Duration, ok bool) {
	delay = linkDelay
	for _, c := range n.linkFaults {
		if n.now >= c.until || c.from != n.label(from) || c.to != n.label(to) {
			continue
		}
		if c.delay == 0 {
			return 0, false
		}
		delay = max(delay, c.delay)
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

// process returns the latest incarnation of a VM, or nil.
func (n *network) process(id string) *process {
	for _, p := range slices.Backward(n.processes) {
		if p.vm.ID == id {
			return p
		}
	}
	return nil
}

// publish sends a new list to every process, spread evenly over the list lag.
func (n *network) publish(vms []fleet.VM) {
	list := &fleet.List{
		Revision: n.list.Revision + 1,
		VMs:      vms,
	}
	n.list = list
	for i, p := range n.processes {
		lag := n.listLag * time.Duration(i) / time.Duration(len(n.processes))
		n.deliver(p, n.now+lag, func() {
			p.state.SetList(list, p.local(n.now))
			p.changed = true
		})
	}
}

// totalShare returns the sum of the shares of a workspace over all running processes.
func (n *network) totalShare(workspace string) float64 {
	sum := 0.0
	for _, p := range n.processes {
		if !p.dead && n.now >= p.resumesAt {
			sum += n.holding(p, workspace, p.local(n.now)).Share
		}
	}
	return sum
}

func (n *network) formatShares(workspace string) string {
	out := ""
	for _, p := range n.processes {
		out += fmt.Sprintf(" %s=%.3f", n.label(p), n.holding(p, workspace, p.local(n.now)).Share)
	}
	return out
}
