package peer

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/bounded"
	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/result"
)

const (
	// minPartedBytes is the size from which bodies are sent in parts, which takes a round trip more.
	minPartedBytes = 64 << 10
	// bodyPartBytes is the size of the parts, each of which fits a frame of frameBytes. Connections
	// keep buffers of several frames at each end.
	bodyPartBytes = frameBytes - 64
	frameBytes    = 16 << 10
	// unlimitedBodyBytes bounds a body where Handlers has no budget.
	unlimitedBodyBytes = 1 << 30
	// bodyMemoryWait bounds the wait for memory, and bodyMemoryRetryAfter is when the caller of a
	// refused call may retry.
	bodyMemoryWait       = 500 * time.Millisecond
	bodyMemoryRetryAfter = 500 * time.Millisecond
)

// errBodyLength means that the parts of a body don't add up to the announced length.
var errBodyLength = errors.New("the body is longer than announced")

// forwardInParts is Forward for a call with a large body. Until the last part is sent the other
// VM can't have run the call. It returns isSupported false for a VM of a version without this
// request.
func (c *Client) forwardInParts(ctx context.Context, vm fleet.VM, in *peerpb.ForwardRequest, sink call.Sink, witness func(uint64)) (o call.Outcome, isSupported bool) {
	body := in.GetCall().GetBody()
	stream, err := c.client(ctx, vm).ForwardInParts(ctx)
	if err != nil {
		return call.Refused(notSent(vm, err)), true
	}
	defer func() { _ = stream.Close() }()
	in.Call.Body = nil
	err = stream.Send(&peerpb.ForwardPart{
		Request:   in,
		BodyBytes: uint64(len(body)),
	})
	if err != nil {
		in.Call.Body = body
		return call.Refused(notSent(vm, err)), !isUnknownRequest(err)
	}
	reply, err := stream.Recv()
	if err != nil {
		in.Call.Body = body
		return call.Refused(notSent(vm, err)), !isUnknownRequest(err)
	}
	if end := reply.GetEnd(); end != nil {
		witness(end.GetStamp())
		return outcomeFromProto(end, time.Time{}, c.options.Now()), true
	}
	if reply.GetProceed() == nil {
		return call.Refused(notSent(vm, errNoProceed)), true
	}
	for len(body) > 0 {
		n := min(len(body), bodyPartBytes)
		err := stream.Send(&peerpb.ForwardPart{
			Body: body[:n],
		})
		body = body[n:]
		if err != nil && len(body) > 0 {
			return call.Refused(notSent(vm, err)), true
		}
		if err != nil {
			return call.Refused(peerFailure(vm, err)), true
		}
	}
	return c.receiveReplies(stream, vm, sink, witness), true
}

// errNoProceed is the cause of a call whose body was not asked for.
var errNoProceed = errors.New("peer did not ask for the body")

// notSent returns the refusal of a call of which the other VM doesn't have the whole body.
func notSent(vm fleet.VM, err error) *result.Refusal {
	return result.Refuse(result.PeerUnreachable, "VM %s did not get the whole call", vm.ID).WithCause(err)
}

// isUnknownRequest reports whether a VM has answered that it doesn't know a request.
func isUnknownRequest(err error) bool {
	return err != nil && strings.Contains(err.Error(), "unknown rpc")
}

// ForwardInParts implements peerpb.DRPCPeerServer.
func (s *service) ForwardInParts(stream peerpb.DRPCPeer_ForwardInPartsStream) error {
	s.forwards.running.Add(1)
	defer s.forwards.end()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	in := first.GetRequest()
	if in.GetCall() == nil || first.GetBodyBytes() > unlimitedBodyBytes {
		return errUnsupported
	}
	s.handlers.Witness(in.GetStamp())
	c := s.callFrom(in)
	share := s.handlers.BodyShare()
	if refusal := s.takeMemory(stream.Context(), &share, int(first.GetBodyBytes())); refusal != nil {
		return s.sendEnd(stream, call.Refused(refusal))
	}
	waitCtx, cancel := s.memoryWait(stream.Context())
	body, err := share.Allocate(waitCtx, int(first.GetBodyBytes()))
	cancel()
	if err != nil {
		share.Release()
		return s.sendEnd(stream, call.Refused(s.memoryRefusal(err)))
	}
	err = stream.Send(&peerpb.ForwardReply{
		Step: &peerpb.ForwardReply_Proceed{
			Proceed: &peerpb.Proceed{},
		},
	})
	if err != nil {
		share.Release()
		return err
	}
	body, err = s.receiveBody(stream, body, c.Deadline)
	if err != nil {
		share.Release()
		return err
	}
	c.Retained = call.RetainBody(body, share.Release)
	return s.forward(stream.Context(), in.GetFrom(), c, stream)
}

// receiveBody joins the parts of a body in a buffer of its length. It ends the stream at the
// deadline, so that a sender that stalls doesn't keep the memory.
func (s *service) receiveBody(stream peerpb.DRPCPeer_ForwardInPartsStream, body []byte, by time.Time) ([]byte, error) {
	if !by.IsZero() {
		timer := time.AfterFunc(by.Sub(s.handlers.Now()), func() { _ = stream.Close() })
		defer timer.Stop()
	}
	length := cap(body)
	for len(body) < length {
		part, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		if len(part.GetBody()) == 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if len(body)+len(part.GetBody()) > length {
			return nil, errBodyLength
		}
		body = append(body, part.GetBody()...)
	}
	return body, nil
}

// takeMemory reserves the memory of a body, and refuses the call if there is none in time.
func (s *service) takeMemory(ctx context.Context, share *bounded.Share, bytes int) *result.Refusal {
	waitCtx, cancel := s.memoryWait(ctx)
	defer cancel()
	if err := share.Take(waitCtx, bytes); err != nil {
		return s.memoryRefusal(err)
	}
	return nil
}

// memoryWait returns a context that ends when a body is no longer waited for.
func (s *service) memoryWait(ctx context.Context) (context.Context, context.CancelFunc) {
	now := s.handlers.Now()
	return clock.WithDeadline(ctx, now, now.Add(bodyMemoryWait))
}

func (s *service) memoryRefusal(err error) *result.Refusal {
	return result.Refuse(result.BodyMemoryFull, "the VM has no memory left for the body").WithRetryAt(s.handlers.Now().Add(bodyMemoryRetryAfter)).WithCause(err)
}

// unlimitedBodies returns shares of a budget that doesn't bind.
func unlimitedBodies() func() bounded.Share {
	return bounded.NewBudget(bounded.RoomFor(unlimitedBodyBytes) << 10).Share
}
