package listen

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

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
