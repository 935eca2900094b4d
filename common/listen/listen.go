// Package listen bounds the connections that a listener holds open, in all
// and from one address.
package listen

import (
	"net"
	"sync"
)

// Options set up a Listener.
type Options struct {
	// Max and MaxPerAddress bound the open connections; both are at least 1.
	Max           int
	MaxPerAddress int
	// Refused is told of each connection closed over a bound; nil means nobody is.
	Refused func()
}

// Listener closes connections over its bounds right after it accepts them.
type Listener struct {
	net.Listener

	options Options
	mu      sync.Mutex
	open    int
	byHost  map[string]int
}

// New bounds a listener.
func New(ln net.Listener, o Options) *Listener {
	if o.Refused == nil {
		o.Refused = func() {}
	}
	return &Listener{
		Listener: ln,
		options:  o,
		byHost:   make(map[string]int),
	}
}

// Accept returns the next connection within the bounds.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host := hostOf(conn)
		if l.enter(host) {
			return &boundConn{
				Conn:  conn,
				leave: sync.OnceFunc(func() { l.leave(host) }),
			}, nil
		}
		_ = conn.Close()
		l.options.Refused()
	}
}

func hostOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

func (l *Listener) enter(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.options.Max || l.byHost[host] >= l.options.MaxPerAddress {
		return false
	}
	l.open++
	l.byHost[host]++
	return true
}

func (l *Listener) leave(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.byHost[host]--
	if l.byHost[host] == 0 {
		delete(l.byHost, host)
	}
}

type boundConn struct {
	net.Conn
	leave func()
}

// NetConn returns the connection without its place.
func (c *boundConn) NetConn() net.Conn {
	return c.Conn
}

// Close closes the connection and frees its place.
func (c *boundConn) Close() error {
	c.leave()
	return c.Conn.Close()
}
