// Package listen provides listeners that limit open connections, in total and per
// client address, and that stop accepting before they are closed.
package listen

import (
	"net"
	"sync"
)

// Options configures a Listener.
type Options struct {
	// Max and MaxPerAddress limit the open connections; both are at least 1.
	Max           int
	MaxPerAddress int
	// OnReject is called for each connection closed over a limit; it may be nil.
	OnReject func()
}

// Listener closes connections over its limits right after it accepts them.
type Listener struct {
	net.Listener

	options    Options
	mu         sync.Mutex
	openConns  int
	openByHost map[string]int
}

// New returns a Listener that accepts from ln.
func New(ln net.Listener, o Options) *Listener {
	if o.OnReject == nil {
		o.OnReject = func() {}
	}
	return &Listener{
		Listener:   ln,
		options:    o,
		openByHost: make(map[string]int),
	}
}

// Accept returns the next connection within the limits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host := hostOf(conn)
		if l.acquire(host) {
			return &limitedConn{
				Conn:    conn,
				release: sync.OnceFunc(func() { l.release(host) }),
			}, nil
		}
		_ = conn.Close()
		l.options.OnReject()
	}
}

func hostOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

func (l *Listener) acquire(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openConns >= l.options.Max || l.openByHost[host] >= l.options.MaxPerAddress {
		return false
	}
	l.openConns++
	l.openByHost[host]++
	return true
}

func (l *Listener) release(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns--
	l.openByHost[host]--
	if l.openByHost[host] == 0 {
		delete(l.openByHost, host)
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// NetConn returns the underlying connection.
func (c *limitedConn) NetConn() net.Conn {
	return c.Conn
}

// Close closes the connection, which counts towards the limits until its socket is closed.
func (c *limitedConn) Close() error {
	if conn, ok := c.Conn.(*stoppableConn); ok {
		return conn.closeThen(c.release)
	}
	defer c.release()
	return c.Conn.Close()
}
