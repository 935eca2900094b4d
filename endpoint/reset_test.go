package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/result"
)

// resetTries is how often a reset is played, as the write and the read race for its error.
const resetTries = 50

// resetDelay is the time from an answer to the reset of its connection.
const resetDelay = 10 * time.Millisecond

// readDelay is longer than a write takes to report the reset.
const readDelay = 20 * time.Millisecond

// TestResetDuringLongBody guards against a body without a length that passes for whole because a
// write of the request, and not the read of the answer, got the error of a reset, and against a
// whole answer that is lost because the write got the error before the answer was read.
func TestResetDuringLongBody(t *testing.T) {
	for _, row := range []struct {
		name       string
		endsAnswer bool
		pause      time.Duration // before the body is read
		code       result.Code
	}{
		{
			name: "reset within the answer",
			code: result.EndpointCut,
		},
		{
			name:       "reset after the end of the answer",
			endsAnswer: true,
			code:       result.Done,
		},
		{
			name:       "reset after the end of the answer, which is read later",
			endsAnswer: true,
			pause:      resetDelay + readDelay,
			code:       result.Done,
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			go answerAndReset(ln, row.endsAnswer)
			client := newRelayClient(t)
			for range resetTries {
				attempt := routedCall(ln.Addr().String(), "")
				attempt.Call.Body = make([]byte, 16<<20)
				// It runs between the head and the body.
				attempt.OnNotice = func(Notice) { time.Sleep(row.pause) }
				out := client.Send(t.Context(), attempt, Sink{
					Head:  func(int, http.Header) error { return nil },
					Chunk: func([]byte) error { return nil },
				})
				assert.Equal(t, out.Code, row.code, "%v", errors.Unwrap(out.Err))
			}
		})
	}
}

// answerAndReset answers requests before it has read their bodies, and resets their connections.
func answerAndReset(ln net.Listener, endsAnswer bool) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		socket, ok := conn.(*net.TCPConn)
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil || !ok {
			_ = conn.Close()
			continue
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSigned: s\r\nConnection: close\r\n\r\nhello"))
		if endsAnswer {
			_ = socket.CloseWrite()
		}
		time.Sleep(resetDelay)
		_ = socket.SetLinger(0)
		_ = conn.Close()
	}
}

// TestWriteTakesTheReset guards against a part of an answer without a length that passes for whole,
// for any kind of call, as a write of the request got the error of the reset and the read that
// followed an ordinary end.
func TestWriteTakesTheReset(t *testing.T) {
	for _, row := range []struct {
		name       string
		idempotent bool
		stream     bool
		resumes    string // the event behind which an earlier attempt broke off
		after      string // the event behind which the caller resumes the stream
	}{
		{name: "call that runs once"},
		{name: "call that may run again", idempotent: true},
		{name: "stream that runs once", stream: true},
		{name: "stream that may be resumed", stream: true, idempotent: true},
		{name: "stream that goes on elsewhere", stream: true, idempotent: true, resumes: "1"},
		{name: "stream that its caller resumes", stream: true, idempotent: true, after: "1"},
	} {
		t.Run(row.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			go answerPartAndReset(ln, row.stream)
			client := New(Options{
				Client: &http.Client{
					Transport: &http.Transport{
						DialContext: dialWriteFirst,
					},
				},
				Dialect: testDialect,
			})
			attempt := routedCall(ln.Addr().String(), row.resumes)
			attempt.Call.Body = make([]byte, 16<<20)
			attempt.Call.Idempotent = row.idempotent
			attempt.Call.Stream = row.stream
			attempt.Call.Routed.Resumable = row.stream && row.idempotent
			attempt.Call.Routed.ResumeAfter = row.after
			heads := 0
			out := client.Send(t.Context(), attempt, Sink{
				Head: func(int, http.Header) error {
					heads++
					return nil
				},
				Chunk: func([]byte) error { return nil },
			})
			assert.Equal(t, out.Code, result.EndpointCut, "%v", errors.Unwrap(out.Err))
			assert.Assert(t, heads == 0 || row.stream)
		})
	}
}

// writeFirstConn reads on behind the answer only once a write has failed.
type writeFirstConn struct {
	*net.TCPConn

	reads  int
	failed chan struct{}
}

func dialWriteFirst(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &writeFirstConn{
		TCPConn: conn.(*net.TCPConn),
		failed:  make(chan struct{}),
	}, nil
}

// Read implements net.Conn.
func (c *writeFirstConn) Read(p []byte) (int, error) {
	c.reads++
	if c.reads > 1 {
		<-c.failed
	}
	return c.TCPConn.Read(p)
}

// Write implements net.Conn.
func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		close(c.failed)
		// The transport closes the connection on the error, which ends the read too.
		time.Sleep(readDelay)
	}
	return n, err
}

// answerPartAndReset answers a request before it has read its body, with a part of an answer without
// a length, and resets the connection.
func answerPartAndReset(ln net.Listener, stream bool) {
	conn, err := ln.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	contentType := "text/plain"
	if stream {
		contentType = eventStream
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSigned: s\r\nContent-Type: "+contentType+"\r\nConnection: close\r\n\r\nid: 2\ndata: x\n\n")
	time.Sleep(resetDelay)
	_ = conn.(*net.TCPConn).SetLinger(0)
}
