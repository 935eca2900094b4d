package tcp

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestSocketOptions checks the timeouts of dialed and accepted connections.
func TestSocketOptions(t *testing.T) {
	ln, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	dialed, err := Dialer(time.Minute).DialContext(t.Context(), "tcp", ln.Addr().String())
	assert.NilError(t, err)
	for _, conn := range []net.Conn{dialed, <-accepted} {
		assert.Equal(t, socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), int(userTimeout.Milliseconds()))
		assert.Equal(t, socketOption(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
		assert.Equal(t, socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPCNT), keepAliveProbes)
		assert.NilError(t, conn.Close())
	}
}

func socketOption(t *testing.T, conn net.Conn, level, name int) int {
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	value := 0
	assert.NilError(t, raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), level, name)
	}))
	assert.NilError(t, err)
	return value
}
