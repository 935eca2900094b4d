package endpoint

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/clock"
	"github.com/fuchsianotch/fuchsianotch/common/tcp"
)

// Limits on the client's connections. idleConnTimeout must be shorter than the
// endpoints' own idle timeout, or they close connections that are being reused.
const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 15 * time.Second
	maxIdleConnsPerHost = 1024
	maxHeaderBytes      = 64 << 10
)

// transports returns one transport that reuses connections, one for probes, and one that does
// not reuse them. Non-idempotent calls and questions about memory use the last: an endpoint that closes an idle connection
// while the request is being sent would leave the outcome unknown. Answers to probes have no
// id, so that a late copy of one would not be told from the answer to a call. All record their
// connections in open.
func transports(client *http.Client, now func() time.Time, open *openConns) (pooled, probes, single http.RoundTripper) {
	base := &http.Transport{
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	if client != nil && client.Transport != nil {
		given, ok := client.Transport.(*http.Transport)
		if !ok {
			return client.Transport, client.Transport, client.Transport
		}
		base = given.Clone()
	}
	if base.MaxResponseHeaderBytes <= 0 {
		base.MaxResponseHeaderBytes = maxHeaderBytes
	}
	base.Proxy = nil
	base.DisableCompression = true
	base.DialContext = trackedDialer(base.DialContext, now, open)
	once := base.Clone()
	once.DisableKeepAlives = true
	return base, base.Clone(), once
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func trackedDialer(dial dialFunc, now func() time.Time, open *openConns) dialFunc {
	if dial == nil {
		dial = tcp.Dialer(dialTimeout).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if by, ok := dialDeadline(ctx); ok {
			bounded, cancel := clock.WithDeadline(ctx, now(), by)
			defer cancel()
			ctx = bounded
		}
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &trackedConn{
			Conn:     tcp.WithResets(conn),
			addr:     addr,
			openedAt: now(),
			registry: open,
		}
		c.isOpen = c.open
		open.add(c)
		return c, nil
	}
}

// trackedConn counts the bytes passed to Write and runs a hook before the first
// byte of a request.
type trackedConn struct {
	net.Conn

	addr     string
	openedAt time.Time
	registry *openConns

	offeredBytes atomic.Int64
	closed       atomic.Bool
	// user is the last use of the connection.
	user atomic.Pointer[connUse]
	// tainted is set if following responses may be shifted; no further request is written.
	tainted     atomic.Bool
	beforeWrite atomic.Pointer[func() error]
	// isOpen is the method open, which attempts hand out.
	isOpen func() bool
}

// open reports whether neither side has ended the connection.
func (c *trackedConn) open() bool {
	return !c.closed.Load() && !tcp.HasEnded(c.Conn)
}

// Write counts the bytes before writing, so that none is written uncounted.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	if gate := c.beforeWrite.Swap(nil); gate != nil {
		if err := (*gate)(); err != nil {
			return 0, err
		}
	}
	c.offeredBytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Close rejects further writes before closing the connection.
func (c *trackedConn) Close() error {
	if !c.closed.Swap(true) {
		c.registry.remove(c)
	}
	return c.Conn.Close()
}

// closeAfter closes the connection once its previous user has received its response: the transport
// may hand out a connection before it hands over a response without a body, which it would lose.
func (c *trackedConn) closeAfter(previous *connUse) error {
	if previous != nil {
		<-previous.received
	}
	_ = c.Close()
	return net.ErrClosed
}

// connUse is the use of a connection by one attempt. It refers to nothing of the attempt, which
// idle connections would keep in memory.
type connUse struct {
	// received is closed when the transport has handed over the response or an error.
	received chan struct{}
}

// connTracker follows the connections of one attempt.
type connTracker struct {
	// beforeSend is called before the first byte is written.
	beforeSend func() error

	mu            sync.Mutex
	conn          *trackedConn
	reused        bool
	offeredBefore int64
	use           *connUse
	useEnded      bool
	sent          bool
	beforeSendErr error
}

func (t *connTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateSent()
	t.endUse()
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		t.sent = true
		return
	}
	t.conn = conn
	t.reused = info.Reused
	t.use = &connUse{
		received: make(chan struct{}),
	}
	t.useEnded = false
	previous := conn.user.Swap(t.use)
	t.offeredBefore = conn.offeredBytes.Load()
	gate := func() error {
		if conn.tainted.Load() {
			return conn.closeAfter(previous)
		}
		return t.runBeforeSend()
	}
	conn.beforeWrite.Store(&gate)
}

// received notes that the transport has handed over the response or an error.
func (t *connTracker) received() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endUse()
}

// endUse requires t.mu.
func (t *connTracker) endUse() {
	if t.use == nil || t.useEnded {
		return
	}
	t.useEnded = true
	close(t.use.received)
}

func (t *connTracker) runBeforeSend() error {
	err := t.beforeSend()
	if err != nil {
		t.mu.Lock()
		t.beforeSendErr = err
		t.mu.Unlock()
	}
	return err
}

// stillOpen returns a function that reports whether the connection is still open; nil if it is
// not known.
func (t *connTracker) stillOpen() func() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return nil
	}
	return t.conn.isOpen
}

// updateSent sets sent if the current connection has written bytes. It requires t.mu.
func (t *connTracker) updateSent() {
	if t.conn != nil && t.conn.offeredBytes.Load() != t.offeredBefore {
		t.sent = true
	}
}

// discard ends a connection whose following responses may be shifted. The transport has
// already returned it to the pool if the response has no body: if another attempt has it, that
// one ends it.
func (t *connTracker) discard() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taint()
}

// taint requires t.mu.
func (t *connTracker) taint() {
	if t.conn == nil {
		return
	}
	// Set first, so that an attempt that takes the connection after the check writes nothing.
	t.conn.tainted.Store(true)
	t.closeTainted()
}

// release ends the connection if an earlier attempt has tainted it, so that the pool does not
// collect such connections.
func (t *connTracker) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.tainted.Load() {
		t.closeTainted()
	}
}

// closeTainted closes the connection unless another attempt has it. It requires t.mu.
func (t *connTracker) closeTainted() {
	if t.conn.user.Load() == t.use {
		_ = t.conn.Close()
	}
}

// isFirstExchange reports whether the connection carried no request before this attempt's. It
// is false if the connection is not known.
func (t *connTracker) isFirstExchange() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.offeredBefore == 0
}

// brokeBeforeSend reports whether a reused connection broke before any byte was written.
func (t *connTracker) brokeBeforeSend() bool {
	sent, denied := t.abort()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused && !sent && denied == nil
}

// abort closes the connection and reports whether any byte was written. No write
// can follow, so the result is final: a connection that another attempt has was returned to the
// pool after this attempt's last write. beforeSendErr is the error of beforeSend, if any.
func (t *connTracker) abort() (sent bool, denied error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taint()
	t.updateSent()
	return t.sent, t.beforeSendErr
}
