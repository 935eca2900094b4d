package tcp

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// control sets TCP_USER_TIMEOUT. Accepted connections inherit it from their listener.
func control(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
