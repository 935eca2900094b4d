package tcp

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hasHungUp reports whether a connection has ended in both directions.
func hasHungUp(socket syscall.Conn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		// Poll reports POLLHUP and POLLERR without being asked for them.
		fds := []unix.PollFd{{Fd: int32(fd)}}
		n, pollErr := unix.Poll(fds, 0)
		hungUp = pollErr == nil && n > 0
	})
	return hungUp || err != nil
}
