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
	return ok && hasEvent(socket, unix.POLLRDHUP)
}

// hasHungUp reports whether a connection has ended in both directions.
func hasHungUp(socket syscall.Conn) bool {
	return hasEvent(socket, 0)
}

// hasEvent reports whether one of the events has occurred, an error, or the end in both
// directions.
func hasEvent(socket syscall.Conn, events int16) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	occurred := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{
			Fd:     int32(fd),
			Events: events,
		}}
		n, pollErr := unix.Poll(fds, 0)
		occurred = pollErr == nil && n > 0
	})
	// Control fails on a connection that this process has closed.
	return occurred || err != nil
}
