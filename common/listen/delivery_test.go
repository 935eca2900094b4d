package listen

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowReader is a connection of a client whose kernel holds little of a response, as on a link
// with delay.
func slowReader(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	return conn
}

// serveLarge serves a response that exceeds what the client's kernel holds, and signals when its
// handler has ended.
func serveLarge(t *testing.T, body []byte) (ln *StoppableListener, handled chan struct{}) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln = NewStoppableListener(inner)
	handled = make(chan struct{}, 1)
	server := &http.Server{
		ConnState: ln.OnState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Connection", "close")
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = w.Write(body)
			handled <- struct{}{}
		}),
	}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln, handled
}

// TestUnreadBytesCutNoResponse guards against a reset that cuts off a response, as its
// connection is closed with bytes that the server hasn't read.
func TestUnreadBytesCutNoResponse(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 64<<10)
	ln, handled := serveLarge(t, body)
	conn := slowReader(t, ln.Addr().String())
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err := io.WriteString(conn, request)
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.NilError(t, err)
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	<-handled
	time.Sleep(20 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader("H"), conn)), nil)
	assert.NilError(t, err)
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, len(got), len(body))
	for ln.OpenConns() > 0 {
		assert.NilError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, ln.Unread(), 1)
	assert.Equal(t, ln.Undelivered(), 0)
}

// TestStopWaitsForAcknowledgement guards against a process that ends, as no connection is open,
// while the kernel still holds a response.
func TestStopWaitsForAcknowledgement(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 64<<10)
	ln, handled := serveLarge(t, body)
	conn := slowReader(t, ln.Addr().String())
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	ln.DeliverBy(time.Now().Add(time.Minute))
	<-handled
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, ln.OpenConns(), 1)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, len(got), len(body))
	for ln.OpenConns() > 0 {
		assert.NilError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, ln.Undelivered(), 0)
	assert.Equal(t, ln.Unread(), 0)
}
