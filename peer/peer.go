// Package peer is the protocol between VMs: the client that asks another VM
// and the server that answers, both over drpc.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/fuchsianotch/fuchsianotch/common/tcp"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/peer/peerpb"
)

const (
	// MaxMessageBytes bounds one message either way. It holds the largest
	// body of a call, or one published document, with its frame.
	MaxMessageBytes = 8 << 20

	// dialWithin bounds a connection where the caller's own time is longer.
	dialWithin     = 5 * time.Second
	idleConnsPerVM = 16
	idleConnExpiry = time.Minute
)

// ErrDial marks an error that came before anything was sent to the peer.
var ErrDial = errors.New("peer not reached")

// Options set up a Client.
type Options struct {
	// Dial opens a connection; nil means a plain TCP dial.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Routes gives another address for a VM than the listed one; nil means none.
	Routes func(vm string) (addr string, ok bool)
	// CountBytes is told of bytes sent and received; nil means nobody counts.
	CountBytes func(sent, received int)
	// CountMessage is told of messages by kind, and Region is the own one, which tells
	// far VMs from near ones; nil means nobody counts.
	CountMessage CountMessage
	Region       string
	// TLS is TLS's configuration of the shared secret; nil means plain TCP.
	TLS *tls.Config
	// Now is a steady clock; nil means time.Now. Transit stamps what is sent and
	// says how old is what comes; nil means one of the Client's own.
	Now     func() time.Time
	Transit *Transit
}

// Client asks other VMs. Its methods may be called from any goroutine.
type Client struct {
	options Options
	pool    *drpcpool.Pool[string, drpcpool.Conn]
}

// New makes a client without connections.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Transit == nil {
		o.Transit = NewTransit(o.Now)
	}
	return &Client{
		options: o,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleConnExpiry,
			KeyCapacity: idleConnsPerVM,
		}),
	}
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return tcp.Dialer(dialWithin).DialContext(ctx, "tcp", addr)
}

// Close closes the idle connections.
func (c *Client) Close() error {
	return c.pool.Close()
}

// Heartbeat exchanges states with a VM.
func (c *Client) Heartbeat(ctx context.Context, vm fleet.VM, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return c.client(ctx, vm).Heartbeat(ctx, in)
}

// Documents pulls documents and the list from a VM.
func (c *Client) Documents(ctx context.Context, vm fleet.VM, in *peerpb.DocumentsRequest) (*peerpb.DocumentsReply, error) {
	return c.client(ctx, vm).Documents(ctx, in)
}

// Lease asks the owner of a workspace for a part of its limits.
func (c *Client) Lease(ctx context.Context, vm fleet.VM, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	return c.client(ctx, vm).Lease(ctx, in)
}

// HandOver passes ticket records, and maybe rights, to a VM.
func (c *Client) HandOver(ctx context.Context, vm fleet.VM, in *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	return c.client(ctx, vm).HandOver(ctx, in)
}

// Gossip exchanges what both VMs know of the members.
func (c *Client) Gossip(ctx context.Context, vm fleet.VM, in *peerpb.GossipMessage) (*peerpb.GossipMessage, error) {
	if err := packRumors(in); err != nil {
		return nil, err
	}
	in.SentUs = c.options.Transit.stamp()
	reply, err := c.client(ctx, vm).Gossip(ctx, in)
	if err != nil {
		return nil, err
	}
	return reply, unpackRumors(reply)
}

// Unread tells a VM of the region which prompts wait at engines for this VM's calls.
func (c *Client) Unread(ctx context.Context, vm fleet.VM, in *peerpb.UnreadNote) error {
	in.SentUs = c.options.Transit.stamp()
	_, err := c.client(ctx, vm).Unread(ctx, in)
	return err
}

// Reports tells a VM of the region the loads of engines that this VM has asked.
func (c *Client) Reports(ctx context.Context, vm fleet.VM, in *peerpb.ReportNote) error {
	in.SentUs = c.options.Transit.stamp()
	_, err := c.client(ctx, vm).Reports(ctx, in)
	return err
}

// Published asks a VM for what it holds of the store.
func (c *Client) Published(ctx context.Context, vm fleet.VM, in *peerpb.PublishedRequest) (*peerpb.PublishedReply, error) {
	reply, err := c.client(ctx, vm).Published(ctx, in)
	if err != nil {
		return nil, err
	}
	return reply, unpack(reply)
}

// Events asks a VM for a part of its time line.
func (c *Client) Events(ctx context.Context, vm fleet.VM, in *peerpb.EventsRequest) (*peerpb.EventsReply, error) {
	return c.client(ctx, vm).Events(ctx, in)
}

func (c *Client) client(ctx context.Context, vm fleet.VM) peerpb.DRPCPeerClient {
	conn := c.pool.Get(ctx, c.address(vm), c.dial)
	if c.options.CountMessage == nil {
		return peerpb.NewDRPCPeerClient(conn)
	}
	return peerpb.NewDRPCPeerClient(&countedConn{
		Conn:  conn,
		far:   vm.Region != c.options.Region,
		count: c.options.CountMessage,
	})
}

func (c *Client) address(vm fleet.VM) string {
	if c.options.Routes == nil {
		return vm.PeerAddr
	}
	if addr, ok := c.options.Routes(vm.ID); ok {
		return addr
	}
	return vm.PeerAddr
}

func (c *Client) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	conn, err := c.options.Dial(ctx, addr)
	if err != nil {
		return nil, errors.Join(ErrDial, err)
	}
	counted, err := secure(ctx, countBytes(conn, c.options.CountBytes), c.options.TLS)
	if err != nil {
		return nil, errors.Join(ErrDial, err)
	}
	return drpcconn.NewWithOptions(counted, drpcconn.Options{
		Manager: managerOptions(),
	}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{
			MaximumBufferSize: MaxMessageBytes,
		},
		SoftCancel: true,
	}
}

// countingConn tells of the bytes that pass.
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

// Read reads and counts.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(0, n)
	return n, err
}

// Write writes and counts.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n, 0)
	return n, err
}
