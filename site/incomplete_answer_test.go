package site

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestIncompleteAnswerIsNotWhole guards against a stream that a stop breaks off and that a caller of
// HTTP/1.0 takes for whole, as it ends with the connection.
func TestIncompleteAnswerIsNotWhole(t *testing.T) {
	f := startForwardingVMs(t)
	conn, err := net.Dial("tcp", f.vms["a"].addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /stream/x?ms=5000 HTTP/1.0\r\nHost: h\r\nX-Fuchsianotch-Attempt-Id: a\r\nX-Fuchsianotch-Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	waitFor(t, func() bool { return f.runs.Load() == 1 })
	time.AfterFunc(500*time.Millisecond, f.vms["a"].stop)
	got, err := io.ReadAll(conn)
	assert.Check(t, err != nil, "%d bytes of an answer that ends with its connection: %.80q", len(got), got)
}
