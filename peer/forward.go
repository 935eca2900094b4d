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

// errNoResponse is the cause of a call that ended as done without a response.
var errNoResponse = errors.New("peer ended the call as done without a response")

// Forward runs a call on another VM. It returns PeerUnreachable, of class not run, if no
// connection was made or the other VM can't have the whole body, and PeerLost if the connection
// failed later; EndpointTimeout if the caller takes no more of the answer. It takes the body out of
// the request.
func (c *Client) Forward(ctx context.Context, vm fleet.VM, in *peerpb.ForwardRequest, sink call.Sink, witness func(uint64)) call.Outcome {
	in.SentUs = c.options.Delays.elapsedMicros()
	if len(in.GetCall().GetBody()) > minPartedBytes {
		if outcome, isSupported := c.forwardInParts(ctx, vm, in, sink, witness); isSupported {
			return outcome
		}
		in.SentUs = c.options.Delays.elapsedMicros()
	}
	stream, err := c.client(ctx, vm).Forward(ctx, in)
	if in.Call != nil {
		in.Call.Body = nil
	}
	if err != nil {
		return call.Refused(peerFailure(vm, err))
	}
	defer func() { _ = stream.Close() }()
	return c.receiveReplies(stream, vm, sink, witness)
}

// Run asks the VM that sent a call whether one more endpoint may run it.
func (c *Client) Run(ctx context.Context, vm fleet.VM, runGrant uint64) (granted bool, err error) {
	reply, err := c.client(ctx, vm).Run(ctx, &peerpb.RunRequest{
		RunGrant: runGrant,
	})
	if err != nil {
		return false, err
	}
	return reply.GetGranted(), nil
}

// RunOnce asks the VM that sent a call to send it to no other VM once it may have run. It is refused
// by builds that don't know of it.
func (c *Client) RunOnce(ctx context.Context, vm fleet.VM, runGrant uint64) (granted bool, err error) {
	reply, err := c.client(ctx, vm).Run(ctx, &peerpb.RunRequest{
		RunGrant: runGrant,
		Once:     true,
	})
	if err != nil {
		return false, err
	}
	return reply.GetOnce(), nil
}

// Run implements peerpb.DRPCPeerServer.
func (s *service) Run(_ context.Context, in *peerpb.RunRequest) (*peerpb.RunReply, error) {
	if s.handlers.Run == nil {
		return nil, errUnsupported
	}
	if in.GetOnce() {
		return &peerpb.RunReply{
			Once: s.handlers.RunOnce != nil && s.handlers.RunOnce(in.GetRunGrant()),
		}, nil
	}
	return &peerpb.RunReply{
		Granted: s.handlers.Run(in.GetRunGrant()),
	}, nil
}

func peerFailure(vm fleet.VM, err error) *result.Refusal {
	if errors.Is(err, ErrDial) {
		return result.Refuse(result.PeerUnreachable, "VM %s was not reached", vm.ID).WithCause(err)
	}
	return result.Refuse(result.PeerLost, "VM %s was lost during the call", vm.ID).WithCause(err)
}

func (c *Client) receiveReplies(stream peerpb.DRPCPeer_ForwardClient, vm fleet.VM, sink call.Sink, witness func(uint64)) call.Outcome {
	var firstAt time.Time
	headReceived := false
	for {
		reply, err := stream.Recv()
		if err != nil {
			return call.Refused(peerFailure(vm, err))
		}
		if firstAt.IsZero() && reply.GetChunk() != nil {
			firstAt = c.options.Now()
		}
		if end := reply.GetEnd(); end != nil {
			witness(end.GetStamp())
			if o := outcomeFromProto(end, firstAt, c.options.Now()); headReceived || o.Code.Class() != result.ClassDone {
				return o
			}
			return call.Refused(peerFailure(vm, errNoResponse))
		}
		headReceived = headReceived || reply.GetHead() != nil
		if err := writeReply(reply, sink); err != nil {
			return call.Refused(sinkFailure(vm, err))
		}
	}
}

// sinkFailure returns the outcome of a call whose response was not taken. That of a caller that has
// left isn't PeerLost, as the call must not go on elsewhere; another VM may continue a stream.
func sinkFailure(vm fleet.VM, err error) *result.Refusal {
	if errors.Is(err, call.ErrNotContinuation) {
		return result.Refuse(result.PeerLost, "VM %s did not continue the stream", vm.ID).WithCause(err)
	}
	return result.Refuse(result.EndpointTimeout, "the caller went away").WithCause(err)
}

func writeReply(reply *peerpb.ForwardReply, sink call.Sink) error {
	if head := reply.GetHead(); head != nil {
		if head.SoftwareVersion != nil && sink.Version != nil {
			sink.Version(head.GetSoftwareVersion())
		}
		return sink.Head(int(head.GetStatus()), headerFromProto(head.GetHeader()))
	}
	return sink.Chunk(reply.GetChunk())
}

// streamSink sends a response. A body of a known length is sent in parts; events stay whole, as
// the sender of the call resumes a stream behind them.
func streamSink(stream peerpb.DRPCPeer_ForwardStream) call.Sink {
	var version *string
	hasLength := false
	sendChunk := func(data []byte) error {
		return stream.Send(&peerpb.ForwardReply{
			Step: &peerpb.ForwardReply_Chunk{
				Chunk: data,
			},
		})
	}
	return call.Sink{
		Version: func(softwareVersion string) { version = &softwareVersion },
		Head: func(status int, header http.Header) error {
			hasLength = header.Get("Content-Length") != ""
			return stream.Send(&peerpb.ForwardReply{
				Step: &peerpb.ForwardReply_Head{
					Head: &peerpb.Head{
						Status:          uint32(status),
						Header:          headerToProto(header),
						SoftwareVersion: version,
					},
				},
			})
		},
		Chunk: func(data []byte) error {
			for hasLength && len(data) > bodyPartBytes {
				if err := sendChunk(data[:bodyPartBytes]); err != nil {
					return err
				}
				data = data[bodyPartBytes:]
			}
			return sendChunk(data)
		},
	}
}

// outcomeToProto encodes an outcome. The time to come back is encoded as a remaining
// duration, because the clocks of two VMs may differ.
func outcomeToProto(o call.Outcome, stamp uint64, now time.Time) *peerpb.End {
	end := &peerpb.End{
		Code:            uint32(o.Code),
		PromptTokens:    uint32(o.Usage.PromptTokens),
		CachedTokens:    uint32(o.Usage.CachedTokens),
		GeneratedTokens: uint32(o.Usage.GeneratedTokens),
		Stamp:           stamp,
		Endpoint:        o.Endpoint,
		Ran:             uint32(o.EndpointsRun),
		Sent:            o.Sent,
	}
	if o.Refusal != nil {
		end.Message = o.Refusal.Message
		end.ComeBackInMs = remainingMillis(o.Refusal.RetryAt, now)
	}
	return end
}

func outcomeFromProto(end *peerpb.End, firstAt, now time.Time) call.Outcome {
	o := call.Outcome{
		Code: result.Code(end.GetCode()),
		Usage: call.Usage{
			PromptTokens:    int(end.GetPromptTokens()),
			CachedTokens:    int(end.GetCachedTokens()),
			GeneratedTokens: int(end.GetGeneratedTokens()),
		},
		FirstChunkAt: firstAt,
		Endpoint:     end.GetEndpoint(),
		EndpointsRun: int(end.GetRan()),
		Sent:         end.GetSent(),
		// A VM that is lost in another way can't report it.
		VMStopped: result.Code(end.GetCode()) == result.PeerLost,
	}
	if o.Code.Class() != result.ClassDone {
		o.Refusal = result.Refuse(o.Code, "%s", end.GetMessage()).WithRetryAt(deadlineAfter(end.GetComeBackInMs(), now))
	}
	return o
}
