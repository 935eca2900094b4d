//go:build !linux

package tcp

import "syscall"

// hasHungUp is false, so that reads don't wait for a write.
func hasHungUp(syscall.Conn) bool {
	return false
}
