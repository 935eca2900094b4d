package endpoint

import (
	"bufio"
	"errors"
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
