//go:build !linux

package tcp

import "net"

// HasEnded is false, as the end of a connection is known only once it was read.
func HasEnded(net.Conn) bool {
	return false
}

// IsReadable is false, as what a socket holds is known only once it was read.
func IsReadable(any) bool {
	return false
}
