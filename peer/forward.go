package peer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// errNoAnswer marks an end that says done after no answer.
var errNoAnswer = errors.New("the call is said to be done, and no answer came")

// Forward runs a call on another VM. A VM that was not reached gives
// PeerUnreachable, of class not run; one lost later gives PeerLost.
func (c *Client) Forward(ctx context.Context, vm fleet.VM, in *peerpb.ForwardRequest, sink call.Sink, witness func(uint64)) call.Outcome {
	in.SentUs = c.options.Transit.stamp()
	stream, err := c.client(ctx, vm).Forward(ctx, in)
	if err != nil {
		return call.Refused(lost(vm, err))
	}
	defer func() { _ = stream.Close() }()
	return c.receive(stream, vm, sink, witness)
}

func lost(vm fleet.VM, err error) *result.Refusal {
	if errors.Is(err, ErrDial) {
		return result.Refuse(result.PeerUnreachable, "VM %s was not reached", vm.ID).Because(err)
	}
	return result.Refuse(result.PeerLost, "VM %s was lost during the call", vm.ID).Because(err)
}

func (c *Client) receive(stream peerpb.DRPCPeer_ForwardClient, vm fleet.VM, sink call.Sink, witness func(uint64)) call.Outcome {
	var firstAt time.Time
	headed := false
	for {
		reply, err := stream.Recv()
		if err != nil {
			return call.Refused(lost(vm, err))
		}
		if firstAt.IsZero() && reply.GetChunk() != nil {
			firstAt = c.options.Now()
		}
		if end := reply.GetEnd(); end != nil {
			witness(end.GetStamp())
			if o := outcomeFromEnd(end, firstAt, c.options.Now()); headed || o.Code.Class() != result.ClassDone {
				return o
			}
			return call.Refused(lost(vm, errNoAnswer))
		}
		headed = headed || reply.GetHead() != nil
		if err := pass(reply, sink); err != nil {
			return call.Refused(result.Refuse(result.PeerLost, "the caller has gone").Because(err))
		}
	}
}

func pass(reply *peerpb.ForwardReply, sink call.Sink) error {
	if head := reply.GetHead(); head != nil {
		return sink.Head(int(head.GetStatus()), headerFromMessage(head.GetHeader()))
	}
	return sink.Chunk(reply.GetChunk())
}

func streamSink(stream peerpb.DRPCPeer_ForwardStream) call.Sink {
	return call.Sink{
		Head: func(status int, header http.Header) error {
			return stream.Send(&peerpb.ForwardReply{
				Step: &peerpb.ForwardReply_Head{
					Head: &peerpb.Head{
						Status: uint32(status),
						Header: headerMessage(header),
					},
				},
			})
		},
		Chunk: func(data []byte) error {
			return stream.Send(&peerpb.ForwardReply{
				Step: &peerpb.ForwardReply_Chunk{
					Chunk: data,
				},
			})
		},
	}
}

// endMessage tells a moment to come back as what is left until it, since the
// clocks of two VMs may differ.
func endMessage(o call.Outcome, stamp uint64, now time.Time) *peerpb.End {
	end := &peerpb.End{
		Code:            uint32(o.Code),
		PromptTokens:    uint32(o.Usage.PromptTokens),
		CachedTokens:    uint32(o.Usage.CachedTokens),
		GeneratedTokens: uint32(o.Usage.GeneratedTokens),
		Stamp:           stamp,
		Endpoint:        o.Endpoint,
		Ran:             uint32(o.Ran),
	}
	if o.Refusal != nil {
		end.Message = o.Refusal.Message
		end.ComeBackInMs = leftMilli(o.Refusal.ComeBackAt, now)
	}
	return end
}

func outcomeFromEnd(end *peerpb.End, firstAt, now time.Time) call.Outcome {
	o := call.Outcome{
		Code: result.Code(end.GetCode()),
		Usage: call.Usage{
			PromptTokens:    int(end.GetPromptTokens()),
			CachedTokens:    int(end.GetCachedTokens()),
			GeneratedTokens: int(end.GetGeneratedTokens()),
		},
		FirstAt:  firstAt,
		Endpoint: end.GetEndpoint(),
		Ran:      int(end.GetRan()),
	}
	if o.Code.Class() != result.ClassDone {
		o.Refusal = result.Refuse(o.Code, "%s", end.GetMessage()).Until(deadlineIn(end.GetComeBackInMs(), now))
	}
	return o
}
