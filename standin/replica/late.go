package replica

import (
	"context"
	"io"
	"net"
	"net/http"
)

// lateRefusal is the copy of a refusal, as refuse writes it.
const lateRefusal = "HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

// keptConn is a connection to a replica. Its requests are served one after the other.
type keptConn struct {
	net.Conn
	// late is what is sent as the next request arrives, before its response.
	late string
}

type keptConnKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, keptConnKey{}, &keptConn{
		Conn: conn,
	})
}

// refuseTwice has a copy of a refusal sent as the next request of the connection arrives.
func refuseTwice(req *http.Request) {
	if conn, ok := req.Context().Value(keptConnKey{}).(*keptConn); ok {
		conn.late = lateRefusal
	}
}

// sendLate sends the late copy of an earlier response of the connection, if there is one.
func sendLate(req *http.Request) {
	conn, ok := req.Context().Value(keptConnKey{}).(*keptConn)
	if !ok || conn.late == "" {
		return
	}
	_, _ = io.WriteString(conn, conn.late)
	conn.late = ""
}
