package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// lingerTimeout bounds the wait for the rest of a refused request's body.
	// Closing earlier would reset the connection, and the caller might lose the
	// response.
	lingerTimeout = 2 * time.Second
	// discardChunkBytes is the number of bytes discarded per system call.
	discardChunkBytes = 64 << 10
)

// rejectWithoutReading writes an error response to a request whose body must
// not enter this VM's memory. As net/http reads up to 256 KiB of an unread body,
// the connection is hijacked: buffered bytes are cleared and the kernel discards
// the rest. It reports whether the connection could be hijacked.
func (s *Server) rejectWithoutReading(q *request, status int, body ErrorResponse) bool {
	conn, buffered, err := http.NewResponseController(q.w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if received, err := buffered.Peek(buffered.Reader.Buffered()); err == nil {
		clear(received)
	}
	deadline := s.options.Now().Add(lingerTimeout)
	_ = conn.SetDeadline(deadline)
	text, err := json.Marshal(body)
	if err != nil {
		return true
	}
	if err := newErrorResponse(q, status, text).Write(conn); err == nil {
		discardInput(conn)
	}
	return true
}

func newErrorResponse(q *request, status int, text []byte) *http.Response {
	header := q.w.Header().Clone()
	header.Set("Content-Type", "application/json")
	return &http.Response{
		StatusCode:    status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Request:       q.r,
		Header:        header,
		ContentLength: int64(len(text)),
		Body:          io.NopCloser(bytes.NewReader(text)),
		Close:         true,
	}
}

// tcpConn is the part of net.TCPConn that discardInput uses.
type tcpConn interface {
	CloseWrite() error
	SyscallConn() (syscall.RawConn, error)
}

// netConn is a connection that wraps another one.
type netConn interface {
	NetConn() net.Conn
}

// discardInput closes the write side and discards input until the peer closes
// its side or the connection's deadline passes.
func discardInput(conn net.Conn) {
	for wrapped, ok := conn.(netConn); ok; wrapped, ok = conn.(netConn) {
		conn = wrapped.NetConn()
	}
	tcp, ok := conn.(tcpConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil || tcp.CloseWrite() != nil {
		return
	}
	// On Linux, recv with MSG_TRUNC on a TCP socket discards the bytes in the
	// kernel without copying them to the buffer.
	unused := make([]byte, discardChunkBytes)
	_ = raw.Read(func(fd uintptr) bool {
		for {
			n, _, err := syscall.Recvfrom(int(fd), unused, syscall.MSG_TRUNC)
			switch {
			case err == syscall.EINTR:
			case err == syscall.EAGAIN:
				return false
			case err != nil || n == 0:
				return true
			}
		}
	})
}
