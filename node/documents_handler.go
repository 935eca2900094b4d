package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fuchsianotch/fuchsianotch/configuration"
	"github.com/fuchsianotch/fuchsianotch/peer"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// maxReplyBytes bounds the documents in one reply.
const maxReplyBytes = 4 << 20

// heldRequested requests the keys and revisions in the store.
type heldRequested struct {
	reply chan<- []configuration.Held
}

func (m heldRequested) apply(c *control, _ time.Time) {
	m.reply <- c.store.Held()
}

// missingRequested requests the documents and list that a peer lacks.
type missingRequested struct {
	in    *peerpb.DocumentsRequest
	reply chan<- *peerpb.DocumentsReply
}

func (m missingRequested) apply(c *control, _ time.Time) {
	reply := &peerpb.DocumentsReply{
		Stamp: uint64(c.node.ring.Stamp()),
	}
	for _, d := range configuration.Page(c.documentsMissing(m.in), maxReplyBytes) {
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

func (c *control) documentsMissing(in *peerpb.DocumentsRequest) []configuration.Document {
	if in.GetDocumentsHash() == c.store.Digest().Hash {
		return nil
	}
	if len(in.GetHeld()) > 0 {
		return c.store.Newer(heldFromProto(in.GetHeld()))
	}
	var out []configuration.Document
	for _, d := range c.store.Newer(nil) {
		if d.Revision > in.GetAfterRevision() {
			out = append(out, d)
		}
	}
	return out
}

func heldFromProto(held []*peerpb.Held) []configuration.Held {
	out := make([]configuration.Held, 0, len(held))
	for _, h := range held {
		out = append(out, configuration.Held{
			Key:      h.GetKey(),
			Revision: h.GetRevision(),
		})
	}
	return out
}

// handleDocuments returns the documents that a peer lacks. If there are none, it waits
// for a change until the requested deadline.
func (n *Node) handleDocuments(ctx context.Context, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error) {
	until := peer.FromUnixMilli(in.GetWaitUntilUnixMs())
	for {
		next := n.control.published.Load().changed
		reply, err := ask(ctx, n.control, func(reply chan<- *peerpb.DocumentsReply) message {
			return missingRequested{
				in:    in,
				reply: reply,
			}
		})
		if err != nil || len(reply.GetDocuments()) > 0 || len(reply.GetList()) > 0 || !n.now().Before(until) {
			return reply, err
		}
		n.awaitChange(ctx, next, until)
	}
}

func (n *Node) awaitChange(ctx context.Context, next <-chan struct{}, until time.Time) {
	timer := time.NewTimer(until.Sub(n.now()))
	defer timer.Stop()
	select {
	case <-next:
	case <-timer.C:
	case <-ctx.Done():
	}
}
