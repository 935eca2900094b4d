package endpoint

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/tcp"
)

// Bounds of the client's connections. An endpoint keeps an idle connection for
// longer than idleConnTimeout, so that one is seldom closed as it is reused.
const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 15 * time.Second
	maxIdleConnsPerHost = 1024
	maxHeaderBytes      = 64 << 10
)

// transports returns one transport that reuses connections and one that doesn't.
// A non-idempotent call gets a connection of its own: the endpoint can't close
// it as idle at the moment of sending, which would leave the outcome unknown.
func transports(client *http.Client) (pooled, single http.RoundTripper) {
	base := &http.Transport{
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	if client != nil && client.Transport != nil {
		given, ok := client.Transport.(*http.Transport)
		if !ok {
			return client.Transport, client.Transport
		}
		base = given.Clone()
	}
	base.Proxy = nil
	base.DisableCompression = true
	base.DialContext = trackedDialer(base.DialContext)
	once := base.Clone()
	once.DisableKeepAlives = true
	return base, once
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func trackedDialer(dial dialFunc) dialFunc {
	if dial == nil {
		dial = tcp.Dialer(dialTimeout).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// trackedConn counts the bytes offered to the kernel, and asks before the first
// byte of a request.
type trackedConn struct {
	net.Conn

	offeredBytes atomic.Int64
	// tainted is set once it brought a crossed answer.
	tainted     atomic.Bool
	closed      atomic.Bool
	beforeWrite atomic.Pointer[func() error]
}

// Write counts before it writes, so that no byte goes out uncounted.
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

// Close lets no further byte be counted, and none go out.
func (c *trackedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// connTracker follows one attempt over its connection.
type connTracker struct {
	// beforeSend is asked before the first byte goes out.
	beforeSend func() error

	mu            sync.Mutex
	conn          *trackedConn
	reused        bool
	offeredBefore int64
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
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		t.sent = true
		return
	}
	if conn.tainted.Load() {
		_ = conn.Close()
	}
	t.conn = conn
	t.reused = info.Reused
	t.offeredBefore = conn.offeredBytes.Load()
	gate := t.runBeforeSend
	conn.beforeWrite.Store(&gate)
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

func (t *connTracker) updateSent() {
	if t.conn != nil && t.conn.offeredBytes.Load() != t.offeredBefore {
		t.sent = true
	}
}

// taint keeps the connection from further use after the head of another
// attempt's answer: what follows is one answer off as well. The transport closes
// it with the body, but an answer without a body gave it back to the pool already.
func (t *connTracker) taint() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.tainted.Store(true)
	}
}

// brokeBeforeSend reports whether a reused connection broke before any byte went out.
func (t *connTracker) brokeBeforeSend() bool {
	sent, denied := t.abort()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused && !sent && denied == nil
}

// abort closes the connection and says whether any byte went out on it. No
// byte can follow, so the answer is final. The error is the gate's, if any.
func (t *connTracker) abort() (sent bool, denied error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close()
	}
	t.updateSent()
	return t.sent, t.beforeSendErr
}
