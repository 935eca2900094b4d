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
	// lingerWithin bounds the wait for a caller that still sends the body of a
	// refused request. A connection closed before would be reset, and the
	// caller might lose the answer.
	lingerWithin = 2 * time.Second
	// lingerChunk is how many bytes the kernel drops in one step.
	lingerChunk = 64 << 10
)

// answerUnread answers a request whose body this VM must not hold. The HTTP
// server would read up to 256 KiB of the body after the answer, so the
// connection is taken out of it: what came in one segment with the head is
// overwritten, and the kernel drops the rest without handing it over. It
// reports whether the request was answered.
func (s *Server) answerUnread(q *request, status int, body ErrorBody) bool {
	conn, buffered, err := http.NewResponseController(q.w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if head, err := buffered.Peek(buffered.Reader.Buffered()); err == nil {
		clear(head)
	}
	deadline := s.options.Now().Add(lingerWithin)
	_ = conn.SetDeadline(deadline)
	text, err := json.Marshal(body)
	if err != nil {
		return true
	}
	if err := errorResponse(q, status, text).Write(conn); err == nil {
		discard(conn)
	}
	return true
}

func errorResponse(q *request, status int, text []byte) *http.Response {
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

// tcpConn is what discard needs of a connection.
type tcpConn interface {
	CloseWrite() error
	SyscallConn() (syscall.RawConn, error)
}

// discard ends the sending side, and drops what arrives until the caller has
// ended its own or the connection's deadline has passed.
func discard(conn net.Conn) {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
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
	// On Linux, receiving with MSG_TRUNC from a TCP socket drops bytes in the
	// kernel; it never writes to the buffer.
	unused := make([]byte, lingerChunk)
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
