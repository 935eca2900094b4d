package tcp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasEnded reports whether the end of a connection or a reset has arrived, read or not. It
// is false for connections that are no sockets.
func HasEnded(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{
			Fd:     int32(fd),
			Events: unix.POLLRDHUP,
		}}
		n, pollErr := unix.Poll(fds, 0)
		ended = pollErr == nil && n > 0
	})
	// Control fails on a connection that this process has closed.
	return ended || err != nil
}
