//go:build !linux

package tcp

import (
	"net"
	"syscall"
)

// HasEnded is false, as the end of a connection is known only once it was read.
func HasEnded(net.Conn) bool {
	return false
}

// IsReadable is false, as what a socket holds is known only once it was read.
func IsReadable(any) bool {
	return false
}

// hasHungUp is false, so that reads don't wait for a write.
func hasHungUp(syscall.Conn) bool {
	return false
}
