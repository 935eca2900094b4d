package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fuchsianotch/fuchsianotch/configuration"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// replyBytes bounds the documents in one reply to a peer.
const replyBytes = 4 << 20

// heldAsked asks for what the store holds.
type heldAsked struct {
	reply chan<- []configuration.Held
}

func (m heldAsked) apply(c *control, _ time.Time) {
	m.reply <- c.store.Held()
}

// newerAsked asks for what a peer lacks.
type newerAsked struct {
	in    *peerpb.DocumentsRequest
	reply chan<- *peerpb.DocumentsReply
}

func (m newerAsked) apply(c *control, _ time.Time) {
	reply := &peerpb.DocumentsReply{
		Stamp: uint64(c.node.ring.Stamp()),
	}
	for _, d := range configuration.Page(c.lackedBy(m.in), replyBytes) {
		reply.Documents = append(reply.Documents, &peerpb.Document{
			Key:      d.Key,
			Revision: d.Revision,
			Value:    d.Value,
			Refused:  d.Refused,
		})
	}
	if list := c.store.Snapshot().List; list != nil && list.Revision > m.in.GetListRevision() {
		reply.List, _ = json.Marshal(list)
	}
	m.reply <- reply
}

func (c *control) lackedBy(in *peerpb.DocumentsRequest) []configuration.Document {
	if in.GetDocumentsHash() == c.store.Digest().Hash {
		return nil
	}
	if len(in.GetHeld()) > 0 {
		return c.store.Newer(heldFromMessage(in.GetHeld()))
	}
	var out []configuration.Document
	for _, d := range c.store.Newer(nil) {
		if d.Revision > in.GetAfterRevision() {
			out = append(out, d)
		}
	}
	return out
}

func heldFromMessage(held []*peerpb.Held) []configuration.Held {
	out := make([]configuration.Held, 0, len(held))
	for _, h := range held {
		out = append(out, configuration.Held{
			Key:      h.GetKey(),
			Revision: h.GetRevision(),
		})
	}
	return out
}

// documents answers a peer, at once if it lacks anything, else when something
// new comes or its wait is over.
func (n *Node) documents(ctx context.Context, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error) {
	until := peer.FromUnixMilli(in.GetWaitUntilUnixMs())
	for {
		next := n.control.published.Load().next
		reply, err := ask(ctx, n.control, func(reply chan<- *peerpb.DocumentsReply) message {
			return newerAsked{
				in:    in,
				reply: reply,
			}
		})
		if err != nil || len(reply.GetDocuments()) > 0 || len(reply.GetList()) > 0 || !n.now().Before(until) {
			return reply, err
		}
		n.awaitNext(ctx, next, until)
	}
}

func (n *Node) awaitNext(ctx context.Context, next <-chan struct{}, until time.Time) {
	timer := time.NewTimer(until.Sub(n.now()))
	defer timer.Stop()
	select {
	case <-next:
	case <-timer.C:
	case <-ctx.Done():
	}
}
