//go:build !linux

package tcp

// Unacknowledged is zero, as the peer's acknowledgements are not known.
func Unacknowledged(any) int {
	return 0
}
