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

// Origin asks a VM for the origin of a stream.
func (c *Client) Origin(ctx context.Context, vm fleet.VM, q origin.RecordQuestion) (origin.Reply, error) {
	out := origin.Reply{
		Region: vm.Region,
	}
	reply, err := c.client(ctx, vm).Origin(ctx, &peerpb.OriginRequest{
		Request: q.Request,
		Service: q.Service,
		Host:    q.Host,
		Target:  []byte(q.Target),
		AgeMs:   c.ageMs(q.Since),
	})
	if err != nil {
		return out, err
	}
	out.Answered = true
	out.Versions = reply.GetSoftwareVersions()
	if reply.GetOrigin() != nil {
		out.Origin = originFromProto(reply.GetOrigin(), c.options.Now())
		out.Known = true
	}
	return out, nil
}

// ageMs returns the age of a time in milliseconds; zero means that it is not known.
func (c *Client) ageMs(at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(max(c.options.Now().Sub(at).Milliseconds(), 0))
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
	q := origin.RecordQuestion{
		Request: in.GetRequest(),
		Service: in.GetService(),
		Host:    in.GetHost(),
		Target:  string(in.GetTarget()),
	}
	if in.GetAgeMs() > 0 {
		q.Since = s.handlers.Now().Add(-time.Duration(in.GetAgeMs()) * time.Millisecond)
	}
	found := s.handlers.Origin(q)
	reply := &peerpb.OriginReply{
		SoftwareVersions: found.Versions,
	}
	if found.Known {
		reply.Origin = originToProto(found.Origin, s.handlers.Now())
	}
	return reply, nil
}

// Evidence asks a VM about the endpoints of its region.
func (c *Client) Evidence(ctx context.Context, vm fleet.VM, q origin.Question) (origin.Evidence, error) {
	reply, err := c.client(ctx, vm).Evidence(ctx, &peerpb.EvidenceRequest{
		Service: q.Service,
		Part:    q.Part,
		AgeMs:   uint32(max(c.options.Now().Sub(q.Since).Milliseconds(), 0)),
		Host:    q.Host,
		Target:  []byte(q.Target),
	})
	if err != nil {
		return origin.Evidence{}, err
	}
	out := origin.Evidence{
		DeparturesKnown: reply.GetDeparturesKnown(),
	}
	for _, m := range reply.GetEndpoints() {
		out.Endpoints = append(out.Endpoints, origin.EndpointEvidence{
			Endpoint: m.GetEndpoint(),
			Version:  m.GetSoftwareVersion(),
			HasRead:  m.GetHasRead(),
			Complete: m.GetComplete(),
		})
	}
	for _, m := range reply.GetDepartures() {
		out.Departures = append(out.Departures, origin.Departure{
			Version:        m.GetSoftwareVersion(),
			VersionUnknown: m.GetVersionUnknown(),
		})
	}
	return out, nil
}

// Evidence implements peerpb.DRPCPeerServer.
func (s *service) Evidence(ctx context.Context, in *peerpb.EvidenceRequest) (*peerpb.EvidenceReply, error) {
	if s.handlers.Evidence == nil {
		return nil, errUnsupported
	}
	evidence := s.handlers.Evidence(ctx, origin.Question{
		Service: in.GetService(),
		Part:    in.GetPart(),
		Since:   s.handlers.Now().Add(-time.Duration(in.GetAgeMs()) * time.Millisecond),
		Host:    in.GetHost(),
		Target:  string(in.GetTarget()),
	})
	reply := &peerpb.EvidenceReply{
		DeparturesKnown: evidence.DeparturesKnown,
	}
	for _, e := range evidence.Endpoints {
		reply.Endpoints = append(reply.Endpoints, &peerpb.EndpointEvidence{
			Endpoint:        e.Endpoint,
			SoftwareVersion: e.Version,
			HasRead:         e.HasRead,
			Complete:        e.Complete,
		})
	}
	for _, d := range evidence.Departures {
		reply.Departures = append(reply.Departures, &peerpb.Departure{
			SoftwareVersion: d.Version,
			VersionUnknown:  d.VersionUnknown,
		})
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
