package tcp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasEnded reports whether the end of a connection or a reset has arrived, read or not. It
// is false for connections that are no sockets.
func HasEnded(conn net.Conn) bool {
	ready, err := poll(conn, unix.POLLRDHUP)
	// Control fails on a connection that this process has closed.
	return ready || err != nil
}

// IsReadable reports whether a socket has unread bytes or its end has arrived, or whether a
// listener has connections to accept. It is false for what is no socket.
func IsReadable(socket any) bool {
	ready, err := poll(socket, unix.POLLIN)
	return ready && err == nil
}

// poll reports whether an event has occurred at a socket, without waiting for it.
func poll(socket any, event int16) (bool, error) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		// The type has no socket, as opposed to a closed one.
		return false, nil
	}
	ready := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{
			Fd:     int32(fd),
			Events: event,
		}}
		n, pollErr := unix.Poll(fds, 0)
		ready = pollErr == nil && n > 0
	})
	return ready, err
}
