package tcp

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes written to a connection that its peer has not
// acknowledged, the end of the connection included. It is zero for what is no open socket, and
// for a connection that was reset.
func Unacknowledged(conn any) int {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	unacknowledged := 0
	err = raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err == nil && n > 0 && !isClosed(int(fd)) {
			unacknowledged = n
		}
	})
	if err != nil {
		return 0
	}
	return unacknowledged
}

// Unread returns the number of bytes that have arrived on a connection and were not read. It is
// zero for what is no open socket.
func Unread(conn any) int {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		if n, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCINQ); ioctlErr == nil {
			unread = n
		}
	})
	if err != nil {
		return 0
	}
	return unread
}

// stateClosed is TCP_CLOSE of the kernel.
const stateClosed = 7

func isClosed(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == stateClosed
}
