package listen

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBounds opens connections up to the bound of one address, checks that the
// next is closed at once, and that a closed one frees its place.
func TestBounds(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refused := make(chan struct{}, 1)
	ln := New(inner, Options{
		Max:           3,
		MaxPerAddress: 2,
		Refused:       func() { refused <- struct{}{} },
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
	_ = first.Close() // A second close frees no second place.
	dial()
	<-accepted
	dial()
	<-refused
}
