package node

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/ticket"
)

// adopted lists the rights that this incarnation holds from others.
func (n *Node) adopted(now time.Time) []membership.Adoption {
	var out []membership.Adoption
	for _, a := range n.desk.Adopted(now) {
		out = append(out, membership.Adoption{
			VM:          a.Of.VM,
			Incarnation: a.Of.Incarnation,
			Until:       a.Until,
		})
	}
	return out
}

// rightsMoved says that rights were adopted by this VM or handed to another,
// so that calls with their tickets find the way from now on.
type rightsMoved struct {
	to     string
	rights []membership.Adoption
	reply  chan<- bool
}

func (m rightsMoved) apply(c *control, now time.Time) {
	if m.to != c.node.settings.VM {
		c.members.SetRights(m.to, m.rights)
	}
	c.publish(now)
	m.reply <- true
}

// publishRights waits until traffic sees where rights have moved.
func (n *Node) publishRights(ctx context.Context, to string, h ticket.HandOver) {
	var rights []membership.Adoption
	for _, r := range h.Rights {
		rights = append(rights, membership.Adoption{
			VM:          r.Of.VM,
			Incarnation: r.Of.Incarnation,
			Until:       r.Until,
		})
	}
	_, _ = ask(ctx, n.control, func(reply chan<- bool) message {
		return rightsMoved{
			to:     to,
			rights: rights,
			reply:  reply,
		}
	})
}
