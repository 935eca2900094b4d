package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// WithResets returns a connection whose reads fail once it was reset. The kernel reports a reset
// to one call only: if a write gets it, the reads that follow end as if the peer had closed the
// connection.
//
// If the peer closed its side before the reset, what it sent stays readable, and a write returns
// its error only once a read has found the end or the connection is closed. An HTTP transport
// closes the connection on such an error, and would lose the rest of the response.
func WithResets(conn net.Conn) net.Conn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return conn
	}
	return &resetConn{
		Conn:      conn,
		socket:    socket,
		readEnded: make(chan struct{}),
	}
}

type resetConn struct {
	net.Conn

	socket syscall.Conn

	// readEnded is closed once no further read can succeed.
	readEnded   chan struct{}
	endReadOnce sync.Once

	writing sync.Mutex
	// writeErr is the first error of a write on the open connection.
	writeErr error
}

// SyscallConn implements syscall.Conn.
func (c *resetConn) SyscallConn() (syscall.RawConn, error) {
	return c.socket.SyscallConn()
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	defer c.endRead()
	if !errors.Is(err, io.EOF) || !hasHungUp(c.socket) {
		return n, err
	}
	// No write blocks on a connection that has ended in both directions.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return n, c.writeErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if errors.Is(err, syscall.EPIPE) {
		<-c.readEnded
	}
	return n, err
}

func (c *resetConn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	// EPIPE is the error where the peer closed the connection before it reset it.
	if err != nil && c.writeErr == nil && !errors.Is(err, syscall.EPIPE) {
		c.writeErr = err
	}
	return n, err
}

// Close implements net.Conn.
func (c *resetConn) Close() error {
	c.endRead()
	return c.Conn.Close()
}

func (c *resetConn) endRead() {
	c.endReadOnce.Do(func() { close(c.readEnded) })
}
