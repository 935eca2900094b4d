package node

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/membership"
	"github.com/fuchsianotch/fuchsianotch/ticket"
)

// adoptedRights returns the ticket rights that this VM took over from other
// incarnations.
func (n *Node) adoptedRights(now time.Time) []membership.Adoption {
	var out []membership.Adoption
	for _, a := range n.ticketRegistry.Takeovers(now) {
		out = append(out, membership.Adoption{
			VM:          a.Issuer.VM,
			Incarnation: a.Issuer.Incarnation,
			Until:       a.ExpiresAt,
		})
	}
	return out
}

// rightsTransferred records the new holder of ticket rights, so that calls with their
// tickets are routed to it.
type rightsTransferred struct {
	to     string
	rights []membership.Adoption
	reply  chan<- bool
}

func (m rightsTransferred) apply(c *control, now time.Time) {
	if m.to != c.node.settings.VM {
		c.members.SetAdoptedRights(m.to, m.rights)
	}
	c.publish(now)
	m.reply <- true
}

// publishRights publishes the new holder of ticket rights and waits until request
// goroutines see it.
func (n *Node) publishRights(ctx context.Context, to string, h ticket.HandOver) {
	var rights []membership.Adoption
	for _, r := range h.Rights {
		rights = append(rights, membership.Adoption{
			VM:          r.Issuer.VM,
			Incarnation: r.Issuer.Incarnation,
			Until:       r.ExpiresAt,
		})
	}
	_, _ = ask(ctx, n.control, func(reply chan<- bool) message {
		return rightsTransferred{
			to:     to,
			rights: rights,
			reply:  reply,
		}
	})
}
