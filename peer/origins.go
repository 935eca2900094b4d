package peer

import (
	"context"
	"time"

	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/origin"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

// Origins sends records of the origins of streams to a VM.
func (c *Client) Origins(ctx context.Context, vm fleet.VM, origins []origin.Origin) error {
	note := &peerpb.OriginNote{}
	for _, o := range origins {
		note.Origins = append(note.Origins, originToProto(o, c.options.Now()))
	}
	_, err := c.client(ctx, vm).Origins(ctx, note)
	return err
}

// Origin asks a VM for the origin of a stream; known is false if it does not know it.
func (c *Client) Origin(ctx context.Context, vm fleet.VM, request, service string) (o origin.Origin, known bool, err error) {
	reply, err := c.client(ctx, vm).Origin(ctx, &peerpb.OriginRequest{
		Request: request,
		Service: service,
	})
	if err != nil || reply.GetOrigin() == nil {
		return origin.Origin{}, false, err
	}
	return originFromProto(reply.GetOrigin(), c.options.Now()), true, nil
}

// Origins implements peerpb.DRPCPeerServer.
func (s *service) Origins(_ context.Context, in *peerpb.OriginNote) (*peerpb.OriginNoteReply, error) {
	if s.handlers.Origins == nil {
		return nil, errUnsupported
	}
	origins := make([]origin.Origin, 0, len(in.GetOrigins()))
	for _, m := range in.GetOrigins() {
		origins = append(origins, originFromProto(m, s.handlers.Now()))
	}
	s.handlers.Origins(origins)
	return &peerpb.OriginNoteReply{}, nil
}

// Origin implements peerpb.DRPCPeerServer.
func (s *service) Origin(_ context.Context, in *peerpb.OriginRequest) (*peerpb.OriginReply, error) {
	if s.handlers.Origin == nil {
		return nil, errUnsupported
	}
	reply := &peerpb.OriginReply{}
	if o, known := s.handlers.Origin(in.GetRequest(), in.GetService()); known {
		reply.Origin = originToProto(o, s.handlers.Now())
	}
	return reply, nil
}

// originToProto encodes an origin for immediate sending. Its time is encoded as a remaining
// duration, because the clocks of two VMs may differ.
func originToProto(o origin.Origin, now time.Time) *peerpb.StreamOrigin {
	return &peerpb.StreamOrigin{
		Request:         o.Request,
		Service:         o.Service,
		SoftwareVersion: o.Version,
		KeepMs:          remainingMillis(o.KeepUntil, now),
	}
}

func originFromProto(m *peerpb.StreamOrigin, now time.Time) origin.Origin {
	return origin.Origin{
		Request:   m.GetRequest(),
		Service:   m.GetService(),
		Version:   m.GetSoftwareVersion(),
		KeepUntil: deadlineAfter(m.GetKeepMs(), now),
	}
}
