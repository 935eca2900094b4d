package listen

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUndeliveredConnsCountTowardsLimit guards against clients that don't read and hold more
// connections open than the limits allow, as each one is closed in the background.
func TestUndeliveredConnsCountTowardsLimit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stoppable := NewStoppableListener(inner)
	body := bytes.Repeat([]byte("x"), 64<<10)
	handled := make(chan struct{}, 8)
	server := &http.Server{
		ConnState: stoppable.OnState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = w.Write(body)
			handled <- struct{}{}
		}),
	}
	go func() {
		_ = server.Serve(New(stoppable, Options{
			Max:           1,
			MaxPerAddress: 1,
		}))
	}()
	t.Cleanup(func() { _ = server.Close() })
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	first := slowReader(t, inner.Addr().String())
	_, err = io.WriteString(first, request)
	assert.NilError(t, err)
	<-handled
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, stoppable.OpenConns(), 1)
	second := slowReader(t, inner.Addr().String())
	_, _ = io.WriteString(second, request)
	select {
	case <-handled:
		t.Fatalf("served a second connection while %d are open", stoppable.OpenConns())
	case <-time.After(200 * time.Millisecond):
	}
}
