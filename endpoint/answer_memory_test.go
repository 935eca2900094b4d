package endpoint

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/bounded"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/result"
)

// An answer that ran already must not fail while slow readers hold the memory of others.
func TestAnswerWaitsForMemoryThatSlowReadersHold(t *testing.T) {
	const answerBytes = 1 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		w.Header().Set("Content-Length", "1048576")
		_, _ = w.Write(bytes.Repeat([]byte("x"), answerBytes))
	}))
	defer server.Close()
	buffers := bounded.NewBudget(bounded.RoomFor(answerBytes))
	client := New(Options{Buffers: buffers})
	send := func(id string, chunk func(data []byte) error) result.Code {
		return client.Send(t.Context(), Attempt{
			ID:       id,
			Endpoint: fleet.Endpoint{Addr: strings.TrimPrefix(server.URL, "http://")},
			Call:     &call.Call{Kind: call.KindService, Method: http.MethodGet, Path: "/", Idempotent: true},
		}, Sink{
			Head:  func(int, http.Header) error { return nil },
			Chunk: chunk,
		}).Code
	}
	reading, done := make(chan struct{}), make(chan result.Code)
	goOn := make(chan struct{})
	go func() {
		done <- send("slow", func([]byte) error {
			close(reading)
			<-goOn
			return nil
		})
	}()
	<-reading
	go func() { done <- send("next", func([]byte) error { return nil }) }()
	for buffers.Stats().Waited == 0 && buffers.Stats().Refused == 0 {
		assert.NilError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
	close(goOn)
	assert.Equal(t, <-done, result.Done)
	assert.Equal(t, <-done, result.Done)
	assert.Equal(t, buffers.Stats().Used, 0)
}
