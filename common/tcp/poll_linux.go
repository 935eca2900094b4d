package tcp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasEnded reports whether the end of a connection or a reset has arrived, read or not. It
// is false for connections that are no sockets.
func HasEnded(conn net.Conn) bool {
	ready, open := poll(conn, unix.POLLRDHUP)
	return ready || !open
}

// IsReadable reports whether a socket has unread bytes or its end has arrived, or whether a
// listener has connections to accept. It is false for what is no socket.
func IsReadable(socket any) bool {
	ready, _ := poll(socket, unix.POLLIN)
	return ready
}

// poll reports whether an event has occurred at a socket, without waiting for it. open is
// false if this process has closed the socket.
func poll(socket any, event int16) (ready, open bool) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false, true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false, true
	}
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{
			Fd:     int32(fd),
			Events: event,
		}}
		n, pollErr := unix.Poll(fds, 0)
		ready = pollErr == nil && n > 0
	})
	return ready, err == nil
}
