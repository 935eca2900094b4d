package serving

import (
	"context"
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

// TestRunsAreRequested guards against a call of another VM that runs again here without that VM
// knowing of it.
func TestRunsAreRequested(t *testing.T) {
	for _, c := range datatest.Read[[]struct {
		Name string
		// Ends are how attempts end in turn: "cut", "refused" or "done".
		Ends []string
		// Asks is set for a call of another VM, which grants Grants runs beyond the first.
		Asks     bool
		Grants   int
		WantSent int64       `json:"want_sent"`
		WantAsks int         `json:"want_asks"`
		WantCode result.Code `json:"want_code"`
		WantRan  int         `json:"want_ran"`
	}](t, "testdata/run_requests.json") {
		t.Run(c.Name, func(t *testing.T) {
			var sent atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Fuchsianotch-Attempt-Id", r.Header.Get("X-Fuchsianotch-Attempt-Id"))
				w.Header().Set("X-Fuchsianotch-Response-Stamp", "x")
				switch c.Ends[sent.Add(1)-1] {
				case "cut":
					panic(http.ErrAbortHandler)
				case "refused":
					w.Header().Set("X-Fuchsianotch-Not-Executed", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}))
			defer server.Close()
			s := New(Options{
				Now:      time.Now,
				VM:       "a",
				Pool:     poolOf(len(c.Ends), server.Listener.Addr().String()),
				Endpoint: endpoint.New(endpoint.Options{Dialect: platform.Dialect()}),
				Budget:   budgetOf(retry.NewBudget(1)),
				Timeline: timeline.New(timeline.Options{Capacity: 16, Now: time.Now}),
				Metrics:  metrics.New(),
			})
			asks := 0
			sentCall := routedTestCall(routedCase{Idempotent: true})
			sentCall.Service = service
			sentCall.Stream = false
			sentCall.Method = http.MethodGet
			sentCall.Path = "/look"
			sentCall.Header = http.Header{"X-Fuchsianotch-Attempt-Id": []string{sentCall.ID}}
			sentCall.Routed.MaxAttempts = len(c.Ends)
			if c.Asks {
				sentCall.Routed.RequestRun = func(context.Context) bool {
					asks++
					return asks <= c.Grants
				}
			}
			out := s.sendWithRetries(t.Context(), sentCall, call.Sink{
				Head:  func(int, http.Header) error { return nil },
				Chunk: func([]byte) error { return nil },
			}, nil)
			assert.Equal(t, sent.Load(), c.WantSent)
			assert.Equal(t, asks, c.WantAsks)
			assert.Equal(t, out.Code, c.WantCode)
			assert.Equal(t, out.EndpointsRun, c.WantRan)
		})
	}
}
