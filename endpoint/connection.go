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
// longer than idleFor, so that one is seldom closed as it is reused.
const (
	dialWithin     = 2 * time.Second
	idleFor        = 15 * time.Second
	idlePerHost    = 1024
	maxHeaderBytes = 64 << 10
)

// transports returns one transport that reuses connections and one that doesn't.
// A non-idempotent call gets a connection of its own: the endpoint can't close
// it as idle at the moment of sending, which would leave the outcome unknown.
func transports(client *http.Client) (pooled, single http.RoundTripper) {
	base := &http.Transport{
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleFor,
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
	base.DialContext = dialer(base.DialContext)
	once := base.Clone()
	once.DisableKeepAlives = true
	return base, once
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func dialer(dial dialFunc) dialFunc {
	if dial == nil {
		dial = tcp.Dialer(dialWithin).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: conn}, nil
	}
}

// connection counts the bytes offered to the kernel, and asks before the first
// byte of a request.
type connection struct {
	net.Conn

	offered atomic.Int64
	// distrusted is set once it brought a crossed answer.
	distrusted atomic.Bool
	closed     atomic.Bool
	gate       atomic.Pointer[func() error]
}

// Write counts before it writes, so that no byte goes out uncounted.
func (c *connection) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	if gate := c.gate.Swap(nil); gate != nil {
		if err := (*gate)(); err != nil {
			return 0, err
		}
	}
	c.offered.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Close lets no further byte be counted, and none go out.
func (c *connection) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// track follows one attempt over its connection.
type track struct {
	// gate is asked before the first byte goes out.
	gate func() error

	mu      sync.Mutex
	conn    *connection
	reused  bool
	offered int64
	sent    bool
	denied  error
}

func (t *track) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *track) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle()
	conn, ok := info.Conn.(*connection)
	if !ok {
		t.sent = true
		return
	}
	if conn.distrusted.Load() {
		_ = conn.Close()
	}
	t.conn = conn
	t.reused = info.Reused
	t.offered = conn.offered.Load()
	gate := t.ask
	conn.gate.Store(&gate)
}

func (t *track) ask() error {
	err := t.gate()
	if err != nil {
		t.mu.Lock()
		t.denied = err
		t.mu.Unlock()
	}
	return err
}

func (t *track) settle() {
	if t.conn != nil && t.conn.offered.Load() != t.offered {
		t.sent = true
	}
}

// distrust keeps the connection from further use after the head of another
// attempt's answer: what follows is one answer off as well. The transport closes
// it with the body, but an answer without a body gave it back to the pool already.
func (t *track) distrust() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.distrusted.Store(true)
	}
}

// stale reports whether a reused connection broke before any byte went out.
func (t *track) stale() bool {
	sent, denied := t.abort()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused && !sent && denied == nil
}

// abort closes the connection and says whether any byte went out on it. No
// byte can follow, so the answer is final. The error is the gate's, if any.
func (t *track) abort() (sent bool, denied error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close()
	}
	t.settle()
	return t.sent, t.denied
}
