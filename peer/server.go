package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/metering"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// Handlers are what a VM does with each request of its peers.
type Handlers struct {
	Heartbeat func(ctx context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
	Documents func(ctx context.Context, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error)
	Lease     func(ctx context.Context, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error)
	HandOver  func(ctx context.Context, in *peerpb.HandOverRequest) (*peerpb.HandOverReply, error)
	Events    func(ctx context.Context, in *peerpb.EventsRequest) (*peerpb.EventsReply, error)
	// Gossip and Published are for fleets that find each other and share what
	// they read of the store.
	Gossip    func(ctx context.Context, in *peerpb.GossipMessage) (*peerpb.GossipMessage, error)
	Published func(ctx context.Context, in *peerpb.PublishedRequest) (*peerpb.PublishedReply, error)
	// Reports takes the loads of engines from another VM of the region, as of when it
	// was sent. It may be left out where endpoints are not shared.
	Reports func(in *peerpb.ReportNote, sentAt time.Time)
	// Unread takes what waits at engines for the calls of another VM of the region,
	// as of a moment.
	Unread func(in *peerpb.UnreadNote, sentAt time.Time)
	// Crashes takes under which calls endpoints crashed, and which are held.
	Crashes func(n quarantine.Note)
	// Limits takes what other VMs say of workspaces' limits, and answers it.
	Limits func(n metering.Note) metering.Reply
	// Permit decides on a request to an endpoint with a limit for a VM that knows
	// of that.
	Permit func(l throttle.Limit) throttle.Answer
	// Forward runs the call and never forwards it again.
	Forward func(ctx context.Context, from *peerpb.Identity, c *call.Call, sink call.Sink) call.Outcome
	// Stamp and Witness keep the time line's clock on forwarded calls.
	Stamp   func() uint64
	Witness func(stamp uint64)
	// CountBytes is told of bytes sent and received; nil means nobody counts.
	CountBytes func(sent, received int)
	// TLS is TLS's configuration of the shared secret; nil means plain TCP.
	TLS *tls.Config
	// Now and Transit are as in Options.
	Now     func() time.Time
	Transit *Transit
}

// Server answers peers on one listener.
type Server struct {
	handlers Handlers
	drpc     *drpcserver.Server
}

// NewServer makes a server. It fails only if the protocol cannot be registered.
func NewServer(h Handlers) (*Server, error) {
	if h.Now == nil {
		h.Now = time.Now
	}
	if h.Transit == nil {
		h.Transit = NewTransit(h.Now)
	}
	s := &Server{
		handlers: h,
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &service{handlers: h}); err != nil {
		return nil, err
	}
	s.drpc = drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: managerOptions(),
	})
	return s, nil
}

// Serve answers until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	ln = &countingListener{
		Listener: ln,
		count:    s.handlers.CountBytes,
	}
	if s.handlers.TLS != nil {
		ln = tls.NewListener(ln, s.handlers.TLS)
	}
	return s.drpc.Serve(ctx, ln)
}

type countingListener struct {
	net.Listener
	count func(sent, received int)
}

// Accept accepts a connection whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countBytes(conn, l.count), nil
}

// service is the registered implementation.
type service struct {
	handlers Handlers
}

// Heartbeat implements peerpb.DRPCPeerServer.
func (s *service) Heartbeat(ctx context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	if s.handlers.Heartbeat == nil {
		return nil, errNotServed
	}
	return s.handlers.Heartbeat(ctx, in)
}

// Documents implements peerpb.DRPCPeerServer.
func (s *service) Documents(ctx context.Context, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error) {
	if s.handlers.Documents == nil {
		return nil, errNotServed
	}
	return s.handlers.Documents(ctx, in)
}

// Lease implements peerpb.DRPCPeerServer.
func (s *service) Lease(ctx context.Context, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	if s.handlers.Lease == nil {
		return nil, errNotServed
	}
	return s.handlers.Lease(ctx, in)
}

// HandOver implements peerpb.DRPCPeerServer.
func (s *service) HandOver(ctx context.Context, in *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	if s.handlers.HandOver == nil {
		return nil, errNotServed
	}
	return s.handlers.HandOver(ctx, in)
}

// Events implements peerpb.DRPCPeerServer.
func (s *service) Events(ctx context.Context, in *peerpb.EventsRequest) (*peerpb.EventsReply, error) {
	if s.handlers.Events == nil {
		return nil, errNotServed
	}
	return s.handlers.Events(ctx, in)
}

// Gossip implements peerpb.DRPCPeerServer.
func (s *service) Gossip(ctx context.Context, in *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	if s.handlers.Gossip == nil {
		return nil, errNotServed
	}
	if err := unpackRumors(in); err != nil {
		return nil, err
	}
	reply, err := s.handlers.Gossip(ctx, in)
	if err != nil {
		return nil, err
	}
	if err := packRumors(reply); err != nil {
		return nil, err
	}
	reply.SentUs = s.handlers.Transit.stamp()
	return reply, nil
}

// Published implements peerpb.DRPCPeerServer.
func (s *service) Published(ctx context.Context, in *peerpb.PublishedRequest) (*peerpb.PublishedReply, error) {
	if s.handlers.Published == nil {
		return nil, errNotServed
	}
	return s.handlers.Published(ctx, in)
}

// Reports implements peerpb.DRPCPeerServer.
func (s *service) Reports(_ context.Context, in *peerpb.ReportNote) (*peerpb.ReportReply, error) {
	if s.handlers.Reports == nil {
		return nil, errNotServed
	}
	from := in.GetFrom()
	s.handlers.Reports(in, s.handlers.Transit.SentAt(from.GetVm(), from.GetIncarnation(), in.GetSentUs()))
	return &peerpb.ReportReply{}, nil
}

// Unread implements peerpb.DRPCPeerServer.
func (s *service) Unread(_ context.Context, in *peerpb.UnreadNote) (*peerpb.UnreadReply, error) {
	if s.handlers.Unread == nil {
		return nil, errNotServed
	}
	from := in.GetFrom()
	s.handlers.Unread(in, s.handlers.Transit.SentAt(from.GetVm(), from.GetIncarnation(), in.GetSentUs()))
	return &peerpb.UnreadReply{}, nil
}

// errNotServed answers a request that this kind of deployment has no use for.
var errNotServed = errors.New("not served by this deployment")

// Forward implements peerpb.DRPCPeerServer.
func (s *service) Forward(in *peerpb.ForwardRequest, stream peerpb.DRPCPeer_ForwardStream) error {
	s.handlers.Witness(in.GetStamp())
	sentAt := s.handlers.Transit.SentAt(in.GetFrom().GetVm(), in.GetFrom().GetIncarnation(), in.GetSentUs())
	c := callFromMessage(in.GetCall(), sentAt)
	outcome := s.handlers.Forward(stream.Context(), in.GetFrom(), c, streamSink(stream))
	return stream.Send(&peerpb.ForwardReply{
		Step: &peerpb.ForwardReply_End{
			End: endMessage(outcome, s.handlers.Stamp(), s.handlers.Now()),
		},
	})
}
