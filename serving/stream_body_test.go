package serving

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/fleet"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

// TestStreamWithLengthResumesWithItsBody guards against a stream that is resumed without the body
// of its request, as the length in its head was taken for that of a whole answer.
func TestStreamWithLengthResumesWithItsBody(t *testing.T) {
	var runs []string
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		runs = append(runs, r.Header.Get("Last-Event-Id")+" "+string(body))
		h := w.Header()
		h.Set("X-Fuchsianotch-Attempt-Id", r.Header.Get("X-Fuchsianotch-Attempt-Id"))
		h.Set("X-Fuchsianotch-Response-Stamp", "s")
		h.Set("Content-Type", "text/event-stream")
		h.Set("Content-Length", "1000")
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", len(runs))
		_ = http.NewResponseController(w).Flush()
		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		_ = conn.(*net.TCPConn).CloseWrite()
	}))
	server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.Start()
	defer server.Close()
	s := New(Options{
		Now:      time.Now,
		VM:       "a",
		Pool:     poolOf(3, server.Listener.Addr().String()),
		Endpoint: endpoint.New(endpoint.Options{Dialect: platform.Dialect()}),
		Budget:   budgetOf(retry.NewBudget(1)),
		PlaceRouted: func(_ context.Context, _ *call.Call, tried []fleet.VM) (fleet.VM, bool, *result.Refusal) {
			return fleet.VM{ID: "a"}, len(tried) > 0, nil
		},
		Forward: func(_ context.Context, _ fleet.VM, _ *call.Call, _ call.Sink) call.Outcome {
			return call.Refused(result.Refuse(result.NoEndpoint, "none"))
		},
		Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
		Metrics:  metrics.New(),
	})
	c := routedTestCall(routedCase{Idempotent: true, Resumable: true})
	c.Method = http.MethodPost
	c.Path = "/x"
	c.Routed.MaxAttempts = 2
	c.Header = http.Header{"X-Fuchsianotch-Attempt-Id": {c.ID}}
	c.Retained = call.RetainBody([]byte("body"), func() {})
	s.Serve(t.Context(), c, Placement{Kind: PlaceHere}, c.ReleasingBody(call.Sink{
		Head: func(_ int, h http.Header) error {
			assert.Check(t, h.Get("Content-Length") == "")
			return nil
		},
		Chunk: func([]byte) error { return nil },
	}))
	assert.DeepEqual(t, runs, []string{" body", "1 body"})
}
