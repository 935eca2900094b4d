package listen

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// readCounter counts the reads of a connection.
type readCounter struct {
	*net.TCPConn
	reads atomic.Int64
}

// Read implements net.Conn.
func (c *readCounter) Read(p []byte) (int, error) {
	c.reads.Add(1)
	return c.TCPConn.Read(p)
}

// TestUndeliveredConnsAreSeldomPolled guards against closed connections of clients that don't
// read, each of which takes a part of a small VM's processor.
func TestUndeliveredConnsAreSeldomPolled(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = inner.Close() }()
	ln := NewStoppableListener(inner)
	client := slowReader(t, inner.Addr().String())
	accepted, err := inner.Accept()
	assert.NilError(t, err)
	counter := &readCounter{
		TCPConn: accepted.(*net.TCPConn),
	}
	conn := ln.track(counter)
	_, err = conn.Write(bytes.Repeat([]byte("x"), 64<<10))
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	time.Sleep(time.Second)
	assert.Equal(t, ln.OpenConns(), 1)
	assert.Check(t, counter.reads.Load() < 30, "%d reads in a second", counter.reads.Load())
	_, err = io.Copy(io.Discard, client)
	assert.NilError(t, err)
	for ln.OpenConns() > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, ln.Undelivered(), 0)
}
