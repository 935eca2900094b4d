package listen

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopping guards against dropping a request that is half received when the
// listener stops.
func TestStopping(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln := NewStoppableListener(inner)
	accepted := make(chan struct{}, 1)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				accepted <- struct{}{}
			}
		},
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ln) }()

	conn, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	<-accepted
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	assert.NilError(t, ln.Stop())
	server.SetKeepAlivesEnabled(false)
	_, err = net.Dial("tcp", inner.Addr().String())
	assert.ErrorContains(t, err, "refused")
	_, err = io.WriteString(conn, "Host: h\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, string(body), "whole")

	assert.NilError(t, server.Shutdown(t.Context()))
	assert.ErrorIs(t, <-ended, http.ErrServerClosed)
}

// pausedListener holds back a server's calls to the kernel until gate is closed, as if its
// process got no CPU time.
type pausedListener struct {
	*net.TCPListener
	gate chan struct{}
	// acceptsFirst lets the first connections be accepted and only holds back their reads.
	acceptsFirst bool
}

func (l *pausedListener) Accept() (net.Conn, error) {
	if !l.acceptsFirst {
		<-l.gate
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &pausedConn{
		TCPConn: conn,
		gate:    l.gate,
	}, nil
}

type pausedConn struct {
	*net.TCPConn
	gate chan struct{}
}

func (c *pausedConn) Read(p []byte) (int, error) {
	<-c.gate
	return c.TCPConn.Read(p)
}

// TestRequestsInKernelAreServed guards against losing requests that have arrived at a paused
// process, on connections that it has not accepted or that look idle, when it stops.
func TestRequestsInKernelAreServed(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		gate := make(chan struct{})
		ln := NewStoppableListener(&pausedListener{
			TCPListener:  inner.(*net.TCPListener),
			gate:         gate,
			acceptsFirst: accepted,
		})
		server := &http.Server{
			Handler:   http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }),
			ConnState: ln.OnState,
		}
		go func() { _ = server.Serve(ln) }()
		used, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(used, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		unused, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		stopped := make(chan error, 1)
		if accepted {
			for ln.OpenConns() < 2 {
				time.Sleep(time.Millisecond)
			}
			ln.EndIdle()
		}
		go func() { stopped <- ln.Stop() }()
		<-ln.stopped
		close(gate)
		assert.NilError(t, <-stopped)
		ln.EndIdle()
		answer, err := io.ReadAll(used)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasSuffix(string(answer), "whole"), "accepted: %v, %q", accepted, answer)
		rest, err := io.ReadAll(unused)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), "")
		assert.NilError(t, server.Close())
		assert.NilError(t, used.Close())
		assert.NilError(t, unused.Close())
	}
}

// TestRequestSentAheadIsRead guards against a read that fails in the middle of a request, as
// idle connections end while the server turns to a request that it has read in part.
func TestRequestSentAheadIsRead(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln := NewStoppableListener(inner)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		IdleTimeout:       time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, readErr := io.ReadAll(r.Body)
			if readErr != nil {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			_, _ = w.Write(body)
		}),
		ConnState: func(conn net.Conn, state http.ConnState) {
			ln.OnState(conn, state)
			if state == http.StateIdle {
				ln.EndIdle()
			}
		},
	}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n"
	_, err = io.WriteString(conn, head+"complete"+head+"half")
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	for i, want := range []string{"complete", "halfhalf"} {
		resp, readErr := http.ReadResponse(reader, nil)
		assert.NilError(t, readErr)
		if i == 0 {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(conn, "half")
			assert.NilError(t, err)
		}
		body, readErr := io.ReadAll(resp.Body)
		assert.NilError(t, readErr)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, string(body), want)
	}
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}
