package serving

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsianotch/fuchsianotch/call"
	"github.com/fuchsianotch/fuchsianotch/common/datatest"
	"github.com/fuchsianotch/fuchsianotch/endpoint"
	"github.com/fuchsianotch/fuchsianotch/metrics"
	"github.com/fuchsianotch/fuchsianotch/platform"
	"github.com/fuchsianotch/fuchsianotch/result"
	"github.com/fuchsianotch/fuchsianotch/retry"
	"github.com/fuchsianotch/fuchsianotch/timeline"
)

type connKey struct{}

// TestStrayRefusalDoesNotRunCallTwice guards against a call that runs at a second endpoint, or
// is refused though it ran, as a stray refusal without an id was taken for its answer.
func TestStrayRefusalDoesNotRunCallTwice(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name       string
		Idempotent bool
		// Refusal is what the endpoint sends before it runs the second call, and its answer.
		Refusal  string
		WantCode result.Code `json:"want_code"`
		// WantRuns is how often the second call runs, WantRan how often it may have run.
		WantRuns int64 `json:"want_runs"`
		WantRan  int   `json:"want_ran"`
	}](t, "testdata/stray_refusals.json") {
		t.Run(c.Name, func(t *testing.T) {
			var requests atomic.Int64
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) == 2 {
					conn, _ := r.Context().Value(connKey{}).(net.Conn)
					_, _ = io.WriteString(conn, c.Refusal)
				}
				w.Header().Set("X-Fuchsianotch-Attempt-Id", r.Header.Get("X-Fuchsianotch-Attempt-Id"))
				w.Header().Set("X-Fuchsianotch-Response-Stamp", "x")
				_, _ = io.WriteString(w, "done")
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
				Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
				Metrics:  metrics.New(),
			})
			send := func() call.Outcome {
				sent := routedTestCall(routedCase{Idempotent: c.Idempotent})
				sent.Service = service
				sent.Stream = false
				sent.Method = http.MethodPost
				sent.Path = "/book"
				sent.Header = http.Header{"X-Fuchsianotch-Attempt-Id": []string{sent.ID}}
				return s.sendWithRetries(t.Context(), sent, call.Sink{
					Head:  func(int, http.Header) error { return nil },
					Chunk: func([]byte) error { return nil },
				}, nil)
			}
			assert.Equal(t, send().Code, result.Done)
			out := send()
			assert.Equal(t, out.Code, c.WantCode)
			assert.Equal(t, requests.Load()-1, c.WantRuns)
			assert.Equal(t, out.EndpointsRun, c.WantRan)
		})
	}
}
