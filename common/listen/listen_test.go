package listen

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestConnectionLimits checks that connections over a limit are closed, and that closing
// a connection makes room for one other.
func TestConnectionLimits(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refused := make(chan struct{}, 1)
	ln := New(inner, Options{
		Max:           3,
		MaxPerAddress: 2,
		OnReject:      func() { refused <- struct{}{} },
	})
	defer func() { _ = ln.Close() }()
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		return conn
	}
	dial()
	first := <-accepted
	dial()
	<-accepted
	over := dial()
	<-refused
	_, err = over.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, first.Close())
	_ = first.Close() // A second close must not release twice.
	dial()
	<-accepted
	dial()
	<-refused
}
