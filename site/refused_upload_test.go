package site

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// linkDelay is the delay of a link one way.
const linkDelay = 100 * time.Millisecond

// TestRefusalReachesCallerThatWrites guards against a refusal that its caller can't read, as the VM
// closes the connection while the caller is still sending the body.
func TestRefusalReachesCallerThatWrites(t *testing.T) {
	f := startForwardingVMs(t)
	for range 10 {
		conn, err := net.Dial("tcp", delayed(t, f.vms["b"].addr))
		assert.NilError(t, err)
		go func() {
			_, _ = fmt.Fprintf(conn, "POST /none/x HTTP/1.1\r\nHost: h\r\nX-Fuchsianotch-Attempt-Id: a\r\nContent-Length: %d\r\n\r\n", uploadBytes)
			_, _ = conn.Write(make([]byte, uploadBytes))
		}()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusNotFound)
		_, err = io.ReadAll(resp.Body)
		assert.NilError(t, err)
		_ = conn.Close()
	}
}

// delayed returns an address from which connections go on to another one over a link with a delay.
func delayed(t *testing.T, addr string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", addr)
			if err != nil {
				_ = near.Close()
				return
			}
			go passDelayed(far.(*net.TCPConn), near.(*net.TCPConn))
			go passDelayed(near.(*net.TCPConn), far.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

// passDelayed passes one direction of a connection on, with its end or its reset.
func passDelayed(to, from *net.TCPConn) {
	type part struct {
		data []byte
		err  error
		at   time.Time
	}
	parts := make(chan part, 1024)
	go func() {
		for {
			data := make([]byte, 32<<10)
			n, err := from.Read(data)
			parts <- part{
				data: data[:n],
				err:  err,
				at:   time.Now().Add(linkDelay),
			}
			if err != nil {
				close(parts)
				return
			}
		}
	}()
	for p := range parts {
		time.Sleep(time.Until(p.at))
		_, _ = to.Write(p.data)
		if errors.Is(p.err, io.EOF) {
			_ = to.CloseWrite()
		} else if p.err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
		}
	}
}
