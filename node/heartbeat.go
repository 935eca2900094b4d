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

// heartbeatWithin bounds one round trip.
const heartbeatWithin = time.Second

// heartbeat makes one round trip to a VM and tells the control goroutine.
func (n *Node) heartbeat(ctx context.Context, vm fleet.VM, beat membership.Beat, heldLoan uint64) {
	sentAt := n.now()
	trip, cancel := context.WithTimeout(ctx, heartbeatWithin)
	defer cancel()
	n.metrics.ControlMessage(metrics.MessageHeartbeat)
	reply, err := n.peers.Heartbeat(trip, vm, &peerpb.HeartbeatRequest{
		Beat:     peer.BeatMessage(beat),
		HeldLoan: heldLoan,
	})
	if err != nil {
		n.control.send(ctx, beatMissed{
			vm:      vm.ID,
			refused: errors.Is(err, syscall.ECONNREFUSED),
		})
		return
	}
	n.control.send(ctx, beatAnswered{
		beat:   peer.BeatFromMessage(reply.GetBeat()),
		loan:   loanFromMessage(reply.GetLoan()),
		sentAt: sentAt,
	})
}

// beatMissed is a heartbeat that was not answered.
type beatMissed struct {
	vm string
	// refused says that the VM's address refused the connection.
	refused bool
}

func (m beatMissed) apply(c *control, now time.Time) {
	if m.refused {
		c.members.Refused(m.vm, now)
		return
	}
	c.members.Missed(m.vm, now)
}

// beatAnswered is a heartbeat's answer.
type beatAnswered struct {
	beat   membership.Beat
	loan   membership.Loan
	sentAt time.Time
}

func (m beatAnswered) apply(c *control, now time.Time) {
	c.node.ring.Witness(timeline.Stamp(m.beat.Stamp))
	c.members.Heard(m.beat, m.sentAt, now)
	c.members.Borrowed(m.beat.VM, m.loan, m.sentAt, now)
	c.compare(m.beat)
}

// beatAsked is a peer's own heartbeat, which wants an answer.
type beatAsked struct {
	beat     membership.Beat
	heldLoan uint64
	reply    chan<- *peerpb.HeartbeatReply
}

func (m beatAsked) apply(c *control, now time.Time) {
	c.node.ring.Witness(timeline.Stamp(m.beat.Stamp))
	c.members.Heard(m.beat, time.Time{}, now)
	c.members.Acknowledge(m.beat.VM, m.heldLoan)
	answer := &peerpb.HeartbeatReply{
		Beat: peer.BeatMessage(c.beatFor(c.beat(now), m.beat.Region)),
	}
	if m.beat.Region == c.node.settings.Region {
		answer.Loan = loanMessage(c.members.Lend(m.beat.VM, m.beat.ViewHash, now))
	}
	m.reply <- answer
	c.compare(m.beat)
}

// compare pulls from a VM that holds other documents or a newer list.
func (c *control) compare(b membership.Beat) {
	digest := c.store.Digest()
	same := b.DocumentsHash == digest.Hash && b.ListRevision <= digest.ListRevision
	if same || !b.Ready {
		return
	}
	c.node.pullSoon(b.VM)
}

func loanMessage(l membership.Loan) *peerpb.Loan {
	return &peerpb.Loan{
		Id:       l.ID,
		TermMs:   uint32(l.Term.Milliseconds()),
		ViewHash: l.Hash,
		Members:  l.Members,
	}
}

func loanFromMessage(m *peerpb.Loan) membership.Loan {
	return membership.Loan{
		ID:      m.GetId(),
		Term:    time.Duration(m.GetTermMs()) * time.Millisecond,
		Hash:    m.GetViewHash(),
		Members: m.GetMembers(),
	}
}
