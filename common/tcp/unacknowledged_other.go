//go:build !linux

package tcp

// Unacknowledged is zero, as the peer's acknowledgements are not known.
func Unacknowledged(any) int {
	return 0
}

// Unread is zero, as what a socket holds is known only once it was read.
func Unread(any) int {
	return 0
}
