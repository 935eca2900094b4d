package tcp

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// control bounds the time that sent bytes stay unacknowledged. Accepted
// connections have the bound of their listener.
func control(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedWithin.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
