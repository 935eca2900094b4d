//go:build !linux

package tcp

import "syscall"

// control does nothing: without TCP_USER_TIMEOUT, only keep-alive probes detect an
// unreachable peer.
func control(_, _ string, _ syscall.RawConn) error {
	return nil
}
