// Package peer implements the protocol between VMs: a client and a server over drpc.
package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/fuchsianotch/fuchsianotch/common/bounded"
	"github.com/fuchsianotch/fuchsianotch/common/tcp"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

const (
	// MaxMessageBytes bounds one message in either direction. It fits the largest request
	// body or published document with its framing.
	MaxMessageBytes = 8 << 20

	// dialTimeout bounds a dial, unless ctx ends earlier.
	dialTimeout    = 5 * time.Second
	idleConnsPerVM = 16
	idleConnExpiry = time.Minute
)

// ErrDial wraps failures to connect: nothing was sent to the peer.
var ErrDial = errors.New("peer not reached")

// Options configure a Client.
type Options struct {
	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// ResolveAddr overrides the listed address of a VM; nil means no overrides.
	ResolveAddr func(vm string) (addr string, ok bool)
	// CountBytes records bytes sent and received; nil disables it.
	CountBytes func(sent, received int)
	// CountMessage records messages by method; nil disables it. Region is this VM's own,
	// which tells cross-region messages from others.
	CountMessage CountMessage
	Region       string
	// TLS is the configuration made by the function TLS; nil means plain TCP.
	TLS *tls.Config
	// Now is a monotonic clock; nil means time.Now. Delays stamps outgoing messages and
	// estimates the delay of incoming ones; nil means a new one.
	Now    func() time.Time
	Delays *DelayEstimator
	// MaxBufferedBytes bounds the messages that are received at a time; zero means room for one
	// of the largest.
	MaxBufferedBytes int
}

// Client sends requests to other VMs. It is safe for concurrent use.
type Client struct {
	options Options
	pool    *drpcpool.Pool[string, drpcpool.Conn]
	// budget bounds the messages that are being received.
	budget *bounded.Budget
}

// New returns a client without connections.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Delays == nil {
		o.Delays = NewDelayEstimator(o.Now)
	}
	return &Client{
		options: o,
		budget:  bounded.NewBudget(cmp.Or(o.MaxBufferedBytes, maxBufferedBytes)),
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleConnExpiry,
			KeyCapacity: idleConnsPerVM,
		}),
	}
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return tcp.Dialer(dialTimeout).DialContext(ctx, "tcp", addr)
}

// Close closes the idle connections.
func (c *Client) Close() error {
	return c.pool.Close()
}

// Heartbeat exchanges membership state with a VM.
func (c *Client) Heartbeat(ctx context.Context, vm fleet.VM, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return c.client(ctx, vm).Heartbeat(ctx, in)
}

// Documents fetches configuration documents and the fleet list from a VM.
func (c *Client) Documents(ctx context.Context, vm fleet.VM, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error) {
	return c.client(ctx, vm).Documents(ctx, in)
}

// Lease asks the owner of a workspace for a lease on part of its limits.
func (c *Client) Lease(ctx context.Context, vm fleet.VM, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	return c.client(ctx, vm).Lease(ctx, in)
}

// HandOver transfers ticket records, and optionally the rights on them, to a VM.
func (c *Client) HandOver(ctx context.Context, vm fleet.VM, in *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	return c.client(ctx, vm).HandOver(ctx, in)
}

// Gossip exchanges membership rumors with a VM.
func (c *Client) Gossip(ctx context.Context, vm fleet.VM, in *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	if err := compressRumors(in); err != nil {
		return nil, err
	}
	in.SentUs = c.options.Delays.elapsedMicros()
	reply, err := c.client(ctx, vm).Gossip(ctx, in)
	if err != nil {
		return nil, err
	}
	return reply, decompressRumors(reply)
}

// Unread reports the prompts of this VM's calls that wait at engines to a VM of the
// region.
func (c *Client) Unread(ctx context.Context, vm fleet.VM, in *peerpb.UnreadNote) error {
	in.SentUs = c.options.Delays.elapsedMicros()
	_, err := c.client(ctx, vm).Unread(ctx, in)
	return err
}

// Reports shares the load reports of engines that this VM polled with a VM of the
// region.
func (c *Client) Reports(ctx context.Context, vm fleet.VM, in *peerpb.ReportNote) error {
	in.SentUs = c.options.Delays.elapsedMicros()
	_, err := c.client(ctx, vm).Reports(ctx, in)
	return err
}

// Published fetches items of the store that a VM holds.
func (c *Client) Published(ctx context.Context, vm fleet.VM, in *peerpb.PublishedRequest) (reply *peerpb.PublishedReply, packed []byte, err error) {
	reply, err = c.client(ctx, vm).Published(ctx, in)
	if err != nil {
		return nil, nil, err
	}
	packed = reply.GetPacked()
	return reply, packed, decompressItems(reply)
}

// Events fetches events of a VM's timeline.
func (c *Client) Events(ctx context.Context, vm fleet.VM, in *peerpb.EventsRequest) (*peerpb.EventsReply, error) {
	return c.client(ctx, vm).Events(ctx, in)
}

func (c *Client) client(ctx context.Context, vm fleet.VM) peerpb.DRPCPeerClient {
	conn := c.pool.Get(ctx, c.address(vm), c.dial)
	if c.options.CountMessage == nil {
		return peerpb.NewDRPCPeerClient(conn)
	}
	return peerpb.NewDRPCPeerClient(&messageCountingConn{
		Conn:        conn,
		crossRegion: vm.Region != c.options.Region,
		count:       c.options.CountMessage,
	})
}

func (c *Client) address(vm fleet.VM) string {
	if c.options.ResolveAddr == nil {
		return vm.PeerAddr
	}
	if addr, ok := c.options.ResolveAddr(vm.ID); ok {
		return addr
	}
	return vm.PeerAddr
}

func (c *Client) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	conn, err := c.options.Dial(ctx, addr)
	if err != nil {
		return nil, errors.Join(ErrDial, err)
	}
	secured, err := clientHandshake(ctx, countBytes(conn, c.options.CountBytes), c.options.TLS)
	if err != nil {
		return nil, errors.Join(ErrDial, err)
	}
	return &pooledConn{
		Conn: drpcconn.NewWithOptions(&boundedConn{
			Conn:  secured,
			share: c.budget.Share(),
		}, drpcconn.Options{
			Manager: managerOptions(),
		}),
		socket: conn,
	}, nil
}

// pooledConn is a connection in the pool.
type pooledConn struct {
	*drpcconn.Conn

	socket net.Conn
}

// Closed also closes a connection whose end has arrived but was not read yet. A call on it
// would count as lost with a VM that was gone before.
func (c *pooledConn) Closed() <-chan struct{} {
	if tcp.HasEnded(c.socket) {
		_ = c.Close()
	}
	return c.Conn.Closed()
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{
			MaximumBufferSize: MaxMessageBytes,
		},
		Stream: drpcstream.Options{
			SplitSize:         frameBytes,
			MaximumBufferSize: 2 * frameBytes,
		},
		SoftCancel: true,
	}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	count func(sent, received int)
}

func countBytes(conn net.Conn, count func(sent, received int)) net.Conn {
	if count == nil {
		return conn
	}
	return &countingConn{
		Conn:  conn,
		count: count,
	}
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(0, n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n, 0)
	return n, err
}
