package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/bounded"
	"github.com/fuchsianotch/fuchsianotch/metering"
	"github.com/fuchsianotch/fuchsianotch/origin"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
	"github.com/fuchsianotch/fuchsianotch/quarantine"
	"github.com/fuchsianotch/fuchsianotch/throttle"
)

// Handlers process the requests of peers. Forward, Stamp and Witness are required; a
// request with any other handler nil is rejected.
type Handlers struct {
	Heartbeat func(ctx context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
	Documents func(ctx context.Context, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error)
	Lease     func(ctx context.Context, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error)
	HandOver  func(ctx context.Context, in *peerpb.HandOverRequest) (*peerpb.HandOverReply, error)
	Events    func(ctx context.Context, in *peerpb.EventsRequest) (*peerpb.EventsReply, error)
	// Gossip and Published serve fleets that discover their members and share what they
	// read of the store.
	Gossip    func(ctx context.Context, in *peerpb.GossipMessage) (*peerpb.GossipMessage, error)
	Published func(ctx context.Context, in *peerpb.PublishedRequest) (*peerpb.PublishedReply, error)
	// Reports takes load reports of engines from another VM of the region, sent at sentAt.
	Reports func(in *peerpb.ReportNote, sentAt time.Time)
	// Unread takes the prompts that waited at engines for calls of another VM of the
	// region at sentAt.
	Unread func(in *peerpb.UnreadNote, sentAt time.Time)
	// Crashes takes crash reports and quarantine verdicts.
	Crashes func(from string, n quarantine.Note)
	// Limits takes the usage and demand of workspaces' limits that another VM reports.
	Limits func(n metering.Note) metering.Reply
	// Permit decides whether another VM may send a request to a rate-limited endpoint.
	Permit func(l throttle.Limit) throttle.Answer
	// Origins takes records of the origins of streams, Origin returns that of one.
	Origins func(origins []origin.Origin)
	Origin  func(q origin.RecordQuestion) origin.Reply
	// Evidence says what the endpoints of the region have read of a prompt, and which have left.
	Evidence func(ctx context.Context, q origin.Question) origin.Evidence
	// Run decides whether one more endpoint may run a call that this VM has forwarded.
	Run func(runGrant uint64) bool
	// RunOnce lets no further endpoint run a call that this VM has sent away, and reports whether
	// that binds this VM.
	RunOnce func(runGrant uint64) bool
	// Forward runs a call; it must not forward it again.
	Forward func(ctx context.Context, from *peerpb.Identity, c *call.Call, sink call.Sink) call.Outcome
	// BodyShare returns the share of a forwarded body in the memory of the VM; nil means that
	// bodies are not bounded.
	BodyShare func() bounded.Share
	// Stamp reads the timeline's logical clock, and Witness advances it to a stamp
	// received.
	Stamp   func() uint64
	Witness func(stamp uint64)
	// CountBytes records bytes sent and received; nil disables it.
	CountBytes func(sent, received int)
	// TLS is the configuration made by the function TLS; nil means plain TCP.
	TLS *tls.Config
	// Now and Delays are as in Options.
	Now    func() time.Time
	Delays *DelayEstimator
}

// Server serves the requests of peers.
type Server struct {
	handlers Handlers
	drpc     *drpcserver.Server
	conns    openConns
	forwards forwardCount
}

// forwardCount counts the forwarded calls whose outcome has not been sent.
type forwardCount struct {
	running atomic.Int64
	// endedAt is when the last outcome was sent, in nanoseconds since 1970.
	endedAt atomic.Int64
}

func (f *forwardCount) end() {
	f.endedAt.Store(time.Now().UnixNano())
	f.running.Add(-1)
}

// outcomeTimeout is how long outcomes are waited for. After as long without an acknowledgement
// the kernel drops the connection.
const outcomeTimeout = time.Second

// InFlight returns the number of forwarded calls whose outcome has not been sent yet, or may not
// have been acknowledged. Connections carry other messages too, which is why it counts those with
// unacknowledged bytes only for a while after the last outcome.
func (s *Server) InFlight() int {
	running := s.Running()
	if time.Since(time.Unix(0, s.forwards.endedAt.Load())) > outcomeTimeout {
		return running
	}
	return running + s.conns.unacknowledged()
}

// Running returns the number of forwarded calls whose outcome has not been sent yet.
func (s *Server) Running() int {
	return int(s.forwards.running.Load())
}

// NewServer returns a server. It fails only if the protocol cannot be registered.
func NewServer(h Handlers) (*Server, error) {
	if h.Now == nil {
		h.Now = time.Now
	}
	if h.Delays == nil {
		h.Delays = NewDelayEstimator(h.Now)
	}
	if h.BodyShare == nil {
		h.BodyShare = unlimitedBodies()
	}
	s := &Server{
		handlers: h,
		conns: openConns{
			conns: make(map[*acceptedConn]struct{}),
		},
	}
	mux := drpcmux.New()
	impl := &service{
		handlers: h,
		forwards: &s.forwards,
	}
	if err := peerpb.DRPCRegisterPeer(mux, impl); err != nil {
		return nil, err
	}
	s.drpc = drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: managerOptions(),
	})
	return s, nil
}

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	ln = &countingListener{
		Listener: ln,
		conns:    &s.conns,
		count:    s.handlers.CountBytes,
	}
	if s.handlers.TLS != nil {
		ln = tls.NewListener(ln, s.handlers.TLS)
	}
	return s.drpc.Serve(ctx, ln)
}

type countingListener struct {
	net.Listener
	conns *openConns
	count func(sent, received int)
}

// Accept returns a connection whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countBytes(l.conns.track(conn), l.count), nil
}

// service implements peerpb.DRPCPeerServer.
type service struct {
	handlers Handlers
	forwards *forwardCount
}

// Heartbeat implements peerpb.DRPCPeerServer.
func (s *service) Heartbeat(ctx context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	if s.handlers.Heartbeat == nil {
		return nil, errUnsupported
	}
	return s.handlers.Heartbeat(ctx, in)
}

// Documents implements peerpb.DRPCPeerServer.
func (s *service) Documents(ctx context.Context, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error) {
	if s.handlers.Documents == nil {
		return nil, errUnsupported
	}
	return s.handlers.Documents(ctx, in)
}

// Lease implements peerpb.DRPCPeerServer.
func (s *service) Lease(ctx context.Context, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	if s.handlers.Lease == nil {
		return nil, errUnsupported
	}
	return s.handlers.Lease(ctx, in)
}

// HandOver implements peerpb.DRPCPeerServer.
func (s *service) HandOver(ctx context.Context, in *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	if s.handlers.HandOver == nil {
		return nil, errUnsupported
	}
	return s.handlers.HandOver(ctx, in)
}

// Events implements peerpb.DRPCPeerServer.
func (s *service) Events(ctx context.Context, in *peerpb.EventsRequest) (*peerpb.EventsReply, error) {
	if s.handlers.Events == nil {
		return nil, errUnsupported
	}
	return s.handlers.Events(ctx, in)
}

// Gossip implements peerpb.DRPCPeerServer.
func (s *service) Gossip(ctx context.Context, in *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	if s.handlers.Gossip == nil {
		return nil, errUnsupported
	}
	if err := decompressRumors(in); err != nil {
		return nil, err
	}
	reply, err := s.handlers.Gossip(ctx, in)
	if err != nil {
		return nil, err
	}
	if err := compressRumors(reply); err != nil {
		return nil, err
	}
	reply.SentUs = s.handlers.Delays.elapsedMicros()
	return reply, nil
}

// Published implements peerpb.DRPCPeerServer.
func (s *service) Published(ctx context.Context, in *peerpb.PublishedRequest) (*peerpb.PublishedReply, error) {
	if s.handlers.Published == nil {
		return nil, errUnsupported
	}
	return s.handlers.Published(ctx, in)
}

// Reports implements peerpb.DRPCPeerServer.
func (s *service) Reports(_ context.Context, in *peerpb.ReportNote) (*peerpb.ReportReply, error) {
	if s.handlers.Reports == nil {
		return nil, errUnsupported
	}
	from := in.GetFrom()
	s.handlers.Reports(in, s.handlers.Delays.SentAt(from.GetVm(), from.GetIncarnation(), in.GetSentUs()))
	return &peerpb.ReportReply{}, nil
}

// Unread implements peerpb.DRPCPeerServer.
func (s *service) Unread(_ context.Context, in *peerpb.UnreadNote) (*peerpb.UnreadReply, error) {
	if s.handlers.Unread == nil {
		return nil, errUnsupported
	}
	from := in.GetFrom()
	s.handlers.Unread(in, s.handlers.Delays.SentAt(from.GetVm(), from.GetIncarnation(), in.GetSentUs()))
	return &peerpb.UnreadReply{}, nil
}

// errUnsupported rejects a request without a handler.
var errUnsupported = errors.New("not served by this deployment")

// Forward implements peerpb.DRPCPeerServer.
func (s *service) Forward(in *peerpb.ForwardRequest, stream peerpb.DRPCPeer_ForwardStream) error {
	s.forwards.running.Add(1)
	defer s.forwards.end()
	s.handlers.Witness(in.GetStamp())
	c := s.callFrom(in)
	share := s.handlers.BodyShare()
	if refusal := s.takeMemory(stream.Context(), &share, len(c.Body)); refusal != nil {
		return s.sendEnd(stream, call.Refused(refusal))
	}
	c.Retained = call.RetainBody(c.Body, share.Release)
	c.Body = nil
	in.Call = nil
	return s.forward(stream.Context(), in.GetFrom(), c, stream)
}

// callFrom decodes a forwarded call.
func (s *service) callFrom(in *peerpb.ForwardRequest) *call.Call {
	sentAt := s.handlers.Delays.SentAt(in.GetFrom().GetVm(), in.GetFrom().GetIncarnation(), in.GetSentUs())
	c := callFromProto(in.GetCall(), sentAt)
	if c.Routed != nil {
		c.Routed.RunGrant = in.GetRunGrant()
		c.Routed.RetryGranted = in.GetRetryGranted()
	}
	return c
}

// forward runs a forwarded call and sends its response.
func (s *service) forward(ctx context.Context, from *peerpb.Identity, c *call.Call, stream peerpb.DRPCPeer_ForwardStream) error {
	defer c.ReleaseBody()
	return s.sendEnd(stream, s.handlers.Forward(ctx, from, c, c.ReleasingBody(streamSink(stream))))
}

func (s *service) sendEnd(stream peerpb.DRPCPeer_ForwardStream, outcome call.Outcome) error {
	return stream.Send(&peerpb.ForwardReply{
		Step: &peerpb.ForwardReply_End{
			End: outcomeToProto(outcome, s.handlers.Stamp(), s.handlers.Now()),
		},
	})
}
