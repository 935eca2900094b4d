package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// heartbeatTimeout bounds one round trip.
const heartbeatTimeout = time.Second

// sendHeartbeat sends a heartbeat to a VM and passes the result to the control
// goroutine.
func (n *Node) sendHeartbeat(ctx context.Context, vm fleet.VM, beat membership.Beat, heldLease uint64) {
	sentAt := n.now()
	heartbeatCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	n.metrics.ControlMessage(metrics.MessageHeartbeat)
	reply, err := n.peers.Heartbeat(heartbeatCtx, vm, &peerpb.HeartbeatRequest{
		Beat:     peer.HeartbeatToProto(beat),
		HeldLoan: heldLease,
	})
	if err != nil {
		n.control.send(ctx, heartbeatMissed{
			vm:      vm.ID,
			refused: errors.Is(err, syscall.ECONNREFUSED),
		})
		return
	}
	n.control.send(ctx, heartbeatAnswered{
		beat:   peer.HeartbeatFromProto(reply.GetBeat()),
		lease:  leaseFromProto(reply.GetLoan()),
		sentAt: sentAt,
	})
}

// heartbeatMissed is a heartbeat without a reply.
type heartbeatMissed struct {
	vm string
	// refused is set if the VM's address refused the connection.
	refused bool
}

func (m heartbeatMissed) apply(c *control, now time.Time) {
	if m.refused {
		c.members.RecordRefused(m.vm, now)
		return
	}
	c.members.RecordMiss(m.vm, now)
}

// heartbeatAnswered is the reply to a heartbeat.
type heartbeatAnswered struct {
	beat   membership.Beat
	lease  membership.Lease
	sentAt time.Time
}

func (m heartbeatAnswered) apply(c *control, now time.Time) {
	c.node.ring.Observe(timeline.Stamp(m.beat.Stamp))
	c.members.HandleBeat(m.beat, m.sentAt, now)
	c.members.AcceptLease(m.beat.VM, m.lease, m.sentAt, now)
	c.pullIfDifferent(m.beat)
}

// heartbeatReceived is a heartbeat sent by a peer.
type heartbeatReceived struct {
	beat      membership.Beat
	heldLease uint64
	reply     chan<- *peerpb.HeartbeatReply
}

func (m heartbeatReceived) apply(c *control, now time.Time) {
	c.node.ring.Observe(timeline.Stamp(m.beat.Stamp))
	c.members.HandleBeat(m.beat, time.Time{}, now)
	c.members.AcknowledgeLease(m.beat.VM, m.heldLease)
	answer := &peerpb.HeartbeatReply{
		Beat: peer.HeartbeatToProto(c.heartbeatFor(c.ownHeartbeat(now), m.beat.Region)),
	}
	if m.beat.Region == c.node.settings.Region {
		answer.Loan = leaseToProto(c.members.GrantLease(m.beat.VM, m.beat.ViewHash, now))
	}
	m.reply <- answer
	c.pullIfDifferent(m.beat)
}

// pullIfDifferent requests a pull from a VM with different documents or a newer fleet
// list.
func (c *control) pullIfDifferent(b membership.Beat) {
	digest := c.store.Digest()
	same := b.DocumentsHash == digest.Hash && b.ListRevision <= digest.ListRevision
	if same || !b.Ready {
		return
	}
	c.node.requestPull(b.VM)
}

func leaseToProto(l membership.Lease) *peerpb.Loan {
	return &peerpb.Loan{
		Id:       l.ID,
		TermMs:   uint32(l.Term.Milliseconds()),
		ViewHash: l.Hash,
		Members:  l.Members,
	}
}

func leaseFromProto(m *peerpb.Loan) membership.Lease {
	return membership.Lease{
		ID:      m.GetId(),
		Term:    time.Duration(m.GetTermMs()) * time.Millisecond,
		Hash:    m.GetViewHash(),
		Members: m.GetMembers(),
	}
}
