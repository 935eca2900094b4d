package listen

import (
	"bytes"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDeadlineAfterCloseKeepsNothingOpen guards against a closed connection that stays open for
// as long as its client likes, as a handler that still runs sets its read deadline.
func TestDeadlineAfterCloseKeepsNothingOpen(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = inner.Close() }()
	ln := NewStoppableListener(inner)
	slowReader(t, inner.Addr().String())
	conn, err := ln.Accept()
	assert.NilError(t, err)
	_, err = conn.Write(bytes.Repeat([]byte("x"), 64<<10))
	assert.NilError(t, err)
	ln.DeliverBy(time.Now().Add(300 * time.Millisecond))
	assert.NilError(t, conn.Close())
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		_ = conn.SetReadDeadline(time.Time{})
	}
	time.Sleep(time.Second)
	assert.Equal(t, ln.OpenConns(), 0)
}
