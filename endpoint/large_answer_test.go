package endpoint

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/common/bounded"
	"github.com/fuchsianotch/fuchsianotch/common/endlesstest"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// Guards against large answers of a known length that fail as endless ones take the memory.
func TestLargeAnswersBesideEndlessOnes(t *testing.T) {
	const (
		// bufferBytes is what a VM of 144 MB has for bodies.
		bufferBytes = 65 << 20
		answerBytes = 14 << 20
		endless     = 100
		answers     = 5
	)
	faulty := endlesstest.Serve(t, endlesstest.Script{
		Head:   "HTTP/1.1 200 OK\r\nSigned: x\r\nAttempt: attempt-1\r\nContent-Type: text/event-stream\r\n\r\n",
		Repeat: "\r",
	})
	sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "x")
		w.Header().Set("Attempt", "attempt-1")
		w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
		_, _ = w.Write(bytes.Repeat([]byte("x"), answerBytes))
	}))
	defer sound.Close()
	client := New(Options{
		Dialect: testDialect,
		Buffers: bounded.NewBudget(bufferBytes),
	})
	send := func(ctx context.Context, addr string) (received int, code result.Code) {
		out := client.Send(ctx, routedCall(addr, ""), Sink{
			Head: func(int, http.Header) error { return nil },
			Chunk: func(data []byte) error {
				received += len(data)
				return nil
			},
		})
		return received, out.Code
	}
	endlessCtx, stop := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	for range endless {
		calls.Go(func() {
			for endlessCtx.Err() == nil {
				_, _ = send(endlessCtx, faulty.Addr)
			}
		})
	}
	for faulty.Requests() < endless {
		time.Sleep(time.Millisecond)
	}
	for range answers {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		received, code := send(ctx, strings.TrimPrefix(sound.URL, "http://"))
		cancel()
		assert.Check(t, code == result.Done && received == answerBytes, "%s, %d bytes", code, received)
	}
	stop()
	calls.Wait()
}
