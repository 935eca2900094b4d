package peer

import (
	"net"
	"sync"

	"github.com/fuchsianotch/fuchsianotch/common/tcp"
)

// openConns holds the connections that a server has accepted and not closed.
type openConns struct {
	mu    sync.Mutex
	conns map[*acceptedConn]struct{}
}

// acceptedConn is a connection of openConns.
type acceptedConn struct {
	net.Conn
	open *openConns
}

func (o *openConns) track(conn net.Conn) net.Conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := &acceptedConn{
		Conn: conn,
		open: o,
	}
	o.conns[c] = struct{}{}
	return c
}

// unacknowledged returns the number of connections with bytes that the other VM has not
// acknowledged.
func (o *openConns) unacknowledged() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for c := range o.conns {
		if tcp.Unacknowledged(c.Conn) > 0 {
			count++
		}
	}
	return count
}

// Close closes the connection.
func (c *acceptedConn) Close() error {
	c.open.mu.Lock()
	delete(c.open.conns, c)
	c.open.mu.Unlock()
	return c.Conn.Close()
}
