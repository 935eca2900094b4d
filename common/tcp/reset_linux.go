package tcp

import "syscall"

// hasHungUp reports whether a connection has ended in both directions, which poll reports
// without being asked for it.
func hasHungUp(socket syscall.Conn) bool {
	ready, open := poll(socket, 0)
	return ready || !open
}
