package listen

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/fuchsianotch/fuchsianotch/common/tcp"
)

// stoppableConn is a connection of a StoppableListener.
type stoppableConn struct {
	net.Conn
	listener *StoppableListener

	mu sync.Mutex
	// idle is set while no byte of a request has been read since the last response.
	idle bool
	// ending is set if the connection ends once it is idle, aborted if reads fail.
	ending  bool
	aborted bool
	closed  bool
}

func (l *StoppableListener) track(conn net.Conn) *stoppableConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &stoppableConn{
		Conn:     conn,
		listener: l,
		idle:     true,
		ending:   l.endingIdle,
	}
	l.conns[c] = struct{}{}
	return c
}

// OnState keeps track of which connections are idle; it must be called by the server's
// ConnState.
func (l *StoppableListener) OnState(conn net.Conn, state http.ConnState) {
	if limited, ok := conn.(*limitedConn); ok {
		conn = limited.Conn
	}
	c, ok := conn.(*stoppableConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.setIdle(true)
	case http.StateActive:
		c.setIdle(false)
	}
}

// OpenConns returns the number of open connections, those with responses that their clients have
// not acknowledged included.
func (l *StoppableListener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// ActiveConns returns the number of open connections with a request that has not been answered.
func (l *StoppableListener) ActiveConns() int {
	active := 0
	for _, c := range l.openConns(func() {}) {
		if c.isActive() {
			active++
		}
	}
	return active
}

// Undelivered returns the number of connections that were closed before the client had
// acknowledged everything sent to it.
func (l *StoppableListener) Undelivered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.undelivered
}

// Unread returns the number of connections that were closed with bytes of the client which the
// server had not read: requests that crossed the end, or the rest of a body that was refused.
func (l *StoppableListener) Unread() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unread
}

// connLoss is what is lost as a connection is closed.
type connLoss struct {
	undelivered, unread bool
}

func (l *StoppableListener) forget(c *stoppableConn, loss connLoss) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	if loss.undelivered {
		l.undelivered++
	}
	if loss.unread {
		l.unread++
	}
}

// EndIdle ends connections that are idle now or later. A request that has arrived is still
// read, and the connection ends after its response.
func (l *StoppableListener) EndIdle() {
	for _, c := range l.openConns(func() { l.endingIdle = true }) {
		c.endOnceIdle()
	}
}

// AbortReads makes all reads fail with os.ErrDeadlineExceeded.
func (l *StoppableListener) AbortReads() {
	for _, c := range l.openConns(func() {}) {
		c.abortReads()
	}
}

// openConns returns the open connections after it has called update with the lock held.
func (l *StoppableListener) openConns(update func()) []*stoppableConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	update()
	out := make([]*stoppableConn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

func (c *stoppableConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !idle && c.ending && !c.aborted {
		// The server has the beginning of a request; endOnceIdle has let reads fail.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.idle = idle
}

func (c *stoppableConn) isActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.idle && !c.closed
}

func (c *stoppableConn) endOnceIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.idle {
		// Wakes the server, which waits for the next request.
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

func (c *stoppableConn) abortReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	_ = c.Conn.SetReadDeadline(time.Now())
}

// SetReadDeadline sets the deadline, unless the connection ends.
func (c *stoppableConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if c.aborted || c.ending && c.idle {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read returns the end of the connection if it is to end once idle, no byte of a request was
// read, and the kernel holds none.
func (c *stoppableConn) Read(p []byte) (int, error) {
	if c.endsNow() {
		return 0, io.EOF
	}
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.setIdle(false)
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.isEnding() {
			return n, err
		}
		if c.endsNow() {
			return 0, io.EOF
		}
	}
}

func (c *stoppableConn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && c.idle && !c.aborted && !c.closed
}

// endsNow reports whether the connection ends; otherwise it allows to read what has arrived.
func (c *stoppableConn) endsNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending || !c.idle || c.aborted || c.closed {
		return false
	}
	if !tcp.IsReadable(c.Conn) {
		return true
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	return false
}

// CloseWrite sends the end of the connection, which may still be read.
func (c *stoppableConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// NetConn returns the underlying connection.
func (c *stoppableConn) NetConn() net.Conn {
	return c.Conn
}

// Close ends the connection. It counts as open until the client has acknowledged the last
// response.
func (c *stoppableConn) Close() error {
	return c.closeThen(func() {})
}

// Reset closes the connection at once, and has the kernel reset it.
func (c *stoppableConn) Reset() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	if socket, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = socket.SetLinger(0)
	}
	c.listener.forget(c, connLoss{
		unread: tcp.Unread(c.Conn) > 0,
	})
	return c.Conn.Close()
}

// closeThen is Close, and calls closed once the socket is closed.
func (c *stoppableConn) closeThen(closed func()) error {
	c.mu.Lock()
	wasClosed := c.closed
	c.closed = true
	c.mu.Unlock()
	if wasClosed {
		return net.ErrClosed
	}
	return c.close(closed)
}

func (c *stoppableConn) close(closed func()) error {
	by := c.listener.deliveryDeadline()
	isDelivered := tcp.Unacknowledged(c.Conn) == 0
	if !isDelivered && time.Now().Before(by) && c.CloseWrite() == nil {
		go func() {
			defer closed()
			c.closeOnceDelivered(by)
		}()
		return nil
	}
	defer closed()
	c.listener.forget(c, connLoss{
		undelivered: !isDelivered,
		unread:      tcp.Unread(c.Conn) > 0,
	})
	return c.Conn.Close()
}
